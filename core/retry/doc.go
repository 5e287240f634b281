// Package retry limits the retries of a daemon to a share of its requests, and paces them.
package retry
