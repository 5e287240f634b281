// Package loop runs the control state of a daemon on one goroutine.
package loop
