package pool

import "time"

const (
	// maxConsecutiveFailures is the number of consecutive failures after which a target is ejected. A target that fails fast
	// looks idle and attracts work: with one failing target in twelve, 43% of the requests failed.
	maxConsecutiveFailures = 3
	// minEjection is the first ejection time; each further failure doubles it, up to maxEjection.
	minEjection = 200 * time.Millisecond
	maxEjection = 10 * time.Second
	// ejectedDivisor limits the ejected targets to 1/ejectedDivisor of all: if more fail, the targets are not the cause.
	ejectedDivisor = 2
)

// recordFailure ejects a target after consecutive failures; it starts again at its cold limit when the ejection ends.
func (dispatcher *Dispatcher) recordFailure(now time.Time, target *target) {
	target.consecutiveFailures++
	if target.consecutiveFailures < maxConsecutiveFailures || target.detached || !dispatcher.mayEject(target) {
		return
	}
	ejection := maxEjection
	if doublings := target.consecutiveFailures - maxConsecutiveFailures; doublings < 8 {
		ejection = min(maxEjection, minEjection<<doublings)
	}
	target.ejected, target.ejectedUntil = true, now.Add(ejection)
	dispatcher.counters.Rests++
	dispatcher.resetLimit(target)
}

func (dispatcher *Dispatcher) mayEject(candidate *target) bool {
	ejected := 1
	for _, target := range dispatcher.order {
		if target.ejected && target != candidate {
			ejected++
		}
	}
	return ejected <= len(dispatcher.order)/ejectedDivisor
}

// endEjections makes targets usable again when their ejection time is over.
func (dispatcher *Dispatcher) endEjections(now time.Time) {
	for _, target := range dispatcher.order {
		if target.ejected && !now.Before(target.ejectedUntil) {
			target.ejected = false
			dispatcher.updateSums(target)
		}
	}
}
