package batch

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkincove/core/retry"
)

const (
	minEarlySamples  = 100              // calls from which the quantile of their times counts
	earlySpan        = 30 * time.Second // a histogram covers one to two of these; older calls are forgotten
	earlyQuantile    = 95
	maxEarlyCredit   = 40.0            // pieces saved up beyond which calls earn none; a call repeats all its pieces
	earlyNoRoom      = 3 * time.Second // time after a rejection in which the service counts as short of room
	earlyScale       = 1000            // steps of the histograms for the expected time of a call
	maxEarlyRatio    = 100             // largest measured time of a call in the histograms, as a multiple of the expected one
	earlyDigits      = 2               // precision of the histograms, an error of 1 in 100
	minEarlyFraction = 1.05            // a call is not repeated before this multiple of its expected time
)

// Early is how the pieces of slow calls are repeated before their call counts as stalled; the zero value repeats none.
type Early struct {
	share  float64      // pieces repeated per piece; 0 means none
	budget retry.Window // the pieces that were answered count as its requests

	current, before *hdrhistogram.Histogram // measured time of calls relative to the expected one
	since           time.Time               // start of the current span
	factor          float64                 // quantile of both; 0 means unknown
	credit          float64                 // pieces that may be repeated
	noRoomAt        time.Time
	considered      map[CallID]bool // calls in flight that were due, whether or not their pieces were repeated
	pieces          int64           // pieces repeated so far
}

// Limit sets the share of the pieces that may be repeated, and the retry budget: repeats allowed per piece in a sliding window.
func (early *Early) Limit(share, ratio float64, window time.Duration) {
	if window != early.budget.Length {
		early.budget = retry.Window{Length: window}
	}
	early.share, early.budget.Ratio = share, ratio
}

// Repeated returns how many pieces were repeated early so far.
func (early *Early) Repeated() int64 { return early.pieces }

// finish learns from the end of a call.
func (early *Early) finish(now time.Time, call *call, outcome Outcome) {
	delete(early.considered, call.id)
	if early.share <= 0 {
		return
	}
	if outcome == Rejected {
		early.noRoomAt = now
	}
	if outcome != Responded || call.afterHandover || call.expected <= 0 {
		return
	}
	for range call.pieces {
		early.budget.AddRequest(now)
	}
	early.credit = min(early.credit+early.share*float64(len(call.pieces)), maxEarlyCredit)
	if early.current == nil || now.Sub(early.since) >= earlySpan {
		early.before, early.current, early.since = early.current, hdrhistogram.New(1, maxEarlyRatio*earlyScale, earlyDigits), now
	}
	ratio := int64(earlyScale * float64(now.Sub(call.startedAt)) / float64(call.expected))
	_ = early.current.RecordValue(min(max(ratio, 1), maxEarlyRatio*earlyScale))
	merged := early.current
	if early.before != nil {
		merged = early.before.Clone()
		merged.Merge(early.current)
	}
	early.factor = 0
	if merged.TotalCount() >= minEarlySamples {
		early.factor = max(float64(merged.ValueAtQuantile(earlyQuantile))/earlyScale, minEarlyFraction)
	}
}

// due returns when the pieces of a call may be repeated early; zero means never.
func (early *Early) due(call *call) time.Time {
	if early.share <= 0 || early.factor == 0 || early.credit < float64(len(call.pieces)) || call.stalled || early.considered[call.id] {
		return time.Time{}
	}
	return call.startedAt.Add(time.Duration(early.factor * float64(call.expected)))
}

// requeueSlow queues the pieces of one call that takes longer than 95 of 100 calls again, if nothing is queued and another target is idle. A call is
// considered once, when it is due, so that no Dispatch is needed at the moment at which that becomes possible; it may stall later.
func (pool *Pool) requeueSlow(now time.Time) {
	early := &pool.Early
	if early.share <= 0 {
		return
	}
	var slow *call
	for _, call := range pool.calls {
		if due := early.due(call); due.IsZero() || now.Before(due) {
			continue
		}
		if early.considered == nil {
			early.considered = map[CallID]bool{}
		}
		early.considered[call.id] = true
		if pool.mayRepeat(call) && (slow == nil || call.id < slow.id) {
			slow = call
		}
	}
	hasRoom := len(pool.queue) == 0 && (early.noRoomAt.IsZero() || now.Sub(early.noRoomAt) >= earlyNoRoom)
	if slow == nil || !hasRoom || !pool.othersTake(now, slow) || !early.budget.AllowAll(now, len(slow.pieces)) {
		return
	}
	early.credit -= float64(len(slow.pieces))
	early.pieces += int64(len(slow.pieces))
	for _, piece := range slow.pieces {
		pool.enqueue(piece)
	}
}

// othersTake reports whether an idle target other than that of the call would take all its pieces.
func (pool *Pool) othersTake(now time.Time, call *call) bool {
	idle := pool.idleWorkers(now)
	if len(idle) == 0 {
		return false
	}
	firstTakesAll := 2*len(call.pieces) <= pool.spec.MaxPieces+1
	return idle[0] != call.worker && firstTakesAll || !slices.Contains(idle, call.worker)
}

// mayRepeat reports whether all pieces of a call are in no other call, can be sent again and have their inputs.
func (pool *Pool) mayRepeat(call *call) bool {
	return !slices.ContainsFunc(call.pieces, func(piece *piece) bool {
		return piece.done || piece.runningCalls != 1 || piece.attempts >= maxAttempts || piece.job.released
	})
}
