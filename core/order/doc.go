// Package order plans the orders, commands to load or unload a model, that a pool owner sends to its targets.
//
// A Planner is a pure state machine for one pool: it starts no goroutine, takes no lock and is given the time.
package order
