package retry

import "time"

const windowSlots = 20 // the window slides in steps of a twentieth

// Window bounds repeats to a share of the requests of the last Length plus Slack; set the fields before use.
//
// Each daemon uses it with its share of the slack that all daemons have together, so that the sum holds whatever the
// daemons know of each other.
type Window struct {
	Length time.Duration
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats beyond the ratio

	start    time.Time
	slot     int64
	requests [windowSlots]float64
	repeats  [windowSlots]float64
}

func (window *Window) advance(now time.Time) {
	if window.start.IsZero() {
		window.start = now
	}
	slot := int64(now.Sub(window.start) / (window.Length / windowSlots))
	for i := max(window.slot+1, slot-windowSlots+1); i <= slot; i++ {
		window.requests[i%windowSlots], window.repeats[i%windowSlots] = 0, 0
	}
	window.slot = max(window.slot, slot)
}

// Request counts the first sending of a request.
func (window *Window) Request(now time.Time) {
	window.advance(now)
	window.requests[window.slot%windowSlots]++
}

// Take counts one repeat; it reports false when the window does not cover it.
func (window *Window) Take(now time.Time) bool {
	window.advance(now)
	var requests, repeats float64
	for i := range windowSlots {
		requests += window.requests[i]
		repeats += window.repeats[i]
	}
	if repeats+1 > window.Ratio*requests+window.Slack {
		return false
	}
	window.repeats[window.slot%windowSlots]++
	return true
}
