// Package world starts a complete simulated platform (store, list of VMs and targets) in one process, for the demo and
// for tests.
package world
