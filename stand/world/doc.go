// Package world starts a whole stand-in platform in one process, for the demo and for tests.
package world
