package edge

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"catkincove/core"
	"catkincove/core/batch"
	"catkincove/core/limit"
	"catkincove/io/shift"
	"catkincove/io/xchg"
)

const (
	freeDelay         = 4 * time.Millisecond // results released within this time are freed in one call
	freeTimeout       = time.Second          // results expire on their own after some seconds
	senderIdleTimeout = 3 * time.Second      // time without jobs after which a sender no longer counts as in use
	maxPiecesBody     = 1 << 20              // limit in bytes on the response to a batch call
	maxBatchIdle      = 5 * time.Second      // time for which connections of batch calls stay idle; together with a call it is shorter than batch.RepeatsRetention
	lateLogInterval   = time.Second          // shortest time between two log lines of one service about jobs that are late
	maxLateLogTargets = 8                    // targets in such a line, about 1.5 KB
)

// Purposes that separate the connections of calls whose responses name no attempt. A second copy of one would be read as the response to a request; in the other
// direction, the copy of a request's response would be read as the response to the call.
const (
	purposeBatch = "batch"
	purposeFree  = "free"
)

// sender sends the batches of one service.
type sender struct {
	service      string
	pool         *batch.Pool
	results      map[batch.JobID]chan batch.Result // by job that a request waits for
	lastJobAt    time.Time
	wakeupAt     time.Time
	dispatchedAt time.Time           // last Dispatch before the present one
	lateLoggedAt time.Time           // last log line about jobs that could not meet their deadline
	pendingFrees map[string][]string // handles to free, by address
}

func (sender *sender) inUse(now time.Time) bool { return now.Sub(sender.lastJobAt) < senderIdleTimeout }

// sender returns the sender of a service and creates it with the specification if there is none; it must run on the
// loop.
func (daemon *Daemon) sender(service string, spec core.BatchSpec) *sender {
	known := daemon.control.senders[service]
	if known == nil {
		known = &sender{
			service: service, pool: batch.New(spec), results: map[batch.JobID]chan batch.Result{}, pendingFrees: map[string][]string{},
		}
		known.pool.Pacer = limit.Sender{Table: &daemon.control.limits}
		known.pool.Arms = shift.Calls{Mover: daemon.shift, Service: service}
		daemon.control.senders[service] = known
		known.pool.SetTargets(batch.TargetsOf(daemon.view.Load().targets[service]))
		daemon.log.Info().Str(eventField, eventSenderStarts).Str("Service", service).Msg("this daemon now sends the batches of the service")
	}
	bounds := daemon.settings.Load().Bounds
	known.pool.Early.Limit(bounds.HedgeShare, bounds.RetryRatio*retryBudgetShare, bounds.RetryWindow)
	return known
}

// refreshSenders gives the targets of a new view to all senders; it must run on the loop.
func (daemon *Daemon) refreshSenders(next *view) {
	for service, sender := range daemon.control.senders {
		sender.pool.SetTargets(batch.TargetsOf(next.targets[service]))
		daemon.dispatch(sender)
	}
}

// submit queues a job and returns the channel of its result; it must run on the loop.
func (daemon *Daemon) submit(sender *sender, job batch.Job) (batch.JobID, <-chan batch.Result) {
	id := sender.pool.Submit(job)
	result := make(chan batch.Result, 1)
	sender.results[id] = result
	sender.lastJobAt = daemon.clock.Now()
	daemon.dispatch(sender)
	return id, result
}

// dispatch sends the batches that can be sent now; it must run on the loop.
func (daemon *Daemon) dispatch(sender *sender) {
	now := daemon.clock.Now()
	daemon.inferBrittle(daemon.view.Load().targets[sender.service])
	calls, ended, unused := sender.pool.Dispatch(now)
	daemon.logLate(now, sender, ended)
	sender.dispatchedAt = now
	daemon.deliver(sender, ended, unused)
	daemon.releaseFetched(sender.pool.FetchedInputs(now))
	for _, call := range calls {
		ctx := daemon.control.batchContext
		daemon.spawn("batch", func() { daemon.runCall(ctx, sender, call) })
	}
	daemon.scheduleWakeup(sender, now)
}

// logLate logs what occupies the targets when queued jobs cannot meet their deadline; it must run on the loop.
func (daemon *Daemon) logLate(now time.Time, sender *sender, ended []batch.Result) {
	late := 0
	for _, result := range ended {
		if result.Fault == core.PieceLate {
			late++
		}
	}
	if late == 0 || now.Sub(sender.lateLoggedAt) < lateLogInterval {
		return
	}
	sender.lateLoggedAt = now
	queued, targets := sender.pool.Load(now, maxLateLogTargets)
	daemon.log.Warn().Str(eventField, eventJobsLate).Str("Service", sender.service).Int("Jobs", late).Int("Queued", queued).Bool("Sends", daemon.senderOf(sender.service) == nil).
		Dur("IdleFor", now.Sub(sender.dispatchedAt)).Interface("Targets", targets).Interface("Room", sender.pool.Room(now)).Msg("queued jobs cannot meet their deadline")
}

// releaseFetched releases inputs that no target will fetch any more, each through the sender of its service; it must run on
// the loop.
func (daemon *Daemon) releaseFetched(handles []string) {
	if len(handles) == 0 {
		return
	}
	services := daemon.view.Load().services
	for service, handles := range batch.GroupHandles(handles, func(handle string) string { return services[daemon.dialect.HandleAddress(handle)] }) {
		daemon.releaseResults(service, results{handles: handles})
	}
}

func (daemon *Daemon) scheduleWakeup(sender *sender, now time.Time) {
	at := sender.pool.NextWakeup(now)
	if at.IsZero() || sender.wakeupAt.After(now) && !at.Before(sender.wakeupAt) {
		return
	}
	sender.wakeupAt = at
	time.AfterFunc(at.Sub(now), func() { daemon.loop.Post(func() { daemon.dispatch(sender) }) })
}

// deliver sends results to the requests that wait for them and frees unused handles; it must run on the loop.
func (daemon *Daemon) deliver(sender *sender, ended []batch.Result, unused []string) {
	for _, result := range ended {
		if channel := sender.results[result.Job]; channel != nil {
			channel <- result
			delete(sender.results, result.Job)
		}
	}
	daemon.queueFree(sender, unused)
}

// handOverJobs ends the queued jobs as moved, so that the waiting requests turn to the next sender; it must run on the
// loop.
func (daemon *Daemon) handOverJobs() {
	for service, sender := range daemon.control.senders {
		if daemon.senderOf(service) == nil {
			continue // no other daemon can send
		}
		jobs := sender.pool.DrainQueue()
		daemon.deliver(sender, jobs, nil)
		daemon.log.Info().Str(eventField, eventJobsHandedOver).Str("Service", service).Int("Jobs", len(jobs)).Msg("queued jobs handed over to another daemon")
	}
}

// freeResultsOf frees what the requests of a daemon that has terminated held; it must run on the loop.
func (daemon *Daemon) freeResultsOf(ended core.MemberID) {
	for service, sender := range daemon.control.senders {
		if jobs, handles := sender.pool.Abandon(string(ended)); len(jobs)+len(handles) > 0 {
			daemon.deliver(sender, jobs, handles)
			daemon.log.Info().Str(eventField, eventResultsAbandoned).Str("Service", service).Str("Peer", string(ended)).Int("Jobs", len(jobs)).Int("Results", len(handles)).Msg("daemon terminated; freeing its results")
		}
	}
}

// cancelJob cancels a job that no request waits for any more; it must run on the loop.
func (daemon *Daemon) cancelJob(sender *sender, id batch.JobID) {
	if channel := sender.results[id]; channel != nil {
		delete(sender.results, id)
		daemon.queueFree(sender, sender.pool.Cancel(id))
	}
}

// runCall sends one batch to a target and records its outcome.
func (daemon *Daemon) runCall(ctx context.Context, sender *sender, call batch.Call) {
	began := daemon.clock.Now()
	passage := daemon.shift.Begin(sender.service, call.Target.Version, "")
	results, outcome, err := daemon.sendBatch(ctx, sender, call)
	passage.End(daemon.callOutcome(ctx, outcome, results))
	daemon.metrics.batchCalls.Add(1)
	daemon.metrics.batchPieces.Add(int64(len(call.Pieces)))
	if call.Told {
		daemon.metrics.toldCalls.Add(1)
		daemon.metrics.toldAge.Add(call.ToldAge.Milliseconds())
	}
	if err != nil {
		daemon.metrics.batchFaults.Add(1)
		daemon.log.Warn().Str(eventField, eventBatchFailed).Str("Service", sender.service).Str("Target", call.Target.ID).Int("Pieces", len(call.Pieces)).
			Bool("NotRun", outcome == batch.Rejected).Dur("Took", daemon.clock.Now().Sub(began)).Err(err).Msg("batch failed; queuing its pieces again")
	}
	faults := map[core.PieceFault]int{}
	for _, result := range results {
		faults[result.Fault]++
	}
	for fault, count := range faults {
		if fault != core.PieceDone {
			daemon.log.Warn().Str(eventField, eventPiecesFailed).Str("Service", sender.service).Str("Target", call.Target.ID).Int("Pieces", len(call.Pieces)).
				Str("Fault", fault.String()).Int("Failed", count).Int64("ResultBytes", call.ResultBytes).Int64("HeldBytes", call.RetainedBytes).Msg("pieces of a batch have no result")
		}
	}
	daemon.loop.Post(func() {
		ended, unused := sender.pool.Finish(daemon.clock.Now(), call.ID, outcome, results)
		daemon.deliver(sender, ended, unused)
		if outcome == batch.Failed && daemon.paths.lost() {
			daemon.handOverJobs() // another daemon may reach the targets
		}
		daemon.dispatch(sender)
	})
}

func (daemon *Daemon) sendBatch(ctx context.Context, sender *sender, call batch.Call) ([]core.PieceResult, batch.Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer cancel()
	defer daemon.paths.begin(call.Target.Address)()
	path, body := daemon.dialect.PiecesCall(call.Pieces)
	header := http.Header{"Content-Type": {"application/json"}}
	daemon.dialect.ExpectTarget(header, call.Target.ID)
	var results []core.PieceResult
	var decodeErr error
	sentAt := daemon.clock.Now()
	response, err := daemon.targets.Do(ctx, xchg.Request{
		Address: call.Target.Address, Method: http.MethodPost, URI: path, Host: call.Target.Address, Header: header, Body: body, Purpose: purposeBatch,
		MaxIdle: maxBatchIdle, Fresh: call.Timeout > batch.RepeatsRetention-maxBatchIdle,
		MaxBody: maxPiecesBody, MatchBody: func(response *http.Response, data []byte) bool {
			if response.StatusCode != http.StatusOK {
				return true
			}
			results, decodeErr = daemon.dialect.PieceResults(data, len(call.Pieces))
			return !daemon.isRepeated(results)
		},
	})
	if err != nil {
		if ctx.Err() == nil {
			daemon.paths.failed(call.Target.Address)
		}
		return nil, batch.Failed, err
	}
	daemon.paths.reached(call.Target.Address)
	if !batch.AnyHandle(results) {
		cancel() // closes the connection: a second copy of a response without handles could not be told from the next response
	}
	_ = response.Body.Close()
	facts := daemon.dialect.TargetResponse(response.StatusCode, response.Header)
	daemon.observeAnswer(targetAnswer{service: sender.service, target: call.Target.ID, address: call.Target.Address, startedAt: call.Target.StartedAt, sentAt: sentAt, status: response.StatusCode, facts: facts})
	if response.StatusCode != http.StatusMisdirectedRequest { // from another target
		daemon.loop.Post(func() { sender.pool.ObserveCall(daemon.clock.Now(), call.ID, facts.Load) })
	}
	switch {
	case response.StatusCode != http.StatusOK:
		err := fmt.Errorf("status %d", response.StatusCode)
		if facts.NotRun {
			return nil, batch.Rejected, err
		}
		return nil, batch.Failed, err
	case decodeErr != nil:
		return nil, batch.Failed, decodeErr
	}
	return results, batch.Responded, nil
}

// isRepeated reports whether a response to a batch call is a second copy of an earlier one.
func (daemon *Daemon) isRepeated(results []core.PieceResult) bool {
	daemon.repeatsMutex.Lock()
	defer daemon.repeatsMutex.Unlock()
	return daemon.repeats.Add(daemon.clock.Now(), results)
}

// queueFree collects handles to free with one call to each target; it must run on the loop.
func (daemon *Daemon) queueFree(sender *sender, handles []string) {
	if len(handles) == 0 {
		return
	}
	if len(sender.pendingFrees) == 0 {
		time.AfterFunc(freeDelay, func() { daemon.loop.Post(func() { daemon.sendFrees(sender) }) })
	}
	for _, handle := range handles {
		address := daemon.dialect.HandleAddress(handle)
		sender.pendingFrees[address] = append(sender.pendingFrees[address], handle)
	}
}

func (daemon *Daemon) sendFrees(sender *sender) {
	for address, handles := range sender.pendingFrees {
		delay := daemon.freeDelayOf(daemon.clock.Now(), address)
		if delay > maxFreeDelay {
			continue // they expire on their own
		}
		daemon.spawn("free", func() {
			if delay > 0 && !core.Sleep(daemon.loopContext, daemon.clock, delay) {
				return
			}
			load := daemon.sendFree(address, handles)
			// The result capacity is free only now: a batch sent earlier would find the target full.
			daemon.loop.Post(func() {
				sender.pool.Free(handles)
				sender.pool.Observe(daemon.clock.Now(), address, load)
				daemon.dispatch(sender)
			})
		})
	}
	sender.pendingFrees = map[string][]string{}
}

// sendFree frees results and returns what their target states of its load.
func (daemon *Daemon) sendFree(address string, handles []string) core.Load {
	ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
	defer cancel()
	path, body := daemon.dialect.FreeCall(handles)
	response, err := daemon.targets.Do(ctx, xchg.Request{
		Address: address, Method: http.MethodPost, URI: path, Host: address,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body, Purpose: purposeFree,
	})
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", response.StatusCode)
		_ = response.Body.Close()
	}
	if err != nil {
		daemon.log.Warn().Str(eventField, eventFreeFailed).Str("Address", address).Int("Handles", len(handles)).Err(err).Msg("cannot free results; they expire on their own")
		return core.Load{}
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return daemon.dialect.TargetResponse(response.StatusCode, response.Header).Load
}
