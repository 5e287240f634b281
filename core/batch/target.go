package batch

import (
	"math"
	"time"

	"catkincove/core"
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
	fullUntil           time.Time // the target has no free result capacity before this time
	consecutiveFull     int       // consecutive calls with a piece that found no result capacity
	reservedBytes       int64     // bytes of the results of calls in flight
	retainedBytes       int64
	unaccountedBytes    int64 // bytes of results that this pool does not know, as of unaccountedAt
	unaccountedAt       time.Time
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

func (worker *worker) retain(handle string, bytes int64, expires time.Time) {
	if len(worker.retainedResults) >= maxRetainedResults {
		return
	}
	worker.retainedResults[handle] = retainedResult{bytes: bytes, expires: expires}
	worker.retainedBytes += bytes
	worker.nextExpiry = earliest(worker.nextExpiry, expires)
}

func (worker *worker) freeRetainedResult(handle string) {
	if result, found := worker.retainedResults[handle]; found {
		delete(worker.retainedResults, handle)
		worker.retainedBytes -= result.bytes
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

func (worker *worker) freeResultBytes(now time.Time, spec core.BatchSpec) int64 {
	if now.Before(worker.fullUntil) {
		return 0
	}
	return int64(float64(spec.MaxResultBytes)*usableResultShare) - worker.reservedBytes - worker.retainedBytes - worker.remainingUnaccounted(now, spec.ResultTTL)
}

// remainingUnaccounted returns the bytes that unaccounted results still occupy; they expire evenly over the lifetime of
// a result.
func (worker *worker) remainingUnaccounted(now time.Time, ttl time.Duration) int64 {
	remainingShare := 1 - float64(now.Sub(worker.unaccountedAt))/float64(max(ttl, time.Millisecond))
	return int64(float64(worker.unaccountedBytes) * max(remainingShare, 0))
}

// fitsFrom returns when unaccounted results have expired to such an extent that a result of the size fits; zero means that it
// fits already, or only after other results are freed.
func (worker *worker) fitsFrom(now time.Time, spec core.BatchSpec, bytes int64) time.Time {
	room := int64(float64(spec.MaxResultBytes)*usableResultShare) - worker.reservedBytes - worker.retainedBytes - bytes
	if room < 0 || worker.remainingUnaccounted(now, spec.ResultTTL) <= room {
		return time.Time{}
	}
	remainingShare := float64(room) / float64(worker.unaccountedBytes)
	return worker.unaccountedAt.Add(time.Duration((1 - remainingShare) * float64(spec.ResultTTL)))
}

// recordFull records that the target had no free result capacity although the pool expected some: after a daemon has
// crashed, nobody frees the results of its requests.
func (worker *worker) recordFull(now time.Time, spec core.BatchSpec) {
	worker.fullUntil = now.Add(min(fullBackoff<<min(worker.consecutiveFull, 4), maxFullBackoff))
	worker.consecutiveFull++
	accounted := worker.reservedBytes + worker.retainedBytes
	if unaccounted := int64(float64(spec.MaxResultBytes)*usableResultShare) - accounted; unaccounted > worker.remainingUnaccounted(now, spec.ResultTTL) {
		worker.unaccountedBytes, worker.unaccountedAt = unaccounted, now
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

func (worker *worker) recordFailure(now time.Time) {
	worker.backoffUntil = now.Add(min(failureBackoff<<min(worker.consecutiveFailures, 4), maxFailureBackoff))
	worker.consecutiveFailures++
}
