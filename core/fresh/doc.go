// Package fresh decides whether this daemon may still rely on its configuration and whether a quorum has lost the store.
package fresh
