package flow

import (
	"bytes"
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	defaultDeadline   = 5 * time.Second
	defaultRetryAfter = time.Second
	// maxFreeAttempts bounds the attempts of a request that do not count as retries, because the permit expired, the
	// pool had no capacity, or the target rejected the call or was not reached.
	maxFreeAttempts = 8
	// maxDisconnects is the number of disconnected attempts after which a stage fails: the request content may crash
	// targets, and a third target, in another pool, could crash before that pool knows that the first two did.
	maxDisconnects = 2
	// maxOwnerWait bounds the wait of a stage for pools without an owner: the pools of a drained daemon get a new owner
	// after the handover gap of 1.25 s.
	maxOwnerWait      = 2 * time.Second
	ownerPollInterval = 100 * time.Millisecond
)

// run is the state of one request in execution.
type run struct {
	runner      *Runner
	request     Request
	view        ConfigView
	pipeline    config.Pipeline
	services    []config.Service // indexed by stage
	keys        []string         // idempotency keys, indexed by stage; empty unless the stage is at-most-once
	ctx         context.Context
	emit        func(Event) error
	log         zerolog.Logger
	fingerprint core.Fingerprint
	startedAt   time.Time
	deadline    time.Time

	sent         atomic.Bool // a byte of any stage may have been written
	executed     bool        // a target has certainly executed a part of the request
	retries      int
	freeAttempts int
	prechecked   map[string]core.PoolID // pools that passed the precheck, by stage name
	vector       []float32
	result       Result
	record       core.RequestRecord
	firstTokenAt time.Time
	lastTokenAt  time.Time
}

// Run executes a request; errors are of type *core.Error, and their Run field states whether any part was executed.
//
// Calls of emit are never concurrent; an error from emit ends the request.
func (runner *Runner) Run(ctx context.Context, request Request, emit func(Event) error) (Result, error) {
	run := &run{runner: runner, request: request, view: runner.Config(), emit: emit, startedAt: runner.clock().Now()}
	run.log = runner.Log.With().Str("request", string(request.ID)).Logger()
	if run.emit == nil {
		run.emit = func(Event) error { return nil }
	}
	if err := run.prepare(); err != nil {
		return Result{}, run.finish(err)
	}
	runner.budget().Deposit(run.view.Limits().RetryRatio)
	ctx, cancel := context.WithTimeout(ctx, run.timeLeft())
	defer cancel()
	run.ctx = ctx
	err := run.runStages()
	if failure := run.finish(err); failure != nil {
		return Result{Trace: run.result.Trace}, failure
	}
	return run.result, nil
}

func (run *run) timeLeft() time.Duration { return run.deadline.Sub(run.runner.clock().Now()) }

// prepare looks up the pipeline and its services and validates the request.
func (run *run) prepare() error {
	pipeline, found := run.view.Pipeline(run.request.Pipeline)
	if !found {
		return core.Errorf(core.NotFound, "pipeline %q does not exist", run.request.Pipeline)
	}
	run.pipeline = pipeline
	run.setDeadline()
	run.fingerprint = run.request.fingerprint()
	run.result.CallResponses = make(map[string][]byte)
	for _, stage := range pipeline.Stages {
		service, found := run.view.Service(stage.Service)
		if !found {
			return core.Errorf(core.Unavailable, "service %q of stage %q does not exist", stage.Service, stage.Name)
		}
		run.services = append(run.services, service)
	}
	if err := run.checkBodies(); err != nil {
		return err
	}
	if err := run.checkQuarantine(); err != nil {
		return err
	}
	return run.assignKeys()
}

func (run *run) setDeadline() {
	limit := run.pipeline.Deadline
	if limit <= 0 {
		limit = defaultDeadline
	}
	run.deadline = run.startedAt.Add(limit)
	if requested := run.request.Deadline; !requested.IsZero() && requested.Before(run.deadline) {
		run.deadline = requested
	}
}

func (run *run) checkBodies() error {
	for stage, body := range run.request.CallBodies {
		if !json.Valid(body) || !bytes.HasPrefix(bytes.TrimSpace(body), []byte("{")) {
			return core.Errorf(core.BadRequest, "body of stage %q is not a JSON object", stage)
		}
	}
	return nil
}

func (run *run) runStages() error {
	run.prechecked = map[string]core.PoolID{}
	if err := run.precheck(); err != nil {
		return err
	}
	for position := range run.pipeline.Stages {
		stage := run.newStage(position)
		if err := run.emit(Event{Kind: StageStarted, Stage: stage.name}); err != nil {
			return err
		}
		err := stage.execute()
		stage.record()
		if err != nil {
			return core.AsError(err).WithStage(run.request.ID, stage.name)
		}
		if err := run.emit(Event{Kind: StageDone, Stage: stage.name}); err != nil {
			return err
		}
	}
	return nil
}

// reservedTime returns the sum of the minimum times of the stages after the position.
func (run *run) reservedTime(position int) time.Duration {
	var total time.Duration
	for _, service := range run.services[position+1:] {
		total += service.LeastTime
	}
	return total
}

// finish logs and classifies a failure and records the request; it returns nil or a *core.Error.
func (run *run) finish(err error) error {
	var failure *core.Error
	if err != nil {
		failure = run.classify(core.AsError(err))
		run.log.Info().Str("stage", failure.Stage).Str("kind", failure.Kind.String()).Str("run", failure.Run.String()).
			Msg("flow: request failed: " + failure.Message)
	}
	run.recordRequest(failure)
	if failure == nil {
		return nil
	}
	return failure
}

// classify returns a copy of the failure with the request ID, whether anything was executed, and a retry delay.
func (run *run) classify(failure *core.Error) *core.Error {
	changed := *failure
	changed.Request = run.request.ID
	if failure.Kind == core.TargetFailed && !run.sent.Load() {
		changed.Kind = core.Unavailable // no target was reached
	}
	switch {
	case failure.Kind == core.OutcomeUnknown:
		changed.Run = core.Unknown
	case !run.sent.Load():
		changed.Run = core.NotRun
	case run.executed:
		changed.Run = core.HasRun
	default:
		changed.Run = core.Unknown
	}
	if failure.Kind.Answer().Retryable && failure.RetryAfter <= 0 {
		changed.RetryAfter = defaultRetryAfter
	}
	return &changed
}

func (run *run) recordRequest(failure *core.Error) {
	if run.runner.Recorder == nil {
		return
	}
	record := run.record
	record.Pipeline, record.Team, record.Failure = run.request.Pipeline, run.request.Team, failure
	record.Took = run.runner.clock().Now().Sub(run.startedAt)
	record.Deadline = run.deadline.Sub(run.startedAt)
	if !run.firstTokenAt.IsZero() {
		record.FirstToken = run.firstTokenAt.Sub(run.startedAt)
		record.TokenTime = run.lastTokenAt.Sub(run.firstTokenAt)
	}
	run.runner.Recorder.Record(record)
}
