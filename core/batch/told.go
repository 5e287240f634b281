package batch

import (
	"math"
	"slices"
	"time"

	"catkincove/core"
)

const (
	slowStretch      = 1.1                    // expected time of a call from which on a target is passed over if another one would end it earlier
	passOverInterval = 10 * time.Millisecond  // time between looks at a target that is passed over: what it told loses its worth steadily
	externalShare    = 0.5                    // share of a call that an external one at a target still takes, on average
	maxExternalWait  = 800 * time.Millisecond // longest wait for external calls by one statement, which may be wrong
)

// ObserveCall records what a target states of its load in the response to a call, before Finish. The target does not count that call.
//
// Load pattern: targets that share their machines with others, so that a share of them is slower for fractions of a second. The
// times of ended calls tell so when it is over.
func (pool *Pool) ObserveCall(now time.Time, id CallID, load core.Load) {
	if call := pool.calls[id]; call != nil && load.Told {
		if call.worker.told.Right() {
			call.endPace = load.Pace
		}
		pool.observe(now, call.worker, load, call.worker.inFlight-1)
	}
}

// Observe records what the target at the address states of its load in any other response.
func (pool *Pool) Observe(now time.Time, address string, load core.Load) {
	for _, worker := range pool.workers {
		if worker.Address == address && !worker.removed && load.Told {
			pool.observe(now, worker, load, worker.inFlight)
		}
	}
}

func (pool *Pool) observe(now time.Time, worker *worker, load core.Load, own int) {
	worker.told.Observe(now, load, own)
	for _, call := range pool.calls {
		if call.worker == worker && worker.told.Right() {
			call.maxPace = max(call.maxPace, load.Pace)
		}
	}
	if now.Sub(pool.firstCallAt) < handoverPeriod {
		worker.backoffUntil = latest(worker.backoffUntil, now.Add(pool.externalWait(now, worker)))
	}
}

// externalWait returns how long the calls of others occupy all slots of a target by its last statement: those of a previous sender,
// or of a second one while the daemons disagree. A call that waits here may still go to another target.
func (pool *Pool) externalWait(now time.Time, worker *worker) time.Duration {
	load, _, _ := worker.told.Told(now)
	excess := int(math.Round(float64(worker.told.Others())*worker.told.Weight(now))) + worker.inFlight - max(load.Slots, 1)
	if excess < 0 {
		return 0
	}
	calls := float64(excess)/float64(max(load.Slots, 1)) + externalShare
	return min(time.Duration(calls*float64(pool.typicalCallTime())), maxExternalWait)
}

// factor returns the expected time of a call at the target relative to its usual time.
func (worker *worker) factor(now time.Time, callTime time.Duration) float64 {
	return worker.currentSlowdown(now) * worker.told.Stretch(now, callTime)
}

// slowdown returns the part of the measured time of a call that the paces told from its beginning to its end do not explain,
// relative to its expected time. A target that keeps telling a wrong pace is thereby corrected.
func (call *call) slowdown(took time.Duration) float64 {
	ratio := float64(took) / float64(max(call.expected, time.Millisecond))
	endPace := call.endPace
	if endPace == 0 {
		endPace = call.stretch // the response told none
	}
	return ratio / min(max(ratio, min(call.stretch, endPace)), call.maxPace)
}

// sharers returns among how many targets the queue is divided if the first of them is to get its share by the paces that they have
// told.
func sharers(now time.Time, idle []*worker, callTime time.Duration) int {
	sum := 0.0
	for _, worker := range idle {
		sum += 1 / worker.told.Stretch(now, callTime)
	}
	return max(int(math.Round(sum*idle[0].told.Stretch(now, callTime))), 1)
}

// slot is a place for a call at a target.
type slot struct {
	worker *worker
	freeIn time.Duration
	idle   bool
}

// withoutSlow leaves out the idle targets that are slow at the moment, by what they have told, if the queued pieces would be done
// earlier at targets that are faster and will be idle soon. It gives the queue to the slots that end each call first.
func (pool *Pool) withoutSlow(now time.Time, idle []*worker, callTime time.Duration) []*worker {
	slow := func(worker *worker) bool { return worker.told.Stretch(now, callTime) >= slowStretch }
	if !slices.ContainsFunc(idle, slow) {
		return idle
	}
	slots := pool.slots(now, idle)
	chosen := map[*worker]bool{}
	size := min(max((len(pool.queue)+len(idle)-1)/len(idle), (pool.spec.MaxPieces+1)/2), pool.spec.MaxPieces)
	for pieces := len(pool.queue); pieces > 0 && len(chosen) < len(idle); pieces -= size {
		best, bestEnd := 0, time.Duration(0)
		for i, slot := range slots {
			end := slot.freeIn + time.Duration(float64(callTime)*slot.worker.factor(now, callTime))
			if i == 0 || end < bestEnd {
				best, bestEnd = i, end
			}
		}
		if slots[best].idle {
			chosen[slots[best].worker] = true
		}
		slots[best].freeIn, slots[best].idle = bestEnd, false
	}
	var kept []*worker
	for _, worker := range idle {
		if !slow(worker) || chosen[worker] {
			kept = append(kept, worker)
		}
	}
	if len(kept) < len(idle) {
		pool.passOverEnds = now.Add(passOverInterval)
	}
	return kept
}

// slots returns the slots of the idle targets, and those of the calls in flight at usable ones.
func (pool *Pool) slots(now time.Time, idle []*worker) []slot {
	var slots []slot
	for _, worker := range idle {
		for range pool.spec.MaxCalls - worker.inFlight {
			slots = append(slots, slot{worker: worker, idle: true})
		}
	}
	for _, call := range pool.calls {
		if call.worker.usable(now) && !call.stalled {
			slots = append(slots, slot{worker: call.worker, freeIn: call.timeLeft(now)})
		}
	}
	return slots
}

// timeLeft returns how much longer the call is expected to take.
func (call *call) timeLeft(now time.Time) time.Duration {
	return max(time.Duration(float64(call.expected)*call.worker.currentSlowdown(now)*call.stretch)-now.Sub(call.startedAt), 0)
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
