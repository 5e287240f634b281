// Package daemon assembles one daemon from its components.
//
// Control state is accessed on the control goroutine only, which publishes an immutable snapshot for the request path.
package daemon
