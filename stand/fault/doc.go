// Package fault is a TCP proxy that resets, stalls, refuses or delays connections between two processes.
package fault
