// Package feed keeps a daemon's copy of the store's live keys current.
package feed
