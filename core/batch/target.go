package batch

import (
	"time"
)

const (
	refusedRest   = 100 * time.Millisecond // a full target has a place after part of a call
	brokenRest    = 500 * time.Millisecond // doubled with each further failure
	longestRest   = 4 * time.Second
	roomRest      = 200 * time.Millisecond // results are freed within about a call
	slowWeight    = 0.5                    // of the newest call in the estimate of a target's speed
	slowest       = 20.0                   // bounds the estimate, so that one stalled call does not outlast its cause
	roomShare     = 0.95                   // results are a little larger or smaller than declared
	unusablySlow  = 3.0                    // slower targets get work only while they are the only ones
	retestSlow    = 3 * time.Second        // after this a slow target gets a call again, to see whether it has recovered
	heldResultCap = 10_000                 // bounds the memory for results that are never freed
)

type held struct {
	bytes   int64
	expires time.Time
}

// worker is what the pool knows of a target.
type worker struct {
	Target
	gone      bool // left the registry; its calls may still end
	calls     int
	slow      float64 // time of a call against the expected time
	slowSince time.Time
	rest      time.Time // no call before
	failures  int
	roomRest  time.Time
	reserved  int64 // bytes of results of running calls
	heldBytes int64
	held      map[string]held // by handle
}

func (worker *worker) usable(now time.Time) bool { return !worker.gone && !now.Before(worker.rest) }

func (worker *worker) hold(handle string, bytes int64, expires time.Time) {
	if len(worker.held) >= heldResultCap {
		return
	}
	worker.held[handle] = held{bytes: bytes, expires: expires}
	worker.heldBytes += bytes
}

func (worker *worker) free(handle string) {
	if result, found := worker.held[handle]; found {
		delete(worker.held, handle)
		worker.heldBytes -= result.bytes
	}
}

func (worker *worker) expire(now time.Time) {
	for handle, result := range worker.held {
		if now.After(result.expires) {
			worker.free(handle)
		}
	}
}

func (worker *worker) room(now time.Time, total int64) int64 {
	if now.Before(worker.roomRest) {
		return 0
	}
	return int64(float64(total)*roomShare) - worker.reserved - worker.heldBytes
}

func (worker *worker) succeeded(now time.Time, took, expected time.Duration) {
	worker.failures = 0
	ratio := min(float64(took)/float64(max(expected, time.Millisecond)), slowest)
	worker.slow += (ratio - worker.slow) * slowWeight
	worker.slowSince = now
}

// stalled notes that a call has already taken that much longer than expected.
func (worker *worker) stalled(now time.Time, ratio float64) {
	worker.slow = min(max(worker.slow, ratio), slowest)
	worker.slowSince = now
}

func (worker *worker) failed(now time.Time) {
	worker.rest = now.Add(min(brokenRest<<min(worker.failures, 4), longestRest))
	worker.failures++
}
