// Package xchg exchanges single HTTP/1.1 requests with targets over kept connections, and says for each failure
// whether the request can have run.
package xchg
