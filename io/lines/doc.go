// Package lines writes the log of a process without ever blocking the goroutines that log.
package lines
