package retry

import "time"

const (
	windowSlots = 20 // the window slides in steps of 1/20 of its length
	// DefaultLength is the length of a Window whose Length is 0.
	DefaultLength = 10 * time.Second
)

// Window limits retries to a share of the requests in a sliding window plus Slack; the zero value allows none.
//
// Each daemon uses its share of the slack of all daemons, so that the sum of their retries is bounded without any
// communication between them.
type Window struct {
	Length time.Duration // 0 means DefaultLength
	Ratio  float64       // retries allowed per request
	Slack  float64       // retries allowed beyond the ratio

	start    time.Time
	slot     int64
	requests [windowSlots]float64
	retries  [windowSlots]float64
}

func (window *Window) advance(now time.Time) {
	if window.start.IsZero() {
		window.start = now
	}
	length := window.Length
	if length <= 0 {
		length = DefaultLength
	}
	slot := int64(now.Sub(window.start) / (length / windowSlots))
	for i := max(window.slot+1, slot-windowSlots+1); i <= slot; i++ {
		window.requests[i%windowSlots], window.retries[i%windowSlots] = 0, 0
	}
	window.slot = max(window.slot, slot)
}

// AddRequest counts a request when it is sent for the first time.
func (window *Window) AddRequest(now time.Time) {
	window.advance(now)
	window.requests[window.slot%windowSlots]++
}

// Allow reports whether a retry is within the limit, and counts it if so.
func (window *Window) Allow(now time.Time) bool {
	window.advance(now)
	var requests, retries float64
	for i := range windowSlots {
		requests += window.requests[i]
		retries += window.retries[i]
	}
	if retries+1 > window.Ratio*requests+window.Slack {
		return false
	}
	window.retries[window.slot%windowSlots]++
	return true
}

// AllowAll reports whether a number of retries is within the limit, and counts them if so.
func (window *Window) AllowAll(now time.Time, count int) bool {
	for allowed := range count {
		if !window.Allow(now) {
			window.retries[window.slot%windowSlots] -= float64(allowed)
			return false
		}
	}
	return true
}
