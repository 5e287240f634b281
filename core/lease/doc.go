// Package lease holds the daemon's lease and the ownership of pools: claim, renewal, loss and handover gap.
package lease
