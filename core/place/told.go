package place

import (
	"time"

	"catkincove/core"
)

// Observe records what a target states of its load in the response to a request that has not been finished yet.
//
// Load pattern: targets of which each daemon sees a small part of the requests only, and that are slower for fractions of a second
// because they share their machines. All daemons see the same idle target at once: the cheaper of two random targets gets the request,
// and what a target has told counts for few requests.
func (chooser *Chooser) Observe(now time.Time, id string, load core.Load) {
	if load.Told {
		state := chooser.state(id)
		state.told.Observe(now, load, state.inFlight-1)
	}
}

// others returns how many requests of other daemons two targets have, as far as the statements of both still hold: what only one of them
// has told says nothing about which has less.
func (chooser *Chooser) others(now time.Time, first, second Target) (ofFirst, ofSecond float64) {
	a, b := &chooser.state(first.ID).told, &chooser.state(second.ID).told
	weight := min(a.Weight(now), b.Weight(now))
	return float64(a.Others()) * weight, float64(b.Others()) * weight
}

// sentTold notes by what the target had told a request was sent to it.
func (state *state) sentTold(now time.Time) {
	state.predicted = state.told.Prediction(now, 0)
	state.told.Use()
}

// unexplained returns the part of a measured slowdown that the told pace does not explain; they would count twice otherwise.
func (state *state) unexplained(slowdown float64) float64 {
	if state.predicted == 0 || state.predicted == 1 {
		return slowdown
	}
	if state.told.Learn(state.predicted, slowdown); !state.told.Right() {
		return slowdown
	}
	return slowdown / state.predicted
}
