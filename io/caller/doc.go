// Package caller is the client library for callers: it looks up and caches the addresses of daemons, sends requests with
// idempotency keys and retries them on other daemons where that is safe.
package caller
