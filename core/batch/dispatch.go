package batch

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

// maxCallText is the size in bytes of the keys and IDs of the pieces of one call above which it takes no further piece. Each piece repeats those of its request,
// whose callers choose their length.
const maxCallText = 64 << 10

// Dispatch returns the calls to send now, the jobs that ended because they are infeasible, and the handles that are no
// longer needed.
func (pool *Pool) Dispatch(now time.Time) (calls []Call, ended []Result, unused []string) {
	pool.compensateStall(now)
	pool.divide()
	for _, worker := range pool.workers {
		worker.expireRetainedResults(now)
	}
	pool.measureShares(now)
	pool.requeueStalled(now)
	pool.requeueSlow(now)
	ended, unused = pool.rejectInfeasible(now)
	pool.localityWaitEnds, pool.passOverEnds = time.Time{}, time.Time{}
	for {
		started := pool.dispatchRound(now)
		if len(started) == 0 {
			return calls, ended, unused
		}
		calls = append(calls, started...)
	}
}

// dispatchRound starts at most one call to each idle target; a target may run several.
func (pool *Pool) dispatchRound(now time.Time) []Call {
	idle := pool.idleWorkers(now)
	if len(idle) == 0 || len(pool.queue) == 0 {
		return nil // most events on a long queue end here, without the cost of sorting it
	}
	pool.sortQueue(now)
	dataCentres, callTime := pool.usableDataCentres(now), pool.typicalCallTime()
	idle = pool.withoutSlow(now, idle, callTime)
	var calls []Call
	for i, worker := range idle {
		if len(pool.queue) == 0 {
			break
		}
		if worker.withheld {
			continue // the calls before have used up the share of its version
		}
		if batch := pool.formBatch(now, worker, sharers(now, idle[i:], callTime), dataCentres); batch != nil {
			calls = append(calls, pool.startCall(now, worker, batch))
		}
	}
	return calls
}

// compensateStall detects a stall of this process: without one, Dispatch runs before any call stalls. The duration of
// the process stall says nothing about the targets, whose responses may be waiting to be read, so it shifts the start
// times of the running calls.
func (pool *Pool) compensateStall(now time.Time) {
	if pool.dispatchDue.IsZero() {
		return
	}
	stall := now.Sub(pool.dispatchDue)
	pool.dispatchDue = time.Time{}
	if stall < minProcessStall {
		return
	}
	for _, call := range pool.calls {
		call.startedAt = call.startedAt.Add(stall + minProcessStall) // leaves time to read the responses that are waiting
	}
}

// requeueStalled queues the pieces of calls that take far longer than expected again, as a hedge: their target has
// become slow or unresponsive. Such a piece may be executed twice.
func (pool *Pool) requeueStalled(now time.Time) {
	for _, call := range pool.calls {
		elapsed := now.Sub(call.startedAt)
		if call.stalled || elapsed < pool.stallTimeout(now, call) {
			continue
		}
		call.stalled = true
		call.worker.recordStall(now, float64(elapsed)/(float64(call.expected)*call.maxPace))
		for _, piece := range call.pieces {
			if piece.attempts < maxAttempts && !piece.job.released {
				pool.enqueue(piece)
			}
		}
	}
}

func (pool *Pool) stallTimeout(now time.Time, call *call) time.Duration {
	timeout := time.Duration(float64(call.expected)*max(call.worker.currentSlowdown(now)*call.maxPace, 1)*stallFactor) + stallMargin
	if call.afterHandover {
		timeout += call.expected
	}
	return timeout
}

// rejectInfeasible ends the jobs that cannot meet their deadline even if they were sent now, and those that have waited
// too long past their soft deadline while their caller can still retry.
func (pool *Pool) rejectInfeasible(now time.Time) (ended []Result, unused []string) {
	if now.Sub(pool.infeasibleCheckedAt) < infeasibleCheckInterval {
		return nil, nil
	}
	pool.infeasibleCheckedAt = now
	pool.markLate(now)
	minCallTime := pool.pausedFor(now) + pool.spec.CallOverhead
	rejected := map[*job]bool{}
	for _, waiting := range pool.queue {
		if waiting.runningCalls > 0 {
			continue
		}
		lateTooLong := !waiting.job.LastAttempt && !waiting.job.lateSince.IsZero() && now.Sub(waiting.job.lateSince) > maxLateWait
		if lateTooLong || now.Add(minCallTime).After(waiting.job.Deadline) {
			rejected[waiting.job] = true
		}
	}
	for infeasible := range rejected {
		unused = append(unused, pool.drop(infeasible)...)
		ended = append(ended, Result{Job: infeasible.id, Fault: core.PieceLate})
	}
	return ended, unused
}

// sortQueue puts the jobs that can still meet their soft deadline first, in order of their due time; late jobs fill the
// rest of a call, in order of their deadline, since by their soft deadline one with much time left would go before one
// that is about to fail.
func (pool *Pool) sortQueue(now time.Time) {
	pool.markLate(now)
	late := func(waiting *piece) int {
		if !waiting.job.lateSince.IsZero() {
			return 1
		}
		return 0
	}
	due := func(job *job) time.Time {
		if !job.lateSince.IsZero() {
			return job.Deadline
		}
		return job.SoftDeadline.Add(time.Duration(job.Priority) * priorityOffset)
	}
	slices.SortStableFunc(pool.queue, func(a, b *piece) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), due(a.job).Compare(due(b.job)), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.number, b.number))
	})
}

// markLate records since when jobs can no longer meet their soft deadline.
func (pool *Pool) markLate(now time.Time) {
	callTime := pool.typicalCallTime()
	for _, waiting := range pool.queue {
		if waiting.job.lateSince.IsZero() && now.Add(callTime).After(waiting.job.SoftDeadline) {
			waiting.job.lateSince = now
		}
	}
}

// idleWorkers returns the targets with a free slot, fastest first. It leaves out very slow ones while a faster one is
// usable.
func (pool *Pool) idleWorkers(now time.Time) []*worker {
	var idle []*worker
	anyFast := false
	for _, worker := range pool.workers {
		if worker.usable(now) && worker.currentSlowdown(now) < unusableSlowdown && pool.paceWait(now, worker) == 0 {
			anyFast = true
		}
	}
	for _, worker := range pool.workers {
		if !worker.usable(now) || worker.inFlight >= pool.spec.MaxCalls || pool.paceWait(now, worker) > 0 {
			continue
		}
		if anyFast && worker.currentSlowdown(now) >= unusableSlowdown {
			continue
		}
		if worker.consecutiveFailures > 0 && worker.inFlight > 0 {
			continue // one call probes it
		}
		idle = append(idle, worker)
	}
	if len(idle) < 2 {
		return idle
	}
	callTime := pool.typicalCallTime()
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.factor(now, callTime), b.factor(now, callTime)), cmp.Compare(a.retainedBytes+a.reservedBytes, b.retainedBytes+b.reservedBytes), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

// paceWait returns how long a target that has named a limit must get no call.
func (pool *Pool) paceWait(now time.Time, worker *worker) time.Duration {
	if pool.Pacer == nil {
		return 0
	}
	return pool.Pacer.Wait(now, worker.ID)
}

// dataCentre is the state of the targets of one data centre.
type dataCentre struct {
	targets int
	freeIn  time.Duration // time until the first target has a free slot
	queued  int           // pieces that wait for the data centre
}

// usableDataCentres returns the data centres with usable targets, by name.
func (pool *Pool) usableDataCentres(now time.Time) map[string]*dataCentre {
	dataCentres := map[string]*dataCentre{}
	freeIn := map[*worker]time.Duration{}
	for _, call := range pool.calls {
		freeIn[call.worker] = max(freeIn[call.worker], call.timeLeft(now))
	}
	for _, worker := range pool.workers {
		if !worker.usable(now) {
			continue
		}
		freeIn[worker] = max(freeIn[worker], pool.paceWait(now, worker))
		if dataCentres[worker.DataCentre] == nil {
			dataCentres[worker.DataCentre] = &dataCentre{freeIn: freeIn[worker]}
		}
		dataCentres[worker.DataCentre].targets++
		dataCentres[worker.DataCentre].freeIn = min(dataCentres[worker.DataCentre].freeIn, freeIn[worker])
	}
	return dataCentres
}

// wait returns how long a piece waits for a slot in the data centre, behind the pieces that formBatch has left waiting
// for it.
func (dataCentre *dataCentre) wait(size int, callTime time.Duration) time.Duration {
	return dataCentre.freeIn + dataCentre.waitBehind(size, callTime)
}

// waitBehind returns the part of wait after the first target has a free slot.
func (dataCentre *dataCentre) waitBehind(size int, callTime time.Duration) time.Duration {
	rounds := dataCentre.queued / (size * dataCentre.targets)
	return callTime * time.Duration(rounds)
}

// formBatch takes the pieces of one call off the queue and leaves a share for the other idle targets. A piece waits for
// a target near its inputs while the wait is a small part of its slack, because every piece of a stage fetches all
// results of the stage before.
func (pool *Pool) formBatch(now time.Time, worker *worker, idle int, dataCentres map[string]*dataCentre) []*piece {
	callTime := pool.typicalCallTime()
	shouldWait := func(job *job) bool {
		if job.DataCentre == "" || job.DataCentre == worker.DataCentre || dataCentres[job.DataCentre] == nil {
			return false
		}
		slack := float64(job.SoftDeadline.Sub(now) - callTime)
		if float64(dataCentres[job.DataCentre].wait(pool.spec.MaxPieces, callTime)) >= slack*localityWaitShare {
			return false
		}
		// The slack shrinks while the wait stays the same once a target there has a free slot.
		behind := float64(dataCentres[job.DataCentre].waitBehind(pool.spec.MaxPieces, callTime)) / localityWaitShare
		pool.localityWaitEnds = earliest(pool.localityWaitEnds, job.SoftDeadline.Add(-callTime-time.Duration(behind)))
		return true
	}
	size := max((len(pool.queue)+idle-1)/idle, (pool.spec.MaxPieces+1)/2)
	size = min(size, pool.spec.MaxPieces)
	if worker.slowdown >= unusableSlowdown {
		size = 1 // probes whether the target is still slow
	}
	room := pool.room(now, worker)
	var batch []*piece
	text := 0 // bytes of the keys and IDs of the batch
	kept := pool.queue[:0]
	for i, waiting := range pool.queue {
		if len(batch) >= size || text >= maxCallText {
			kept = append(kept, pool.queue[i:]...)
			break
		}
		if shouldWait(waiting.job) || !room.fits(waiting.job) {
			if near := dataCentres[waiting.job.DataCentre]; near != nil && waiting.job.DataCentre != worker.DataCentre {
				near.queued++
			}
			kept = append(kept, waiting)
			continue
		}
		room.take(waiting.job)
		waiting.queued = false
		if waiting.job.DataCentre == "" {
			waiting.job.DataCentre = worker.DataCentre // keeps the other pieces of the job in the same data centre
		}
		batch = append(batch, waiting)
		text += len(waiting.job.Key) + len(waiting.job.Attempt)
	}
	clear(pool.queue[len(kept):])
	pool.queue = kept
	return batch
}

func (pool *Pool) startCall(now time.Time, worker *worker, pieces []*piece) Call {
	pool.lastCallID++
	if now.Sub(pool.lastCallAt) > handoverIdle {
		pool.firstCallAt = now // another pool may have sent meanwhile
	}
	pool.lastCallAt = now
	started := &call{afterHandover: now.Sub(pool.firstCallAt) < handoverPeriod, id: pool.lastCallID, worker: worker, pieces: pieces, startedAt: now, expected: pool.expectedTime(pieces)}
	started.stretch = worker.told.Stretch(now, started.expected)
	started.predicted = worker.told.Prediction(now, started.expected)
	started.maxPace = started.stretch
	request := Call{ID: started.id, Target: worker.Target}
	for _, piece := range pieces {
		piece.attempts++
		piece.runningCalls++
		pool.watchFetch(now, piece)
		started.resultBytes += piece.job.ResultBytes
		worker.hold(piece.job.share, piece.job.ResultBytes)
		request.Pieces = append(request.Pieces, core.Piece{
			Attempt: piece.job.Attempt, Stage: piece.job.Stage, Number: piece.number,
			TimeLeft: piece.job.Deadline.Sub(now), Key: piece.job.Key, Inputs: piece.job.Inputs,
		})
	}
	request.Timeout = time.Duration(float64(started.expected)*timeoutFactor*max(worker.factor(now, started.expected), 1)) + timeoutMargin
	started.heldBytes = worker.retainedBytes + worker.reservedBytes
	request.ResultBytes, request.RetainedBytes = started.resultBytes, started.heldBytes
	if _, age, fresh := worker.told.Told(now); fresh && worker.told.Right() {
		request.Told, request.ToldAge = true, age
	}
	if pool.Pacer != nil {
		_, _ = pool.Pacer.Take(now, worker.ID, 0)
	}
	pool.began(worker)
	worker.inFlight++
	worker.reservedBytes += started.resultBytes
	pool.calls[started.id] = started
	return request
}
