// Package story finds what happened to one request in the log lines of all daemons.
package story
