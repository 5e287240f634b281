// Package lease maintains the daemon's store lease and decides pool ownership: claims, renewal, loss and handover.
package lease
