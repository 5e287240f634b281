// Package admit estimates when a request would complete, and decides whether to admit it or to tell its caller when to
// retry.
package admit
