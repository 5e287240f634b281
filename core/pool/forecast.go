package pool

import (
	"slices"
	"time"
)

const (
	// waitMargin and mostMargin bound the factor on the expected wait. Without it, one request was refused after it had
	// waited for each 20 that were refused at once (TestOverload).
	waitMargin = 1.05
	mostMargin = 4
	// leastForecast is the shortest expected wait that is compared with the wait that followed.
	leastForecast = 20 * time.Millisecond
	forecastGain  = 1.0 / 32
)

// forecast learns how much longer requests wait than expected: later requests of other teams take their share, and the
// work of a request is an estimate.
type forecast struct {
	mean, deviation float64 // of the wait by the expected wait, above 1
}

func (forecast *forecast) note(expected, waited time.Duration) {
	if expected < leastForecast {
		return
	}
	difference := min(float64(waited)/float64(expected), mostMargin) - 1 - forecast.mean
	forecast.mean += forecastGain * difference
	forecast.deviation += forecastGain * (max(difference, -difference) - forecast.deviation)
}

// margin is the factor on the expected wait within which most requests are served.
func (forecast *forecast) margin() float64 {
	return min(mostMargin, max(waitMargin, 1+forecast.mean+forecast.deviation))
}

// pushesOut reports whether a new request would delay a waiting one of its team beyond its time.
//
// Three of those behind it stand for all: the first, the last and the middle one.
func (dispatcher *Dispatcher) pushesOut(now time.Time, added *entry) bool {
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
		wait := time.Duration(dispatcher.forecast.margin() * float64(dispatcher.waitBehind(ahead)))
		if now.Add(wait + dispatcher.workTime(waiting) + waiting.reserve).After(waiting.deadline) {
			return true
		}
	}
	return false
}
