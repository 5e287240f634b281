// Package pool decides which request may be sent to which target of one pool.
//
// A Dispatcher is a pure state machine: it starts no goroutine, takes no lock and is given the time. It is used only on
// the control goroutine of the daemon that owns the pool.
package pool
