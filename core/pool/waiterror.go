package pool

import (
	"slices"
	"time"
)

const (
	// minSafetyFactor and maxSafetyFactor bound the factor on the expected wait. Without the factor, one request was dropped
	// from the queue for each 20 that were rejected on arrival (TestOverload).
	minSafetyFactor = 1.05
	maxSafetyFactor = 4
	// minCompared is the shortest expected wait that is compared with the actual wait.
	minCompared    = 20 * time.Millisecond
	waitErrorAlpha = 1.0 / 32
)

// waitError tracks by how much the actual wait of requests exceeds the expected wait: later requests of other teams get
// their share first, and the work of a request is an estimate.
type waitError struct {
	mean, deviation float64 // EWMAs of actual wait / expected wait - 1 and of its absolute deviation
}

func (waitError *waitError) observe(expected, waited time.Duration) {
	if expected < minCompared {
		return
	}
	difference := min(float64(waited)/float64(expected), maxSafetyFactor) - 1 - waitError.mean
	waitError.mean += waitErrorAlpha * difference
	waitError.deviation += waitErrorAlpha * (max(difference, -difference) - waitError.deviation)
}

// safetyFactor returns the factor on the expected wait within which most requests are served.
func (waitError *waitError) safetyFactor() float64 {
	return min(maxSafetyFactor, max(minSafetyFactor, 1+waitError.mean+waitError.deviation))
}

// delaysPastDeadline reports whether a new request would delay a queued one of its team past its deadline.
//
// It checks only three of the requests behind the new one: the first, the middle and the last.
func (dispatcher *Dispatcher) delaysPastDeadline(now time.Time, added *entry) bool {
	team := dispatcher.queue.teams[added.team]
	if team == nil {
		return false
	}
	first, _ := slices.BinarySearchFunc(team.entries, added, compareEntries)
	last := len(team.entries) - 1
	if first > last {
		return false
	}
	for _, position := range []int{first, (first + last) / 2, last} {
		waiting := team.entries[position]
		ahead := dispatcher.workAhead(waiting) + added.cost
		wait := time.Duration(dispatcher.waitError.safetyFactor() * float64(dispatcher.waitBehind(ahead)))
		if now.Add(wait + dispatcher.serviceTime(waiting) + waiting.reservedTime).After(waiting.deadline) {
			return true
		}
	}
	return false
}
