package flow

import (
	"errors"

	"catkincove/core"
)

// usePermit makes one attempt with the permit, releases the grant and returns what decide returns.
func (stage *stage) usePermit(permit core.Permit) error {
	if stage.key != "" {
		return stage.usePermitAtMostOnce(permit)
	}
	attempt, reply := stage.send(permit)
	return stage.decide(attempt, reply)
}

// send makes one attempt and releases the grant.
func (stage *stage) send(permit core.Permit) (*attempt, reply) {
	runner := stage.run.runner
	attempt := &attempt{
		stage:          stage,
		permit:         permit,
		number:         stage.attempts,
		startedAt:      runner.clock().Now(),
		receivedTokens: stage.receivedTokens,
		receivedText:   stage.answer.String(),
	}
	reply := attempt.execute(stage.run.ctx)
	attempt.sent = attempt.sent || reply.info.Sent
	if attempt.sent {
		stage.run.sent.Store(true)
	}
	elapsed := attempt.elapsed()
	outcome := attempt.outcome(reply)
	stage.release(permit, core.Release{
		Outcome:    outcome,
		FirstToken: reply.info.FirstToken,
		Took:       elapsed,
		StartID:    reply.info.StartID,
		Tokens:     attempt.emittedTokens,
		Unsent:     !attempt.sent,
	})
	if reply.err == nil {
		stage.usedGrant, stage.targetTime = permit.Grant, elapsed
		stage.run.executed = true
		reply.apply()
		return attempt, reply
	}
	if attempt.sent {
		stage.wastedTime += elapsed
	}
	if attempt.sent && outcome == core.OutcomeDisconnected {
		stage.disconnects++
		if stage.disconnects >= maxDisconnects {
			runner.quarantine.add(runner.clock().Now(), stage.run.fingerprint)
		}
	}
	stage.run.executed = stage.run.executed || outcome == core.OutcomeFailed || attempt.emittedTokens > 0
	stage.log.Warn().Int("attempt", attempt.number).Str("target", string(permit.Grant.Target)).Bool("sent", attempt.sent).
		Msg("flow: attempt failed: " + reply.err.Error())
	return attempt, reply
}

func (stage *stage) release(permit core.Permit, release core.Release) {
	release.Pool, release.Grant = permit.Grant.Pool, permit.Grant.ID
	stage.run.runner.Granter.Release(release)
}

// decide returns nil after a success, errNextAttempt if another attempt is permitted, and otherwise the request's
// error.
func (stage *stage) decide(attempt *attempt, reply reply) error {
	if reply.err == nil {
		return nil
	}
	failure := core.AsError(reply.err)
	stage.lastErr = failure
	switch {
	case attempt.emitErr != nil:
		return core.Errorf(core.Internal, "sending to the caller failed: %w", attempt.emitErr)
	case stage.run.ctx.Err() != nil:
		return stage.contextError()
	case failure.Kind == core.BadRequest, failure.Kind == core.Unconfirmed:
		return failure
	case !attempt.sent && errors.Is(failure, errPermitExpired):
		return stage.nextFreeAttempt()
	case !attempt.sent, failure.Kind == core.Overloaded:
		stage.excludeTarget(attempt)
		return stage.nextFreeAttempt()
	default:
		stage.excludeTarget(attempt)
		return stage.nextRetry()
	}
}

func (stage *stage) excludeTarget(attempt *attempt) {
	stage.excludedTargets = append(stage.excludedTargets, attempt.permit.Grant.Target)
}
