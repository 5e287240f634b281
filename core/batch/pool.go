package batch

import (
	"slices"
	"time"

	"catkincove/core"
)

const (
	maxAttempts             = 4                      // calls that may include one piece before its job fails
	stallFactor             = 1.8                    // a call that takes this many times its expected time is stalled and repeated elsewhere
	stallMargin             = 150 * time.Millisecond // extra time before a call is stalled, for short calls
	timeoutFactor           = 3.0                    // timeout of a call as a multiple of its expected time on the target
	timeoutMargin           = 2 * time.Second        // extra timeout of a call, for the calls that run before it on the target
	classFactorSmoothing    = 0.2                    // smoothing factor (alpha) of the moving average of a class factor
	minClassFactor          = 0.05                   // lower bound of a class factor, so that one outlier does not distort it
	maxClassFactor          = 4.0                    // upper bound of a class factor, for the same reason
	localityWaitShare       = 0.3                    // share of a piece's slack that it may wait for a target near its inputs
	maxLateWait             = 1 * time.Second        // longest wait for a free slot of a job that cannot meet its soft deadline
	infeasibleCheckInterval = 10 * time.Millisecond  // time between searches of the queue for infeasible jobs
	handoverPeriod          = 700 * time.Millisecond // time after the first call in which targets may still run calls of the previous sender
	handoverIdle            = 3 * time.Second        // time without calls after which another sender may have had the role
	minProcessStall         = 300 * time.Millisecond // a Dispatch that is late by this much shows a stall of this process
	priorityOffset          = 100 * time.Millisecond // each step of lower priority makes a job due this much later
)

// Pool forms the calls to the targets of one service; it is not safe for concurrent use.
//
// It is made for a load of more pieces, from many daemons, than targets can process one by one, while some targets are
// slow, full or removed.
type Pool struct {
	// Pacer limits the calls to targets that have named a limit; nil means that none has.
	Pacer core.Pacer
	// Arms divides the calls between software versions; nil means that all targets get calls.
	Arms Arms
	// Early repeats pieces of slow calls.
	Early Early

	spec                core.BatchSpec
	workers             map[string]*worker
	jobs                map[JobID]*job
	queue               []*piece
	calls               map[CallID]*call
	classFactors        map[string]float64 // time of a piece relative to spec.PieceTime, by class
	lastJobID           JobID
	lastCallID          CallID
	infeasibleCheckedAt time.Time // last search of the queue for infeasible jobs
	dispatchDue         time.Time // latest time for the next Dispatch; zero means none
	localityWaitEnds    time.Time // first time at which a piece no longer waits for a target near its inputs, as of the last Dispatch; zero means none waits
	firstCallAt         time.Time // start of the first call since the pool began to send
	lastCallAt          time.Time // start of the last call
	passOverEnds        time.Time // time of the next look at targets that the last Dispatch passed over as slow; zero means none was
	fetches             []fetch   // in order of time
	releaseAfter        time.Time // inputs are not released early before this time
	pressure            pressure
	recentForecast      Forecast
	forecastAt          time.Time         // of recentForecast
	shares              map[string]*share // claims on the room for results, by class
	sharesMeasuredAt    time.Time
	sharesChangeAt      time.Time // end of the present period of shares
}

type piece struct {
	job          *job
	number       int
	attempts     int
	runningCalls int // calls in flight that include it
	done         bool
	queued       bool
	begun        bool // a call has included it that was not rejected
}

type job struct {
	Job
	id        JobID
	share     *share
	pieces    []piece
	handles   []string
	remaining int
	toBegin   int       // pieces that no call has included yet
	released  bool      // the inputs were returned by FetchedInputs
	lateSince time.Time // time when it could first no longer meet its soft deadline
}

type call struct {
	id            CallID
	worker        *worker
	pieces        []*piece
	startedAt     time.Time
	expected      time.Duration // expected duration on a target of usual speed
	resultBytes   int64
	heldBytes     int64 // results that the pool knew at the target when the call was sent
	stalled       bool
	afterHandover bool    // may have waited behind a call of the previous sender
	stretch       float64 // expected duration at the pace that the target had told when the call began, relative to expected
	predicted     float64 // stretch by what the target had told, whether it counted or not
	maxPace       float64 // highest pace that the target has told since, at least stretch
	endPace       float64 // told with the response; 0 means none
}

// New returns a pool without targets or jobs for the specification.
func New(spec core.BatchSpec) *Pool {
	spec.MaxPieces, spec.MaxCalls = max(spec.MaxPieces, 1), max(spec.MaxCalls, 1)
	return &Pool{
		spec: spec, workers: map[string]*worker{}, jobs: map[JobID]*job{}, calls: map[CallID]*call{},
		classFactors: map[string]float64{}, shares: map[string]*share{},
	}
}

// SetTargets replaces the targets that may receive calls.
func (pool *Pool) SetTargets(targets []Target) {
	for _, worker := range pool.workers {
		worker.removed = true
	}
	for _, target := range targets {
		if known := pool.workers[target.ID]; known != nil && known.Target == target {
			known.removed = false
			continue
		}
		pool.workers[target.ID] = &worker{Target: target, slowdown: 1, retainedResults: map[string]retainedResult{}, heldBytes: map[*share]int64{}}
	}
	for id, worker := range pool.workers {
		if worker.removed && worker.inFlight == 0 {
			delete(pool.workers, id)
		}
	}
}

// Submit queues a job and returns its ID.
func (pool *Pool) Submit(submitted Job) JobID {
	pool.lastJobID++
	added := &job{Job: submitted, id: pool.lastJobID, share: pool.shareOf(submitted.Class, submitted.ResultBytes), remaining: submitted.Pieces, toBegin: submitted.Pieces, handles: make([]string, submitted.Pieces)}
	added.pieces = make([]piece, submitted.Pieces)
	pool.jobs[added.id] = added
	pool.pressure.add(time.Duration(added.Pieces) * (pool.spec.CallOverhead/time.Duration(pool.spec.MaxPieces) + pool.pieceTime(added.Class)))
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

// Cancel removes a job and returns the handles of its finished pieces.
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

// DrainQueue removes the jobs of which no piece has started and returns them with the fault PieceMoved, for handover to
// the next sender.
func (pool *Pool) DrainQueue() []Result {
	var moved []Result
	for id, waiting := range pool.jobs {
		started := slices.ContainsFunc(waiting.pieces, func(piece piece) bool { return piece.runningCalls > 0 || piece.done })
		if !started {
			pool.drop(waiting)
			moved = append(moved, Result{Job: id, Fault: core.PieceMoved})
		}
	}
	return moved
}

// Free records that targets no longer hold the results.
func (pool *Pool) Free(handles []string) {
	for _, handle := range handles {
		for _, worker := range pool.workers {
			worker.freeRetainedResult(handle)
		}
	}
}

// Finish records the outcome of a call and returns the jobs that ended with it and the handles that are no longer
// needed.
func (pool *Pool) Finish(now time.Time, id CallID, outcome Outcome, results []core.PieceResult) (ended []Result, unused []string) {
	call := pool.calls[id]
	if call == nil {
		return nil, nil
	}
	pool.compensateStall(now)
	delete(pool.calls, id)
	pool.Early.finish(now, call, outcome)
	worker := call.worker
	worker.inFlight--
	worker.reservedBytes -= call.resultBytes
	for _, piece := range call.pieces {
		piece.runningCalls--
		worker.hold(piece.job.share, -piece.job.ResultBytes)
	}
	switch outcome {
	case Rejected:
		worker.backoffUntil = now.Add(max(rejectedBackoff, pool.externalWait(now, worker)))
		for _, piece := range call.pieces {
			piece.attempts--
			piece.unwatchFetch()
			pool.enqueue(piece)
		}
		return nil, nil
	case Failed:
		worker.recordFailure(now, pool.spec.ResultTTL)
		return pool.retryPieces(call.pieces)
	}
	took := now.Sub(call.startedAt)
	// A wait behind calls of the previous sender only makes a target look slower than it is, so that a fast call still shows
	// that it is not slow: otherwise the first calls, if they stall, leave all targets with calls of one piece.
	if !call.afterHandover {
		pool.updateClassFactors(call, took)
	}
	if !call.afterHandover || float64(took) < float64(call.expected)*worker.currentSlowdown(now)*call.stretch {
		worker.told.Learn(call.predicted, float64(took)/float64(max(call.expected, time.Millisecond)))
		worker.recordSuccess(now, call.slowdown(took))
	}
	expires := now.Add(pool.spec.ResultTTL)
	pool.recordRoom(now, call, results)
	for i, returned := range call.pieces {
		result := results[i]
		switch {
		case result.Fault == core.PieceDone && returned.done:
			worker.retain(result.Handle, retainedResult{owner: returned.job.Owner, share: returned.job.share, bytes: returned.job.ResultBytes, expires: expires})
			unused = append(unused, result.Handle)
		case result.Fault == core.PieceDone:
			worker.retain(result.Handle, retainedResult{owner: returned.job.Owner, share: returned.job.share, bytes: returned.job.ResultBytes, expires: expires})
			ended = append(ended, pool.complete(returned, result.Handle)...)
		case returned.done:
		case result.Fault == core.PieceNoRoom:
			pool.enqueue(returned)
		case result.Fault == core.PieceFailed:
			failed, freed := pool.retryPieces([]*piece{returned})
			ended, unused = append(ended, failed...), append(unused, freed...)
		case result.Fault == core.PieceInputGone && returned.runningCalls > 0:
			pool.recordGone(now, returned) // a call that began earlier still has the inputs
		default: // late, or an input is gone: a retry on another target cannot succeed
			if result.Fault == core.PieceInputGone {
				pool.recordGone(now, returned)
			}
			unused = append(unused, pool.drop(returned.job)...)
			ended = append(ended, Result{Job: returned.job.id, Fault: result.Fault})
		}
	}
	return ended, unused
}

func (pool *Pool) complete(finished *piece, handle string) []Result {
	finished.done = true
	if finished.queued {
		finished.queued = false
		pool.queue = slices.DeleteFunc(pool.queue, func(waiting *piece) bool { return waiting == finished })
	}
	owner := finished.job
	owner.handles[finished.number] = handle
	owner.remaining--
	if owner.remaining > 0 {
		return nil
	}
	delete(pool.jobs, owner.id)
	return []Result{{Job: owner.id, Handles: owner.handles, InputsReleased: owner.released}}
}

// retryPieces queues pieces again after a failure, or ends their jobs when they have used up their attempts.
func (pool *Pool) retryPieces(pieces []*piece) (ended []Result, unused []string) {
	for _, piece := range pieces {
		switch {
		case piece.done || piece.runningCalls > 0:
		case piece.job.released:
			unused = append(unused, pool.drop(piece.job)...)
			ended = append(ended, Result{Job: piece.job.id, Fault: core.PieceInputGone})
		case piece.attempts < maxAttempts:
			pool.enqueue(piece)
		default:
			unused = append(unused, pool.drop(piece.job)...)
			ended = append(ended, Result{Job: piece.job.id, Fault: core.PieceFailed})
		}
	}
	return ended, unused
}
