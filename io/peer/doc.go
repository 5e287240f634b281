// Package peer carries the messages between daemons as JSON over HTTP/2 without TLS.
package peer
