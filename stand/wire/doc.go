// Package wire holds what all stand-ins share: a server whose port can be refused and restored, and JSON helpers.
package wire
