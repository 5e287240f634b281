// Package member keeps a daemon's view of the fleet from store records and heartbeats, and ranks daemons for pools and callers.
package member
