// Package xchg sends single HTTP/1.1 requests to targets over pooled connections; each error tells whether the request
// may have run.
package xchg
