package xchg

import (
	"io"
	"net"
	"net/http"
)

// ConnectionHeaders holds the names of the header fields that belong to one connection and are not forwarded.
var ConnectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true, "Trailer": true,
	"Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// CopyHeader copies the header of a response that is forwarded, and keeps net/http from adding fields that it lacks.
func CopyHeader(to, from http.Header) {
	for name, values := range from {
		if !ConnectionHeaders[name] {
			to[name] = values
		}
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // net/http would guess a type
	}
	if from.Get("Date") == "" {
		to["Date"] = nil
	}
}

// BodyAllowed reports whether a response with the status may have a body.
func BodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// WatchedBody is the body of a response that reports each read that returns bytes, and that it is closed.
type WatchedBody struct {
	io.ReadCloser
	Received func()
	Closed   func()
}

// Read reads from the body.
func (body *WatchedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if count > 0 {
		body.Received()
	}
	return count, err
}

// Close closes the body.
func (body *WatchedBody) Close() error {
	body.Closed()
	return body.ReadCloser.Close()
}

// HostName returns the host of a Host header field without its port.
func HostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}
