// Package wire has the common parts of the simulated servers: an HTTP server that can refuse connections for
// a while, and JSON helpers.
package wire
