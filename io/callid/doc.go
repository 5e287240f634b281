// Package callid tells the response to an HTTP/1.1 call from a second copy of an earlier response on the same connection.
package callid
