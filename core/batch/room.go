package batch

import (
	"time"

	"catkincove/core"
)

// probeGrowth is the factor by which the room that a call tries beyond the estimate grows with each call that found it: results of
// senders that ended together expire together.
const probeGrowth = 4

// unaccounted is an estimate of the results at a target that the pool does not know: those of calls that another sender made
// before this one, and of calls that had no response. It ends when the last of them has expired, however many calls find the
// target full meanwhile.
type unaccounted struct {
	bytes   int64
	refused int64     // smallest result that found no room in the last call with such a result
	probe   int64     // room that the next call may try beyond the estimate
	until   time.Time // none of the results lives longer
}

// at returns the bytes that are expected at the time.
func (unaccounted unaccounted) at(now time.Time) int64 {
	if !now.Before(unaccounted.until) {
		return 0
	}
	return unaccounted.bytes
}

// usableResultBytes returns the part of a target's result capacity that the pool plans with.
func usableResultBytes(spec core.BatchSpec) int64 {
	return int64(float64(spec.MaxResultBytes) * usableResultShare)
}

// freeResultBytes returns the room at the target for results of further pieces.
func (worker *worker) freeResultBytes(now time.Time, spec core.BatchSpec) int64 {
	free := usableResultBytes(spec) - worker.reservedBytes - worker.retainedBytes
	if foreign := worker.unaccounted.at(now); foreign > 0 {
		free -= max(foreign-worker.unaccounted.probe, 0)
	}
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
	foreign := max(usableResultBytes(pool.spec)-evidence.heldBytes-evidence.fittedBytes, 0)
	if !evidence.full {
		if evidence.largest >= worker.fullBytes {
			worker.consecutiveFull = 0
		}
		if foreign < worker.unaccounted.at(now) {
			worker.unaccounted.bytes = foreign
			worker.unaccounted.probe = min(worker.unaccounted.probe*probeGrowth, pool.spec.MaxResultBytes)
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
		worker.unaccounted = unaccounted{bytes: foreign, refused: evidence.smallest, probe: evidence.smallest, until: until}
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
