package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
	"catkincove/core/flow"
	"catkincove/core/place"
	"catkincove/io/lines"
)

const (
	maxPieces           = 4096                    // pieces of one stage of one request; the routes in use have up to 30
	maxSenders          = 3                       // senders that are tried for the pieces of one stage
	forecastTTL         = 1500 * time.Millisecond // lifetime of a received forecast; pings bring a new one within 0.75 s
	largeResultBytes    = 200_000                 // results from this size on are produced as late as the response allows
	lateStartSlackShare = 0.8                     // share of the slack by which a large result is delayed
	affinityTokens      = 1000                    // shared tokens from which on another prefill costs more than moving results
	notifyTimeout       = 800 * time.Millisecond  // limit on a call that no request waits for
)

// piecesRequest asks a daemon to have the pieces of one stage produced.
type piecesRequest struct {
	Service   string
	Spec      *core.BatchSpec // of the routing by which the request was accepted; applies if the sender's routing has none
	Attempt   string
	Stage     int
	Pieces    int
	Key       string
	Inputs    []string
	Release   bool  // nothing else needs the inputs, and their targets are short of room
	Bytes     int64 // expected size of one result
	Class     string
	Priority  int
	Returning bool          // the caller was rejected before
	Zone      string        // data centre in which the stage should run; empty means any
	Aim       time.Duration // time left to the soft deadline of the stage
	Left      time.Duration // time left to the deadline of the stage
	Peer      string        // address of the requesting daemon
	Daemon    core.MemberID // its run, whose results are freed when it has terminated; neither is stated by older builds
	Named     bool          // another daemon has named the receiver as the sender; not stated by older builds
}

type piecesReply struct {
	Handles  []string
	Released bool // the inputs were released
	Fault    core.PieceFault
	Forecast batch.Forecast
	Sender   string // peer address of the daemon that sends the batches, if it is another one; the fault is then PieceMoved

	sender string // peer address of the daemon that sent the pieces
}

// results are those of one stage of a request. They are freed through the daemon whose pool counts them, also when another one sends the batches by then:
// a pool that does not hear of it counts them until they expire.
type results struct {
	handles []string
	sender  string // peer address of that daemon; empty means the present sender
}

type freeRequest struct {
	Service string
	Handles []string
}

type stageError = batch.StageError

// stageRun is the host of the stages of one request.
type stageRun struct {
	daemon  *Daemon
	request *request
	plan    admit.Plan
}

// newChain returns the chain of the stages of the request.
func (daemon *Daemon) newChain(request *request) *flow.Chain {
	run := &stageRun{daemon: daemon, request: request, plan: request.plan}
	request.stageDurations = make([]time.Duration, len(request.route.Stages))
	return &flow.Chain{Stages: request.route.Stages, Pieces: request.pieces, Host: run, Clock: daemon.clock, ReleaseEarly: true}
}

// Produce implements flow.ChainHost.
func (run *stageRun) Produce(ctx context.Context, call flow.StageCall) (flow.StageResults, error) {
	daemon, stage := run.daemon, run.request.route.Stages[call.Stage]
	if stage.ResultBytes >= largeResultBytes && len(stage.After) == 0 && !call.Again {
		// A large result occupies result capacity that other requests need while the longer chain of stages still
		// runs.
		wait := time.Duration(float64(run.plan.Slack[call.Stage]) * lateStartSlackShare)
		if wait > 0 && !core.Sleep(ctx, daemon.clock, wait) {
			return flow.StageResults{}, ctx.Err()
		}
	}
	began := daemon.clock.Now()
	message := run.message(call.Stage, run.request.pieces(call.Stage), call.Inputs)
	message.Release = call.Release
	produced, err := daemon.produce(ctx, message)
	run.request.stageDurations[call.Stage] += daemon.clock.Now().Sub(began)
	reply := flow.StageResults{Handles: produced.Handles, Sender: produced.sender, Released: produced.Released}
	if err == nil && message.Spec != nil {
		// No call ends sooner.
		reply.Until = began.Add(message.Spec.CallOverhead + message.Spec.ResultTTL)
		reply.Runs = flow.RunsOf(produced.Handles, daemon.view.Load().runs, daemon.dialect.HandleAddress)
	}
	return reply, err
}

// GoesOn implements flow.ChainHost.
func (run *stageRun) GoesOn(results flow.StageResults) bool {
	return results.GoesOn(run.daemon.view.Load().runs)
}

// Forecast implements flow.ChainHost.
func (run *stageRun) Forecast() (forecast admit.Request) {
	run.daemon.do(func() { forecast = run.daemon.admissionRequest(run.request, run.daemon.clock.Now()) })
	return forecast
}

// Reran implements flow.ChainHost.
func (run *stageRun) Reran(consumer int, rerun flow.Rerun) {
	metrics, event, message := run.daemon.metrics, eventStagesRepeated, "inputs of a stage are gone; running the missing stages again"
	if rerun.Feasible {
		metrics.stagesRepeated.Add(1)
		metrics.stagesRerun.Add(int64(len(rerun.Stages)))
	} else {
		metrics.stagesNotRerun.Add(1)
		event, message = eventStagesNotRepeated, "inputs of a stage are gone, and there is no time to produce them again"
	}
	run.daemon.log.Warn().Str(eventField, event).Str("Request", run.request.logID()).Int("Stage", consumer).Ints("Again", rerun.Stages).
		Dur("Forecast", rerun.Time).Dur("Left", run.request.deadline.Sub(run.daemon.clock.Now())).Msg(message)
}

// ReportPanic implements flow.ChainHost.
func (run *stageRun) ReportPanic(value any, stack []byte) {
	run.daemon.reportPanic("stage", value, stack)
}

// Release implements flow.ChainHost.
func (run *stageRun) Release(stage int, unneeded flow.StageResults) {
	run.daemon.releaseResults(run.request.route.Stages[stage].Service, results{unneeded.Handles, unneeded.Sender})
}

// CountsReleased implements flow.ChainHost.
func (run *stageRun) CountsReleased(stage int, released flow.StageResults) bool {
	return run.daemon.countsReleased(run.request.route.Stages[stage].Service, released.Sender)
}

// ShortOfRoom implements flow.ChainHost.
func (run *stageRun) ShortOfRoom(stage int) bool {
	short := false
	run.daemon.do(func() {
		forecast, fresh := run.daemon.forecast(run.request.route.Stages[stage].Service)
		short = fresh && forecast.ShortOfRoom
	})
	return short
}

func (run *stageRun) message(i, pieces int, inputs []string) piecesRequest {
	request := run.request
	stage := request.route.Stages[i]
	now := run.daemon.clock.Now()
	return piecesRequest{
		Service: stage.Service, Spec: request.services[stage.Service].Batch, Attempt: request.caller.Attempt, Stage: i, Pieces: pieces, Key: request.caller.PieceKey, Peer: run.daemon.options.Settings.AdvertisePeer, Daemon: run.daemon.id,
		Inputs: inputs, Bytes: stage.ResultBytes, Zone: run.dataCentre(i, inputs), Class: fmt.Sprintf("%s/%d", request.route.Name, i), Priority: request.priority, Returning: request.returning,
		Aim:  request.softDeadline.Sub(now) - run.plan.Remaining[i],
		Left: request.deadline.Sub(now) - run.plan.Remaining[i]/2,
	}
}

// dataCentre returns the data centre in which the stage should run: the one that holds its inputs, or the preferred one
// of the prompt if the results are large; empty means any.
func (run *stageRun) dataCentre(i int, inputs []string) string {
	if len(inputs) > 0 {
		dataCentre, _ := run.daemon.dataCentreOf(inputs, 1)
		return dataCentre
	}
	if run.request.route.Stages[i].ResultBytes < largeResultBytes {
		return ""
	}
	prompt, tokens := run.request.sharedPrompt()
	if tokens < affinityTokens {
		return ""
	}
	view := run.daemon.view.Load()
	return place.PreferredDataCentre(view.targets[run.daemon.chooseService(run.request).Name], prompt)
}

// dataCentreOf returns the data centre that holds most of the results and the bytes there; bytes is the size of one
// result.
func (daemon *Daemon) dataCentreOf(handles []string, bytes int64) (string, int64) {
	view := daemon.view.Load()
	most, count := batch.MostCommon(handles, func(handle string) string { return view.dataCentres[daemon.dialect.HandleAddress(handle)] })
	return most, int64(count) * bytes
}

// inputs are the results of the stages that the final target of a request fetches.
type inputs struct {
	daemon  *Daemon
	request *request
	chain   *flow.Chain // nil until the stages have run, and once their results are freed
	shared  bool        // another attempt holds them, too, and frees them
	gone    bool        // a target found that one no longer exists
}

// produce runs the stages unless their results are still retained, and those of which results are gone; it runs all again after
// free.
func (inputs *inputs) produce(ctx context.Context) error {
	daemon, request := inputs.daemon, inputs.request
	if len(request.route.Stages) == 0 || inputs.chain != nil && !inputs.gone {
		return nil
	}
	chain, run := inputs.chain, (*flow.Chain).Repeat
	if chain == nil {
		chain, run = daemon.newChain(request), (*flow.Chain).Run
	}
	inputs.chain, inputs.gone = nil, false
	if err := run(chain, ctx); err != nil {
		return err
	}
	inputs.chain = chain
	for _, i := range request.route.Leaves() {
		handles := chain.Results(i).Handles
		request.inputHandles = append(request.inputHandles, handles...)
		if bytes := request.route.Stages[i].ResultBytes; bytes >= largeResultBytes && len(handles) > 0 {
			request.inputDataCentre, request.inputBytes = daemon.dataCentreOf(handles, bytes)
		}
	}
	return nil
}

// lose notes that a target found that one of the results no longer exists. Those that another attempt holds are left to it.
func (inputs *inputs) lose() {
	if inputs.shared || inputs.chain == nil {
		inputs.free()
		return
	}
	inputs.gone, inputs.request.inputHandles = true, nil
}

// free releases the results, because a target has fetched them or none will.
func (inputs *inputs) free() {
	if inputs.chain == nil {
		return
	}
	inputs.release()
	inputs.chain, inputs.shared, inputs.gone, inputs.request.inputHandles = nil, false, false, nil
}

// release is free for a request that an attempt may still be reading.
func (inputs *inputs) release() {
	if inputs.chain != nil && !inputs.shared {
		inputs.chain.Free()
	}
}

// pieces returns how many pieces the request has in a stage: the number that the caller states, or 1 for each stage if
// it states none.
func (request *request) pieces(stage int) int {
	if stage < len(request.caller.Pieces) {
		return request.caller.Pieces[stage]
	}
	if len(request.caller.Pieces) == 0 {
		return 1
	}
	return 0
}

// produce has the pieces produced by the daemon that sends the batches of the service, or by the next one if that
// fails, since producing a piece is idempotent.
func (daemon *Daemon) produce(ctx context.Context, message piecesRequest) (piecesReply, error) {
	began := daemon.clock.Now()
	for range maxSenders {
		var owner *peer
		var address string
		var calls context.Context
		daemon.do(func() {
			if owner = daemon.senderOf(message.Service); owner != nil {
				address, calls = owner.Peer, owner.callContext
			}
		})
		if owner == nil {
			reply, err := daemon.produceLocally(ctx, message)
			if failed := (*stageError)(nil); errors.As(err, &failed) && failed.Fault == core.PieceMoved {
				continue
			}
			return reply, err
		}
		elapsed := daemon.clock.Now().Sub(began)
		sent := message
		sent.Aim, sent.Left = message.Aim-elapsed, message.Left-elapsed
		var reply piecesReply
		callCtx, cancel := context.WithCancel(ctx)
		stop := context.AfterFunc(calls, cancel)
		err := daemon.callPeer(callCtx, address, pathPieces, sent, &reply)
		stop()
		cancel()
		if ctx.Err() != nil {
			return piecesReply{}, ctx.Err()
		}
		if err != nil {
			daemon.do(func() { daemon.markFailed(owner, err) })
			daemon.log.Warn().Str(eventField, eventSenderFailed).Str("Request", lines.Short(message.Attempt)).Str("Peer", address).Str("Service", message.Service).
				Int("Stage", message.Stage).Err(err).Msg("sender failed; sending the pieces to the next daemon")
			continue
		}
		daemon.loop.Post(func() {
			owner.forecasts[message.Service] = forecastAt{Forecast: reply.Forecast, at: daemon.clock.Now()}
		})
		if reply.Fault == core.PieceMoved {
			message.Named = reply.Sender != ""
			daemon.do(func() { daemon.noteSender(owner, message.Service, reply.Sender) })
			continue
		}
		reply.sender = address
		return reply.checked(message.Stage)
	}
	return daemon.produceLocally(ctx, message)
}

// noteSender notes that a daemon does not send the batches of the service: the one at the address does, or, without an
// address, the daemon is leaving; it must run on the loop.
//
// After a loss of all daemons, several take the role at once, and in a large fleet the others meet only some of them. Each
// of two senders takes the calls of the other for slow targets and sends small calls.
func (daemon *Daemon) noteSender(former *peer, service, address string) {
	if address == "" {
		former.leaving = true
		return
	}
	if sender := daemon.control.peers[address]; sender != nil {
		delete(former.sendsFor, service)
		if sender.sendsFor == nil {
			sender.sendsFor = map[string]bool{}
		}
		sender.sendsFor[service] = true
	}
}

// checked returns the reply, or its fault as an error.
func (reply piecesReply) checked(stage int) (piecesReply, error) {
	if reply.Fault != core.PieceDone {
		return piecesReply{Released: reply.Released}, &stageError{Stage: stage, Fault: reply.Fault}
	}
	return reply, nil
}

// produceLocally has the pieces produced by this daemon's own sender.
func (daemon *Daemon) produceLocally(ctx context.Context, message piecesRequest) (piecesReply, error) {
	spec := cmp.Or(daemon.view.Load().routing.Services[message.Service].Batch, message.Spec)
	if spec == nil {
		return piecesReply{}, &stageError{Stage: message.Stage, Fault: core.PieceFailed}
	}
	var id batch.JobID
	var result <-chan batch.Result
	var owner *sender
	daemon.do(func() {
		now := daemon.clock.Now()
		owner = daemon.sender(message.Service, *spec)
		id, result = daemon.submit(owner, batch.Job{
			Attempt: message.Attempt, Owner: string(message.Daemon), Stage: message.Stage, Pieces: message.Pieces, Key: message.Key, Inputs: message.Inputs,
			ReleaseInputs: message.Release, ResultBytes: message.Bytes, Class: message.Class, Priority: message.Priority, LastAttempt: message.Returning, DataCentre: message.Zone,
			SoftDeadline: now.Add(message.Aim), Deadline: now.Add(message.Left),
		})
	})
	select {
	case ended := <-result:
		return piecesReply{Handles: ended.Handles, Fault: ended.Fault, Released: ended.InputsReleased, sender: daemon.options.Settings.AdvertisePeer}.checked(message.Stage)
	case <-ctx.Done():
		daemon.do(func() { daemon.cancelJob(owner, id) })
		select {
		case ended := <-result: // the job ended just before it was cancelled
			daemon.releaseResults(message.Service, results{ended.Handles, daemon.options.Settings.AdvertisePeer})
		default:
		}
		return piecesReply{}, ctx.Err()
	}
}

func (daemon *Daemon) servePieces(writer http.ResponseWriter, request *http.Request) {
	var message piecesRequest
	if !readJSON(writer, request, &message) {
		return
	}
	if message.Pieces < 1 || message.Pieces > maxPieces {
		http.Error(writer, "number of pieces", http.StatusBadRequest)
		return
	}
	moved, sender := daemon.leaving.Load(), ""
	daemon.do(func() {
		moved = moved || daemon.othersReachTargets(daemon.clock.Now())
		if known := daemon.senderOf(message.Service); !moved && !message.Named && known != nil && known.sendsFor[message.Service] {
			moved, sender = true, known.Peer
		}
	})
	if moved {
		writeJSON(writer, piecesReply{Fault: core.PieceMoved, Sender: sender})
		return
	}
	reply, err := daemon.produceLocally(request.Context(), message)
	var failed *stageError
	switch {
	case errors.As(err, &failed):
		reply.Fault = failed.Fault
	case err != nil:
		daemon.loop.Post(func() { daemon.checkPeer(message.Peer) }) // a cancelled request, or the daemon has terminated
		return
	}
	daemon.do(func() {
		if owner := daemon.control.senders[message.Service]; owner != nil {
			reply.Forecast = owner.pool.RecentForecast(daemon.clock.Now(), statusTTL)
		}
	})
	writeJSON(writer, reply)
}

// countsReleased reports whether the early release of results of a service has reached the pool of their sender: it goes to
// the daemon that sends the batches of the service at the time, since the one that releases them does not know another.
func (daemon *Daemon) countsReleased(service, sender string) bool {
	present := daemon.options.Settings.AdvertisePeer
	daemon.do(func() {
		if known := daemon.senderOf(service); known != nil {
			present = known.Peer
		}
	})
	return sender == present
}

// releaseResults frees results through the daemon that sent their pieces, whose pool tracks their result capacity, or through the
// present sender of the service if that daemon is not known.
func (daemon *Daemon) releaseResults(service string, unneeded results) {
	handles := slices.DeleteFunc(slices.Clone(unneeded.handles), func(handle string) bool { return handle == "" })
	if len(handles) == 0 {
		return
	}
	daemon.loop.Post(func() {
		address := unneeded.sender
		if known := daemon.senderOf(service); address == "" && known != nil {
			address = known.Peer
		}
		if address == "" || address == daemon.options.Settings.AdvertisePeer {
			if local := daemon.control.senders[service]; local != nil {
				daemon.queueFree(local, handles)
				return
			}
			daemon.freeDirectly(handles)
			return
		}
		daemon.spawn("free", func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			var reply struct{}
			if err := daemon.callPeer(ctx, address, pathFree, freeRequest{Service: service, Handles: handles}, &reply); err != nil {
				daemon.freeDirectly(handles)
			}
		})
	})
}

func (daemon *Daemon) freeDirectly(handles []string) {
	for address, handles := range batch.GroupHandles(handles, daemon.dialect.HandleAddress) {
		daemon.spawn("free", func() { daemon.sendFree(address, handles) })
	}
}

func (daemon *Daemon) serveFree(writer http.ResponseWriter, request *http.Request) {
	var message freeRequest
	if !readJSON(writer, request, &message) {
		return
	}
	daemon.loop.Post(func() {
		if owner := daemon.control.senders[message.Service]; owner != nil {
			daemon.queueFree(owner, message.Handles)
			return
		}
		daemon.freeDirectly(message.Handles)
	})
	writeJSON(writer, struct{}{})
}

// forecast returns the forecast of a service, or that of an idle pool, and whether it is fresh; it must run on the
// loop.
func (daemon *Daemon) forecast(service string) (batch.Forecast, bool) {
	view := daemon.view.Load()
	now := daemon.clock.Now()
	known := daemon.senderOf(service)
	if known == nil {
		if local := daemon.control.senders[service]; local != nil {
			return local.pool.RecentForecast(now, statusTTL), true
		}
	} else if received, found := known.forecasts[service]; found && now.Sub(received.at) < forecastTTL {
		return received.Forecast, true
	}
	return batch.IdleForecast(len(view.targets[service]), view.routing.Services[service].Batch), len(view.targets[service]) == 0
}
