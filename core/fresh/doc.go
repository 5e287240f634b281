// Package fresh decides whether this daemon may still rely on its configuration and whether the store is out for a quorum.
package fresh
