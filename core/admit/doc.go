// Package admit forecasts when a request would be done and decides whether to take it or to tell its caller when to
// come back.
package admit
