// Package mirror keeps a daemon's copy of the store's keys under one prefix, from the store or from a peer.
package mirror
