package flow

import (
	"context"
	"errors"
	"sync"
	"time"

	"catkincove/core"
)

const (
	// abandonGrace is how long a call may take to return after its context has ended before the attempt is abandoned.
	abandonGrace = 50 * time.Millisecond
	// maxFirstByteShare is the share of the time left after which a wait for the first byte times out while a retry is
	// possible, so that an unresponsive target leaves time for another attempt.
	maxFirstByteShare = 0.6
)

var (
	errAbandoned     = errors.New("attempt was abandoned")
	errPermitExpired = errors.New("permit expired before the first byte")
)

// callFunc calls the target for one attempt; apply stores the result in the run and is called only after a success.
type callFunc func(ctx context.Context, call core.TargetCall, attempt *attempt) (apply func(), info core.TargetInfo, err error)

// attempt is the use of one permit to call its target.
type attempt struct {
	stage     *stage
	permit    core.Permit
	number    int
	startedAt time.Time
	// receivedTokens and receivedText are the tokens that earlier attempts of the stage delivered.
	receivedTokens int
	receivedText   string

	mutex         sync.Mutex
	abandoned     bool
	sent          bool
	emittedTokens int
	emitErr       error // returned by the caller's emit function
}

// reply is the result of a callFunc.
type reply struct {
	apply func()
	info  core.TargetInfo
	err   error
}

// execute runs the attempt and abandons it if the call has not returned abandonGrace after its context ended.
//
// An at-most-once call continues after the caller has disconnected, so that its response is stored for a later request
// with the same idempotency key.
func (attempt *attempt) execute(ctx context.Context) reply {
	stage := attempt.stage
	call := attempt.targetCall()
	if stage.key != "" {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, call.Deadline.Sub(attempt.startedAt))
	defer cancel()
	replies := make(chan reply, 1)
	go func() {
		apply, info, err := stage.call(ctx, call, attempt)
		if !attempt.discardIfAbandoned() {
			replies <- reply{apply, info, err}
		}
	}()
	select {
	case reply := <-replies:
		return reply
	case <-ctx.Done():
	}
	select {
	case reply := <-replies:
		return reply
	case <-stage.run.runner.clock().After(abandonGrace):
		return attempt.abandon(replies)
	}
}

func (attempt *attempt) targetCall() core.TargetCall {
	run, stage := attempt.stage.run, attempt.stage
	call := core.TargetCall{
		Address:    attempt.permit.Grant.Address,
		Request:    run.request.ID,
		Stage:      stage.name,
		Attempt:    attempt.number,
		Deadline:   run.deadline.Add(-stage.reservedTime),
		Priority:   run.request.Priority,
		BeforeSend: attempt.beforeSend,
	}
	timeLeft := call.Deadline.Sub(attempt.startedAt)
	firstByte := time.Duration(float64(timeLeft) * maxFirstByteShare)
	mayRetry := stage.key == "" && run.retries < run.view.Limits().RetriesPerRequest && run.runner.budget().CanWithdraw()
	call.UntilDeadline = !mayRetry
	if mayRetry && timeLeft-firstByte > stage.service.LeastTime {
		call.FirstByte = firstByte
	}
	return call
}

// beforeSend checks immediately before the first byte is written that the attempt may still be sent.
func (attempt *attempt) beforeSend() error {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if attempt.abandoned {
		return errAbandoned
	}
	runner := attempt.stage.run.runner
	if !attempt.permit.Usable(runner.clock().Now()) {
		return core.Errorf(core.Unavailable, "%w", errPermitExpired)
	}
	if runner.Gate != nil {
		if err := runner.Gate.MaySend(attempt.permit.Grant.Pool, attempt.permit.Grant.Target); err != nil {
			return err
		}
	}
	attempt.sent = true
	attempt.stage.run.sent.Store(true)
	return nil
}

// discardIfAbandoned reports whether the attempt was abandoned, and counts its result as late if so.
func (attempt *attempt) discardIfAbandoned() bool {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	if attempt.abandoned {
		attempt.stage.run.runner.lateResults.Add(1)
	}
	return attempt.abandoned
}

func (attempt *attempt) abandon(replies <-chan reply) reply {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	select {
	case reply := <-replies: // the call returned before the mutex was locked
		return reply
	default:
	}
	attempt.abandoned = true
	info := core.TargetInfo{Sent: attempt.sent, Took: attempt.elapsed()}
	if attempt.sent {
		info.Outcome = core.OutcomeTimedOut
	}
	return reply{info: info, err: core.Errorf(core.DeadlineExceeded, "%w", errAbandoned)}
}

func (attempt *attempt) elapsed() time.Duration {
	return attempt.stage.run.runner.clock().Now().Sub(attempt.startedAt)
}

// handleToken appends one token event to the answer and passes it to the caller.
func (attempt *attempt) handleToken(token core.Token) error {
	attempt.mutex.Lock()
	defer attempt.mutex.Unlock()
	stage, run := attempt.stage, attempt.stage.run
	if attempt.abandoned {
		run.runner.lateResults.Add(1)
		return errAbandoned
	}
	if token.Offset != stage.receivedTokens || token.Count < 1 {
		return core.Errorf(core.TargetFailed, "token event with %d tokens at offset %d after %d tokens", token.Count, token.Offset, stage.receivedTokens)
	}
	run.record.Tokens += token.Count
	stage.receivedTokens += token.Count
	stage.answer.WriteString(token.Text)
	attempt.emittedTokens += token.Count
	run.lastTokenAt = run.runner.clock().Now()
	if run.firstTokenAt.IsZero() {
		run.firstTokenAt = run.lastTokenAt
	}
	attempt.emitErr = run.emit(Event{Kind: TokensReceived, Stage: stage.name, Token: token})
	return attempt.emitErr
}

// outcome returns the outcome that is reported to the pool's owner.
func (attempt *attempt) outcome(reply reply) core.Outcome {
	outcome := reply.info.Outcome
	switch {
	case !attempt.sent && outcome == core.OutcomeDisconnected:
		return core.OutcomeDisconnected // the connection was refused
	case !attempt.sent:
		return core.OutcomeUnsent
	case reply.err == nil:
		return core.OutcomeDone
	case attempt.emitErr != nil:
		return core.OutcomeCancelled
	case outcome != core.OutcomeUnsent && outcome != core.OutcomeDone:
		return outcome
	}
	switch core.AsError(reply.err).Kind {
	case core.Overloaded, core.BadRequest:
		return core.OutcomeRejected
	case core.DeadlineExceeded:
		return core.OutcomeTimedOut
	default:
		return core.OutcomeFailed
	}
}
