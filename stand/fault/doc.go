// Package fault is a TCP proxy that breaks, silences or delays connections between two parts.
package fault
