package pool

import "time"

const (
	// mostFailures is the number of failures in a row after which a target rests. A target that fails at once looks idle
	// and draws work: with one in twelve failing, 43% of the requests failed.
	mostFailures = 3
	// leastRest doubles with each further failure up to mostRest.
	leastRest = 200 * time.Millisecond
	mostRest  = 10 * time.Second
	// restingShare is the inverse share of the targets that may rest: when more fail, the cause is not the targets.
	restingShare = 2
)

// noteFailure lets a target rest that answers with errors; after the rest it is tried at its cold limit.
func (dispatcher *Dispatcher) noteFailure(now time.Time, target *target) {
	target.failed++
	if target.failed < mostFailures || target.detached || !dispatcher.mayRest(target) {
		return
	}
	rest := mostRest
	if doublings := target.failed - mostFailures; doublings < 8 {
		rest = min(mostRest, leastRest<<doublings)
	}
	target.resting, target.restUntil = true, now.Add(rest)
	dispatcher.counters.Rests++
	dispatcher.resetLimit(target)
}

func (dispatcher *Dispatcher) mayRest(candidate *target) bool {
	resting := 1
	for _, target := range dispatcher.order {
		if target.resting && target != candidate {
			resting++
		}
	}
	return resting <= len(dispatcher.order)/restingShare
}

// endRests makes targets available again whose rest is over.
func (dispatcher *Dispatcher) endRests(now time.Time) {
	for _, target := range dispatcher.order {
		if target.resting && !now.Before(target.restUntil) {
			target.resting = false
			dispatcher.refresh(target)
		}
	}
}
