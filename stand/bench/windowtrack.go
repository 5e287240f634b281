package bench

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ageUnit is the unit of times in messages of the tracker.
const ageUnit = 100 * time.Millisecond

// tracker follows thresholds as in Cormode and Yi, "Tracking Distributed Aggregates over Time-based Sliding Windows".
// Time is cut at multiples of the window. A daemon tells the growth of its count since the cut by steps; at the cut it
// sends the times at which what is left of that count falls by the same steps. An estimate is at most the count, and
// the count at most 1+epsilon times the estimate, at each daemon and so in the sum, with times exact to ageUnit.
type tracker struct {
	traffic
	levels []int                     // 0, 1 and so on, each the smallest integer larger by 1+epsilon
	cut    int                       // number of the window that runs
	calls  []map[int][]time.Duration // by daemon and team, since the cut; exact, where larger counts want a histogram
	falls  []fall                    // announced at the last cut, in the order of time
	counts []int                     // the asker's estimates
}

type fall struct {
	at       time.Duration
	team, by int
}

func newTracker(shape WindowShape, epsilon float64) *tracker {
	const rounding, most = 1e-9, 1 << 30 // 1.05 x 20 is above 21 in floating point
	tracker := &tracker{traffic: newTraffic(shape.Daemons), levels: []int{0}, counts: make([]int, shape.Teams)}
	for level := 1; level < most; level = int(math.Ceil((1+epsilon)*float64(level) - rounding)) {
		tracker.levels = append(tracker.levels, level)
	}
	for range shape.Daemons {
		tracker.calls = append(tracker.calls, map[int][]time.Duration{})
	}
	return tracker
}

func (tracker *tracker) add(call call) {
	times := append(tracker.calls[call.site][call.team], call.at)
	tracker.calls[call.site][call.team] = times
	if number, reached := slices.BinarySearch(tracker.levels, len(times)); reached {
		tracker.counts[call.team] += len(times) - tracker.levels[number-1]
		tracker.record(call.site, tracker.cut, rows{call.team: {len(times)}})
	}
}

func (tracker *tracker) advance(now time.Duration) {
	for cut := window * time.Duration(tracker.cut+1); cut <= now; cut += window {
		tracker.turn(cut)
	}
	for len(tracker.falls) > 0 && tracker.falls[0].at <= now {
		tracker.counts[tracker.falls[0].team] -= tracker.falls[0].by
		tracker.falls = tracker.falls[1:]
	}
}

// turn sends the lists in one message for each daemon and begins a window; the counts told pass into the lists.
func (tracker *tracker) turn(cut time.Duration) {
	for site, calls := range tracker.calls {
		lists := rows{}
		for team, times := range calls {
			lists[team] = tracker.list(cut, team, times)
		}
		tracker.record(site, tracker.cut, lists)
		clear(calls)
	}
	slices.SortFunc(tracker.falls, func(a, b fall) int { return cmp.Compare(a.at, b.at) })
	tracker.cut++
}

// list returns the ages of the calls that hold up a level, newest first, as differences; both sides know the levels.
func (tracker *tracker) list(cut time.Duration, team int, times []time.Duration) (ages []int) {
	previous := 0
	for i := 1; tracker.levels[i] <= len(times); i++ {
		age := int((cut - times[len(times)-tracker.levels[i]]) / ageUnit)
		expires := cut + window - time.Duration(age)*ageUnit
		tracker.falls = append(tracker.falls, fall{expires, team, tracker.levels[i] - tracker.levels[i-1]})
		ages, previous = append(ages, age-previous), age
	}
	return ages
}

func (tracker *tracker) estimate(team int, _ time.Duration) float64 {
	return float64(tracker.counts[team])
}

// state counts 4 bytes for each number or time: team, count told and times at daemons; daemon, team and count told, and
// time, team and size of each fall at the asker.
func (tracker *tracker) state() (daemons, asker int) {
	for _, calls := range tracker.calls {
		for _, times := range calls {
			daemons += 8 + 4*len(times)
			asker += 12
		}
	}
	return daemons, asker + 12*len(tracker.falls) + 4*len(tracker.counts)
}
