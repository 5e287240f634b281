// Package entry implements the HTTP API of a daemon for callers and operators.
package entry
