// Package feed keeps a daemon's copy of the store's live keys (configuration, members and owners) up to date.
package feed
