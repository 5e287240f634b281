package batch

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

const (
	maxTries        = 4                      // calls that one piece may be part of before its job fails
	stallRatio      = 1.8                    // a call that takes this much longer than expected is repeated elsewhere
	stallMargin     = 150 * time.Millisecond // beyond the ratio, for short calls
	callTimeout     = 3.0                    // a call is given up after this multiple of the slowest expectation
	callMargin      = 2 * time.Second
	classWeight     = 0.2 // of the newest call in the estimate of a class's time
	leastClass      = 0.05
	mostClass       = 4.0
	zonePatience    = 0.3                    // of the time left to its aim that a piece waits for a target near its inputs
	lateLimit       = 700 * time.Millisecond // that a job waits for spare places once it cannot be on time
	checkEvery      = 10 * time.Millisecond  // between two searches of the queue for hopeless jobs
	takeOver        = 700 * time.Millisecond // in which calls of the daemon that sent before may still run
	leastPause      = 300 * time.Millisecond // by which Next comes late when the daemon has been paused
	lateInputsLimit = 1 * time.Second        // the same for a job that earlier stages have worked for
	priorityOffset  = 100 * time.Millisecond // less urgent jobs count as due this much later for each step
)

// Pool forms the calls to the targets of one service; it is not safe for concurrent use.
//
// Load pattern: more pieces arrive than targets can do one by one, from many daemons, while some targets are slow, full
// or gone.
type Pool struct {
	spec    core.BatchSpec
	workers map[string]*worker
	jobs    map[JobID]*job
	queue   []*piece
	calls   map[CallID]*call
	classes map[string]float64 // time of a piece against spec.Item
	lastJob JobID
	lastRun CallID
	checked time.Time // when the queue was last searched for hopeless jobs
	due     time.Time // when Next must be called at the latest
	first   time.Time // of the first call
}

type piece struct {
	job     *job
	number  int
	tries   int
	running int // calls that it is part of
	done    bool
	queued  bool
}

type job struct {
	Job
	id      JobID
	pieces  []piece
	handles []string
	left    int
	late    time.Time // when it was first seen to be late
}

type call struct {
	id       CallID
	worker   *worker
	pieces   []*piece
	began    time.Time
	expected time.Duration // at a target of usual speed
	bytes    int64
	stalled  bool
	shared   bool // may have waited behind a call of the daemon that sent before
}

// New returns an empty pool of targets with the specification.
func New(spec core.BatchSpec) *Pool {
	spec.Size, spec.Calls = max(spec.Size, 1), max(spec.Calls, 1)
	return &Pool{
		spec: spec, workers: map[string]*worker{}, jobs: map[JobID]*job{}, calls: map[CallID]*call{},
		classes: map[string]float64{},
	}
}

// SetTargets replaces the targets that may get calls.
func (pool *Pool) SetTargets(targets []Target) {
	for _, worker := range pool.workers {
		worker.gone = true
	}
	for _, target := range targets {
		if known := pool.workers[target.ID]; known != nil && known.Address == target.Address {
			known.gone = false
			continue
		}
		pool.workers[target.ID] = &worker{Target: target, slow: 1, held: map[string]held{}}
	}
	for id, worker := range pool.workers {
		if worker.gone && worker.calls == 0 {
			delete(pool.workers, id)
		}
	}
}

// Submit queues a job.
func (pool *Pool) Submit(submitted Job) JobID {
	pool.lastJob++
	added := &job{Job: submitted, id: pool.lastJob, left: submitted.Pieces, handles: make([]string, submitted.Pieces)}
	added.pieces = make([]piece, submitted.Pieces)
	pool.jobs[added.id] = added
	for i := range added.pieces {
		added.pieces[i] = piece{job: added, number: i}
		pool.enqueue(&added.pieces[i])
	}
	return added.id
}

func (pool *Pool) enqueue(waiting *piece) {
	if !waiting.queued && !waiting.done {
		waiting.queued = true
		pool.queue = append(pool.queue, waiting)
	}
}

// Cancel drops a job; it returns the handles that it had already.
func (pool *Pool) Cancel(id JobID) []string {
	cancelled := pool.jobs[id]
	if cancelled == nil {
		return nil
	}
	return pool.drop(cancelled)
}

func (pool *Pool) drop(dropped *job) []string {
	delete(pool.jobs, dropped.id)
	for i := range dropped.pieces {
		dropped.pieces[i].done = true
	}
	pool.queue = slices.DeleteFunc(pool.queue, func(waiting *piece) bool { return waiting.job == dropped })
	return slices.DeleteFunc(slices.Clone(dropped.handles), func(handle string) bool { return handle == "" })
}

// Withdraw ends the jobs that no call has taken up yet, for the daemon that sends after this one.
func (pool *Pool) Withdraw() []Result {
	var moved []Result
	for id, waiting := range pool.jobs {
		begun := slices.ContainsFunc(waiting.pieces, func(part piece) bool { return part.running > 0 || part.done })
		if !begun {
			pool.drop(waiting)
			moved = append(moved, Result{Job: id, Fault: core.PieceMoved})
		}
	}
	return moved
}

// Free notes that results are no longer held.
func (pool *Pool) Free(handles []string) {
	for _, handle := range handles {
		for _, worker := range pool.workers {
			worker.free(handle)
		}
	}
}

// Next returns the calls to send now, the jobs that cannot be done in time, and the results that nobody needs.
func (pool *Pool) Next(now time.Time) (calls []Call, ended []Result, unused []string) {
	pool.resume(now)
	for _, worker := range pool.workers {
		worker.expire(now)
	}
	pool.repeatStalled(now)
	ended, unused = pool.refuseHopeless(now)
	idle := pool.idle(now)
	if len(idle) == 0 || len(pool.queue) == 0 {
		return nil, ended, unused // most events of a long queue end here, before it is sorted
	}
	pool.sortQueue(now)
	zones := pool.zones(now)
	for i, worker := range idle {
		if len(pool.queue) == 0 {
			break
		}
		if formed := pool.form(now, worker, len(idle)-i, zones); formed != nil {
			calls = append(calls, pool.begin(now, worker, formed))
		}
	}
	return calls, ended, unused
}

// resume notices that this daemon has been paused: Next is due at the latest when a call stalls. The time of the pause
// says nothing about the targets, whose answers may be waiting to be read.
func (pool *Pool) resume(now time.Time) {
	if pool.due.IsZero() {
		return
	}
	pause := now.Sub(pool.due)
	pool.due = time.Time{}
	if pause < leastPause {
		return
	}
	for _, call := range pool.calls {
		call.began = call.began.Add(pause + leastPause) // answers that wait are read in the meantime
	}
}

// repeatStalled queues the pieces of calls that take far longer than expected once more: their target has become slow or
// silent, and a piece may be produced twice.
func (pool *Pool) repeatStalled(now time.Time) {
	for _, call := range pool.calls {
		elapsed := now.Sub(call.began)
		if call.stalled || elapsed < pool.stallAfter(now, call) {
			continue
		}
		call.stalled = true
		call.worker.stalled(now, float64(elapsed)/float64(call.expected))
		for _, part := range call.pieces {
			if part.tries < maxTries {
				pool.enqueue(part)
			}
		}
	}
}

func (pool *Pool) stallAfter(now time.Time, call *call) time.Duration {
	patience := time.Duration(float64(call.expected)*max(call.worker.pace(now), 1)*stallRatio) + stallMargin
	if call.shared {
		patience += call.expected
	}
	return patience
}

// refuseHopeless ends the jobs that would not be done by their deadline even if their turn came in the present order.
func (pool *Pool) refuseHopeless(now time.Time) (ended []Result, unused []string) {
	if now.Sub(pool.checked) < checkEvery {
		return nil, nil
	}
	pool.checked = now
	pool.markLate(now)
	shortest := pool.spec.Call
	refused := map[*job]bool{}
	for _, waiting := range pool.queue {
		if waiting.running > 0 {
			continue
		}
		patience := lateLimit
		if len(waiting.job.Inputs) > 0 {
			patience = lateInputsLimit
		}
		overdue := !waiting.job.late.IsZero() && now.Sub(waiting.job.late) > patience
		if overdue || now.Add(shortest).After(waiting.job.Deadline) {
			refused[waiting.job] = true
		}
	}
	for hopeless := range refused {
		unused = append(unused, pool.drop(hopeless)...)
		ended = append(ended, Result{Job: hopeless.id, Fault: core.PieceLate})
	}
	return ended, unused
}

// sortQueue puts the jobs that can still be on time first, those due earliest before the others; late ones fill up what
// is left of a call.
func (pool *Pool) sortQueue(now time.Time) {
	pool.markLate(now)
	late := func(waiting *piece) int {
		if !waiting.job.late.IsZero() {
			return 1
		}
		return 0
	}
	due := func(job *job) time.Time { return job.Aim.Add(time.Duration(job.Priority) * priorityOffset) }
	slices.SortStableFunc(pool.queue, func(a, b *piece) int {
		return cmp.Or(cmp.Compare(late(a), late(b)), due(a.job).Compare(due(b.job)), cmp.Compare(a.job.id, b.job.id))
	})
}

// markLate notes the jobs that can no longer be on time.
func (pool *Pool) markLate(now time.Time) {
	usual := pool.usualCall()
	for _, waiting := range pool.queue {
		if waiting.job.late.IsZero() && now.Add(usual).After(waiting.job.Aim) {
			waiting.job.late = now
		}
	}
}

// idle returns the targets with a free place, fastest first.
func (pool *Pool) idle(now time.Time) []*worker {
	var idle []*worker
	fast := false
	for _, worker := range pool.workers {
		if worker.usable(now) && worker.pace(now) < unusablySlow {
			fast = true
		}
	}
	for _, worker := range pool.workers {
		if !worker.usable(now) || worker.calls >= pool.spec.Calls {
			continue
		}
		if fast && worker.pace(now) >= unusablySlow {
			continue
		}
		idle = append(idle, worker)
	}
	slices.SortFunc(idle, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(a.pace(now), b.pace(now)), cmp.Compare(a.heldBytes+a.reserved, b.heldBytes+b.reserved), cmp.Compare(a.ID, b.ID))
	})
	return idle
}

// zone is the state of the targets of one data centre.
type zone struct {
	targets int
	free    time.Duration // until the first of them has a place
	ahead   int           // pieces that wait for it
}

// zones returns the data centres with usable targets.
func (pool *Pool) zones(now time.Time) map[string]*zone {
	zones := map[string]*zone{}
	free := map[*worker]time.Duration{}
	for _, call := range pool.calls {
		left := max(time.Duration(float64(call.expected)*call.worker.pace(now))-now.Sub(call.began), 0)
		free[call.worker] = max(free[call.worker], left)
	}
	for _, worker := range pool.workers {
		if !worker.usable(now) {
			continue
		}
		if zones[worker.Zone] == nil {
			zones[worker.Zone] = &zone{free: free[worker]}
		}
		zones[worker.Zone].targets++
		zones[worker.Zone].free = min(zones[worker.Zone].free, free[worker])
	}
	return zones
}

// wait is how long a piece waits for a place in the data centre behind the pieces that were passed over for it so far.
func (zone *zone) wait(size int, call time.Duration) time.Duration {
	rounds := zone.ahead / (size * zone.targets)
	return zone.free + call*time.Duration(rounds)
}

// form takes the pieces of one call off the queue; with several idle targets it leaves them a share. A piece waits for a
// target near its inputs while that takes a small part of the time left to its aim: every piece of a stage fetches all
// results of the stage before.
func (pool *Pool) form(now time.Time, worker *worker, idle int, zones map[string]*zone) []*piece {
	usual := pool.usualCall()
	waits := func(job *job) bool {
		if job.Zone == "" || job.Zone == worker.Zone || zones[job.Zone] == nil {
			return false
		}
		spare := float64(job.Aim.Sub(now) - usual)
		return float64(zones[job.Zone].wait(pool.spec.Size, usual)) < spare*zonePatience
	}
	size := max((len(pool.queue)+idle-1)/idle, (pool.spec.Size+1)/2)
	size = min(size, pool.spec.Size)
	if worker.slow >= unusablySlow {
		size = 1 // a call that only shows whether the target is still slow
	}
	room := worker.room(now, pool.spec)
	var formed []*piece
	rest := pool.queue[:0]
	for i, waiting := range pool.queue {
		if len(formed) >= size {
			rest = append(rest, pool.queue[i:]...)
			break
		}
		if waits(waiting.job) {
			zones[waiting.job.Zone].ahead++
			rest = append(rest, waiting)
			continue
		}
		if waiting.job.Bytes > room {
			rest = append(rest, waiting)
			continue
		}
		room -= waiting.job.Bytes
		waiting.queued = false
		if waiting.job.Zone == "" {
			waiting.job.Zone = worker.Zone // its other pieces stay together
		}
		formed = append(formed, waiting)
	}
	clear(pool.queue[len(rest):])
	pool.queue = rest
	return formed
}

func (pool *Pool) begin(now time.Time, worker *worker, pieces []*piece) Call {
	pool.lastRun++
	if pool.first.IsZero() {
		pool.first = now
	}
	begun := &call{shared: now.Sub(pool.first) < takeOver, id: pool.lastRun, worker: worker, pieces: pieces, began: now, expected: pool.expected(pieces)}
	request := Call{ID: begun.id, Target: worker.Target}
	for _, part := range pieces {
		part.tries++
		part.running++
		begun.bytes += part.job.Bytes
		request.Pieces = append(request.Pieces, core.Piece{
			Attempt: part.job.Attempt, Stage: part.job.Stage, Number: part.number,
			Left: part.job.Deadline.Sub(now), Key: part.job.Key, Inputs: part.job.Inputs,
		})
	}
	request.Timeout = time.Duration(float64(begun.expected)*callTimeout*max(worker.pace(now), 1)) + callMargin
	request.Bytes, request.Held = begun.bytes, worker.heldBytes+worker.reserved
	worker.calls++
	worker.reserved += begun.bytes
	pool.calls[begun.id] = begun
	return request
}

// Finish ends a call; it returns the jobs that have ended with it and the results that nobody needs.
func (pool *Pool) Finish(now time.Time, id CallID, ending Ending, results []core.PieceResult) (ended []Result, unused []string) {
	call := pool.calls[id]
	if call == nil {
		return nil, nil
	}
	pool.resume(now)
	delete(pool.calls, id)
	worker := call.worker
	worker.calls--
	worker.reserved -= call.bytes
	for _, part := range call.pieces {
		part.running--
	}
	switch ending {
	case Refused:
		worker.rest = now.Add(refusedRest)
		for _, part := range call.pieces {
			part.tries--
			pool.enqueue(part)
		}
		return nil, nil
	case Broken:
		worker.failed(now)
		return pool.retry(call.pieces)
	}
	took := now.Sub(call.began)
	if !call.shared {
		pool.learn(call, took)
		worker.succeeded(now, took, call.expected)
	}
	expires := now.Add(pool.spec.ResultLife)
	full := false
	for i, part := range call.pieces {
		result := results[i]
		switch {
		case result.Fault == core.PieceDone && part.done:
			worker.hold(result.Handle, part.job.Bytes, expires)
			unused = append(unused, result.Handle)
		case result.Fault == core.PieceDone:
			worker.hold(result.Handle, part.job.Bytes, expires)
			ended = append(ended, pool.complete(part, result.Handle)...)
		case part.done:
		case result.Fault == core.PieceNoRoom:
			full = true
			pool.enqueue(part)
		case result.Fault == core.PieceFailed:
			failed, freed := pool.retry([]*piece{part})
			ended, unused = append(ended, failed...), append(unused, freed...)
		default: // late, or an input is gone: no other target can do better
			unused = append(unused, pool.drop(part.job)...)
			ended = append(ended, Result{Job: part.job.id, Fault: result.Fault})
		}
	}
	if full {
		worker.noRoom(now, pool.spec)
	} else {
		worker.fullCalls = 0
	}
	return ended, unused
}

func (pool *Pool) complete(part *piece, handle string) []Result {
	part.done = true
	if part.queued {
		part.queued = false
		pool.queue = slices.DeleteFunc(pool.queue, func(waiting *piece) bool { return waiting == part })
	}
	owner := part.job
	owner.handles[part.number] = handle
	owner.left--
	if owner.left > 0 {
		return nil
	}
	delete(pool.jobs, owner.id)
	return []Result{{Job: owner.id, Handles: owner.handles}}
}

// retry queues pieces again after a failure, or ends their jobs when they have been tried often enough.
func (pool *Pool) retry(pieces []*piece) (ended []Result, unused []string) {
	for _, part := range pieces {
		switch {
		case part.done || part.running > 0:
		case part.tries < maxTries:
			pool.enqueue(part)
		default:
			unused = append(unused, pool.drop(part.job)...)
			ended = append(ended, Result{Job: part.job.id, Fault: core.PieceFailed})
		}
	}
	return ended, unused
}

// item returns the time of a piece of the class.
func (pool *Pool) item(class string) time.Duration {
	factor, known := pool.classes[class]
	if !known {
		factor = 1
	}
	return time.Duration(float64(pool.spec.Item) * factor)
}

func (pool *Pool) expected(pieces []*piece) time.Duration {
	sum := pool.spec.Call
	for _, part := range pieces {
		sum += pool.item(part.job.Class)
	}
	return sum
}

// learn adjusts the times of the classes to the time of a call on a target of usual speed.
func (pool *Pool) learn(call *call, took time.Duration) {
	const usualLow, usualHigh = 0.7, 1.4
	if pace := call.worker.pace(call.began); pace < usualLow || pace > usualHigh || call.expected <= pool.spec.Call {
		return
	}
	ratio := float64(took-pool.spec.Call) / float64(call.expected-pool.spec.Call)
	ratio = min(max(ratio, 0.5), 2)
	classes := map[string]int{}
	for _, part := range call.pieces {
		classes[part.job.Class]++
	}
	for class, count := range classes {
		factor, known := pool.classes[class]
		if !known {
			factor = 1
		}
		weight := classWeight * float64(count) / float64(len(call.pieces))
		pool.classes[class] = min(max(factor*(1+(ratio-1)*weight), leastClass), mostClass)
	}
}

// usualCall is the time of a call at the present length of the queue: half a batch at least, as form takes.
func (pool *Pool) usualCall() time.Duration {
	size := min(max(len(pool.queue)/max(len(pool.workers), 1), (pool.spec.Size+1)/2), pool.spec.Size)
	var items time.Duration
	for _, waiting := range pool.queue {
		items += pool.item(waiting.job.Class)
	}
	if len(pool.queue) == 0 {
		return pool.spec.Call + pool.spec.Item*time.Duration(size)
	}
	return pool.spec.Call + items*time.Duration(size)/time.Duration(len(pool.queue))
}

// Wake returns when Next may have something to do without further events; zero means never.
func (pool *Pool) Wake(now time.Time) time.Time {
	var wake time.Time
	sooner := func(at time.Time) {
		if wake.IsZero() || at.Before(wake) {
			wake = at
		}
	}
	for _, call := range pool.calls {
		if !call.stalled {
			sooner(call.began.Add(pool.stallAfter(now, call)))
		}
	}
	if len(pool.queue) > 0 {
		for _, worker := range pool.workers {
			if worker.rest.After(now) {
				sooner(worker.rest)
			}
			if worker.roomRest.After(now) {
				sooner(worker.roomRest)
			}
		}
		for _, waiting := range pool.queue {
			sooner(waiting.job.Deadline.Add(-pool.spec.Call))
		}
	}
	if !wake.IsZero() && !wake.After(now) {
		wake = now.Add(time.Millisecond)
	}
	pool.due = wake
	return wake
}

// Forecast returns how long new jobs would wait.
func (pool *Pool) Forecast(now time.Time) Forecast {
	forecast := Forecast{Call: pool.usualCall(), Ahead: make([]time.Duration, forecastSteps)}
	paces := pool.paces(now)
	for _, pace := range paces {
		// All targets slow at once are as likely a pause of this daemon; that must not stop it from taking work.
		forecast.Capacity += 1 / max(pace/paces[len(paces)/2], 1)
	}
	perPiece := pool.spec.Call / time.Duration(pool.spec.Size)
	for _, waiting := range pool.queue {
		if now.Add(pool.spec.Call).After(waiting.job.Aim) {
			continue // late jobs give way to new ones
		}
		cost := perPiece + pool.item(waiting.job.Class)
		due := waiting.job.Aim.Add(time.Duration(waiting.job.Priority) * priorityOffset).Sub(now)
		for step := max(int(due/ForecastStep), 0); step < forecastSteps; step++ {
			forecast.Ahead[step] += cost
		}
	}
	// Running calls hold their targets for what is left of them.
	var running time.Duration
	busy := 0
	for _, call := range pool.calls {
		busy++
		running += max(call.began.Add(call.expected).Sub(now), 0)
	}
	if busy >= len(pool.workers)*pool.spec.Calls {
		for step := range forecast.Ahead {
			forecast.Ahead[step] += running / 2
		}
	}
	return forecast
}

// paces returns the paces of the usable targets, fastest first.
func (pool *Pool) paces(now time.Time) []float64 {
	var paces []float64
	for _, worker := range pool.workers {
		if worker.usable(now) {
			paces = append(paces, max(worker.pace(now), 1))
		}
	}
	slices.Sort(paces)
	return paces
}

// Length returns how many pieces wait and how many calls run.
func (pool *Pool) Length() (waiting, running int) { return len(pool.queue), len(pool.calls) }
