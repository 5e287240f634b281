package intake

import "net/http"

const (
	largeHead       = 32 << 10 // memory of a head from which requests share their own limit
	largeHeadsShare = 0.5      // share of the memory of connections, heads and bodies for large heads of requests in progress
)

// reserveLarge reports whether a request that begins may hold its head, which counts until its handler returns if it is large; the mutex must be held. Requests in
// progress are never evicted, so they must not fill the memory for all.
func (pool *Pool) reserveLarge(request *request) bool {
	memory := request.conn.bodyBytes
	if memory <= largeHead {
		return true
	}
	if request.conn.multiplexed {
		memory = request.bytes // the other requests of the connection have reserved theirs
	}
	if pool.largeBytes+memory > pool.maxLargeBytes {
		return false
	}
	request.large = memory
	pool.largeBytes += memory
	return true
}

// refuse responds to a request that has not run.
func (pool *Pool) refuse(writer http.ResponseWriter) {
	pool.refused.Add(1)
	writer.Header().Set("Retry-After", refusalRetryAfter)
	writer.Header().Set("Connection", "close")
	writer.WriteHeader(http.StatusServiceUnavailable)
}

// headerMemory returns the memory that a parsed header and a forwarded copy need at most.
func headerMemory(header http.Header) int64 {
	memory := int64(0)
	for name, values := range header {
		for _, value := range values {
			memory += int64(len(name)+len(value))*headFactor + elementBytes
		}
	}
	return memory
}
