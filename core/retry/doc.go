// Package retry bounds the retries of a daemon.
package retry
