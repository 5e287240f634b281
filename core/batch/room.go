package batch

import (
	"time"

	"catkincove/core"
)

const unaccountedStep = 150 * time.Millisecond // the estimate of unaccounted results changes at multiples of this time, so that few wake-ups follow from it

// unaccounted is an estimate of the results at a target that the pool does not know: those of calls that another sender made
// before this one, and of calls that had no response. It ends when the last of them has expired, however many calls find the
// target full meanwhile.
type unaccounted struct {
	bytes      int64 // as of measuredAt
	refused    int64 // smallest result that found no room then
	measuredAt time.Time
	until      time.Time // none of them lives longer
}

// at returns the bytes that are expected at the time; they fall evenly until all results have expired.
func (unaccounted unaccounted) at(now time.Time) int64 {
	timeLeft := unaccounted.until.Sub(now.Truncate(unaccountedStep))
	whole := unaccounted.until.Sub(unaccounted.measuredAt.Truncate(unaccountedStep))
	if whole <= 0 || !now.Before(unaccounted.until) {
		return 0
	}
	return int64(float64(unaccounted.bytes) * float64(timeLeft) / float64(whole))
}

// changesAt returns when the estimate changes next; zero means that it does not.
func (unaccounted unaccounted) changesAt(now time.Time) time.Time {
	if unaccounted.bytes == 0 || !now.Before(unaccounted.until) {
		return time.Time{}
	}
	return earliest(now.Truncate(unaccountedStep).Add(unaccountedStep), unaccounted.until)
}

// usableResultBytes returns the part of a target's result capacity that the pool plans with.
func usableResultBytes(spec core.BatchSpec) int64 {
	return int64(float64(spec.MaxResultBytes) * usableResultShare)
}

// freeResultBytes returns the room at the target for results of further pieces.
func (worker *worker) freeResultBytes(now time.Time, spec core.BatchSpec) int64 {
	free := usableResultBytes(spec) - worker.reservedBytes - worker.retainedBytes - worker.unaccounted.at(now)
	if now.Before(worker.fullUntil) {
		free = min(free, worker.fullBytes-1)
	}
	return free
}

// roomEvidence is what a response says about the room that its call found.
type roomEvidence struct {
	heldBytes   int64 // results of this pool that the target held when the call was sent
	fittedBytes int64
	largest     int64 // largest result that found room
	smallest    int64 // smallest result that found none
	full        bool
}

// evidence returns what the results say about the room that the call found.
func (call *call) evidence(results []core.PieceResult) roomEvidence {
	evidence := roomEvidence{heldBytes: call.heldBytes}
	for i, piece := range call.pieces {
		bytes := piece.job.ResultBytes
		switch results[i].Fault {
		case core.PieceDone:
			evidence.fittedBytes += bytes
			evidence.largest = max(evidence.largest, bytes)
		case core.PieceNoRoom:
			if !evidence.full || bytes < evidence.smallest {
				evidence.smallest = bytes
			}
			evidence.full = true
		}
	}
	return evidence
}

// recordRoom learns from the response to a call how much room its target had.
//
// Load pattern: targets that are full of results of daemons that have ended, which nobody frees before they expire. What found
// room in a call bounds them from above. Once they have expired, a full target says nothing about the next call: an estimate
// that each full call renews keeps the pool from room that is free, and queues grow under the load that it served before.
func (pool *Pool) recordRoom(now time.Time, call *call, results []core.PieceResult) {
	worker, evidence := call.worker, call.evidence(results)
	if !evidence.full {
		if evidence.largest >= worker.fullBytes {
			worker.consecutiveFull = 0
		}
		return
	}
	fullCall := pool.spec.CallOverhead + pool.spec.PieceTime*time.Duration(pool.spec.MaxPieces) // the last call of another sender
	until := pool.firstCallAt.Add(fullCall + pool.spec.ResultTTL)
	if until.Before(worker.unansweredUntil) {
		until = worker.unansweredUntil
	}
	explained := now.Before(until)
	if explained {
		bytes := usableResultBytes(pool.spec) - evidence.heldBytes - evidence.fittedBytes
		worker.unaccounted = unaccounted{bytes: max(bytes, 0), refused: evidence.smallest, measuredAt: now, until: until}
	}
	if evidence.largest >= evidence.smallest {
		worker.consecutiveFull = 0
		if explained {
			return // the estimate says what fits
		}
	}
	worker.recordFull(now, evidence.smallest)
}

// recordFull records that a result of the size found no room, so that none of this size or a larger one is tried for a while.
func (worker *worker) recordFull(now time.Time, bytes int64) {
	worker.fullUntil = now.Add(min(fullBackoff<<min(worker.consecutiveFull, 4), maxFullBackoff))
	worker.fullBytes = bytes
	worker.consecutiveFull++
}
