package batch

import (
	"math"
	"time"

	"catkincove/core/gauge"
)

const (
	rejectedBackoff    = 100 * time.Millisecond // backoff after a rejection: a target without a free slot has one after part of a call
	failureBackoff     = 500 * time.Millisecond // backoff after a failure, doubled with each consecutive one
	maxFailureBackoff  = 4 * time.Second        // longest backoff of a target that keeps failing; then one call probes it
	fullBackoff        = 200 * time.Millisecond // backoff of a target without free result capacity: results are freed within about a call
	slowdownSmoothing  = 0.5                    // smoothing factor (alpha) of the moving average of a target's slowdown
	maxSlowdown        = 20.0                   // upper bound of a slowdown, so that one stalled call does not outlast its cause
	maxFullBackoff     = 800 * time.Millisecond // upper bound of fullBackoff, which doubles with each consecutive call that finds no capacity
	usableResultShare  = 0.95                   // usable share of a target's result capacity: results are a little larger or smaller than declared
	unusableSlowdown   = 3.0                    // targets slower than this get work only while no faster one is usable
	slowdownHalfLife   = 4 * time.Second        // half-life of a target's slowdown, so that a slow target is tried again
	maxRetainedResults = 10_000                 // results tracked per target; bounds the memory for results that are never freed
)

type retainedResult struct {
	owner   string // daemon that holds it; empty means this one or one of an older build
	share   *share
	bytes   int64
	expires time.Time
}

// worker is the pool's state of one target.
type worker struct {
	Target
	withheld            bool // Arms lets it get no call
	removed             bool // no longer in the registry; its calls may still be in flight
	inFlight            int
	slowdown            float64 // moving average of measured to expected call time, as of slowdownAt
	slowdownAt          time.Time
	backoffUntil        time.Time // no calls before this time
	consecutiveFailures int
	fullUntil           time.Time // the target has no room for results of fullBytes and more before this time
	fullBytes           int64     // smallest result that found no room in the last call with such a result
	consecutiveFull     int       // consecutive calls in which no result of fullBytes or more found room
	reservedBytes       int64     // bytes of the results of calls in flight
	retainedBytes       int64
	unaccounted         unaccounted
	heldBytes           map[*share]int64          // reservedBytes and retainedBytes by class
	unansweredUntil     time.Time                 // until then, results of calls without a response may occupy room
	retainedResults     map[string]retainedResult // results that the target retains, by handle
	nextExpiry          time.Time                 // time until which none of them expires; zero means that there is none
	told                gauge.Gauge               // what the target states of its load
}

func (worker *worker) usable(now time.Time) bool {
	return !worker.removed && !worker.withheld && !now.Before(worker.backoffUntil)
}

// currentSlowdown returns the slowdown, decayed to now. It returns to 1 without new calls, because a target that gets
// no calls could never show that it has recovered.
func (worker *worker) currentSlowdown(now time.Time) float64 {
	halfLives := now.Sub(worker.slowdownAt).Seconds() / slowdownHalfLife.Seconds()
	return 1 + (worker.slowdown-1)*math.Exp2(-halfLives)
}

// usableFrom returns when the slowdown falls below unusableSlowdown; zero means that it is below.
func (worker *worker) usableFrom(now time.Time) time.Time {
	if worker.currentSlowdown(now) < unusableSlowdown {
		return time.Time{}
	}
	halfLives := math.Log2((worker.slowdown - 1) / (unusableSlowdown - 1))
	return worker.slowdownAt.Add(time.Duration(halfLives*float64(slowdownHalfLife)) + time.Microsecond) // more than the rounding of currentSlowdown
}

func (worker *worker) retain(handle string, result retainedResult) {
	if len(worker.retainedResults) >= maxRetainedResults {
		return
	}
	worker.retainedResults[handle] = result
	worker.hold(result.share, result.bytes)
	worker.retainedBytes += result.bytes
	worker.nextExpiry = earliest(worker.nextExpiry, result.expires)
}

func (worker *worker) freeRetainedResult(handle string) {
	if result, found := worker.retainedResults[handle]; found {
		delete(worker.retainedResults, handle)
		worker.retainedBytes -= result.bytes
		worker.hold(result.share, -result.bytes)
	}
}

func (worker *worker) expireRetainedResults(now time.Time) {
	if !now.After(worker.nextExpiry) {
		return
	}
	worker.nextExpiry = time.Time{}
	for handle, result := range worker.retainedResults {
		if now.After(result.expires) {
			worker.freeRetainedResult(handle)
			continue
		}
		worker.nextExpiry = earliest(worker.nextExpiry, result.expires)
	}
}

func (worker *worker) recordSuccess(now time.Time, ratio float64) {
	worker.consecutiveFailures = 0
	ratio = min(ratio, maxSlowdown)
	slowdown := worker.currentSlowdown(now)
	worker.slowdown, worker.slowdownAt = slowdown+(ratio-slowdown)*slowdownSmoothing, now
}

// recordStall records that a running call has already taken this multiple of its expected time.
func (worker *worker) recordStall(now time.Time, ratio float64) {
	worker.slowdown, worker.slowdownAt = min(max(worker.currentSlowdown(now), ratio), maxSlowdown), now
}

func (worker *worker) recordFailure(now time.Time, ttl time.Duration) {
	worker.backoffUntil = now.Add(min(failureBackoff<<min(worker.consecutiveFailures, 4), maxFailureBackoff))
	worker.consecutiveFailures++
	worker.unansweredUntil = now.Add(ttl)
}
