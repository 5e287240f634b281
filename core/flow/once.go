package flow

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"

	"catkincove/core"
	"catkincove/core/config"
)

// Timeouts and backoff for storing the response of an at-most-once call.
const (
	storeTimeout           = time.Second
	backgroundStoreTimeout = 30 * time.Second // for all retries in the background together
	minStoreBackoff        = 200 * time.Millisecond
	maxStoreBackoff        = 5 * time.Second
)

// isAtMostOnce reports whether calls of the service may run at most once; services of other kinds have no side effects.
func isAtMostOnce(service config.Service) bool {
	return service.Kind == config.Call && !service.MayRepeat
}

// assignKeys gives each at-most-once stage its own idempotency key, and checks the key of the request.
func (run *run) assignKeys() error {
	run.keys = make([]string, len(run.services))
	assigned := 0
	for position, service := range run.services {
		if !isAtMostOnce(service) {
			continue
		}
		stage := run.pipeline.Stages[position].Name
		key, err := ulid.ParseStrict(run.request.IdempotencyKey)
		if err != nil {
			return core.Errorf(core.BadRequest, "at-most-once stage %q needs an idempotency key that is a ULID: %w", stage, err)
		}
		// If the key were first checked at its own stage, it would be rejected only after earlier stages have run.
		if err := run.runner.Once.Check(run.request.Team, run.request.IdempotencyKey); err != nil {
			return err
		}
		if assigned > 0 {
			key = deriveKey(key, stage)
		}
		run.keys[position] = key.String()
		assigned++
	}
	return nil
}

// deriveKey returns the key of another stage: it has the same time, and random bits mixed with a hash of the stage
// name.
func deriveKey(key ulid.ULID, stage string) ulid.ULID {
	entropy := key[6:] // the first six bytes are the time
	mixed := binary.BigEndian.Uint64(entropy) ^ xxhash.Sum64String(stage)
	binary.BigEndian.PutUint64(entropy, mixed)
	return key
}

func (stage *stage) bodyHash() string {
	hash := sha256.New()
	for _, part := range []string{stage.run.request.Pipeline, stage.name, string(stage.callBody())} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return hex.EncodeToString(hash.Sum(nil))
}

// usePermitAtMostOnce records the call before sending it, or uses the stored response of an earlier call.
//
// attempt.beforeSend checks the validity of the permit again after the record is written.
func (stage *stage) usePermitAtMostOnce(permit core.Permit) error {
	run := stage.run
	token, response, err := run.runner.Once.Begin(run.ctx, run.request.Team, stage.key, stage.bodyHash())
	if err != nil || response != nil {
		stage.release(permit, core.Release{Outcome: core.OutcomeUnsent})
	}
	if err != nil {
		return err
	}
	if response != nil {
		stage.log.Debug().Int("attempt", stage.attempts).Msg("flow: using the stored response of an earlier call")
		run.result.CallResponses[stage.name] = response
		run.executed = true
		return nil
	}
	attempt, reply := stage.send(permit)
	switch {
	case reply.err == nil:
		stage.storeResponse(token, run.result.CallResponses[stage.name])
		return nil
	case attempt.sent:
		return stage.unknownOutcome(reply.err)
	default:
		return stage.abandonRecord(token, attempt, reply)
	}
}

// unknownOutcome returns the error of an at-most-once call that failed after a byte was sent.
func (stage *stage) unknownOutcome(err error) error {
	failure := core.AsError(err)
	if failure.Kind == core.BadRequest {
		return failure
	}
	return core.Errorf(core.OutcomeUnknown, "the at-most-once call may have run and is not retried: %w", failure)
}

// abandonRecord removes the record of a call that sent nothing, so that the next attempt can record its own start.
func (stage *stage) abandonRecord(token string, attempt *attempt, reply reply) error {
	run := stage.run
	ctx, cancel := context.WithTimeout(context.WithoutCancel(run.ctx), storeTimeout)
	defer cancel()
	if err := run.runner.Once.Abandon(ctx, run.request.Team, stage.key, token); err != nil {
		stage.log.Warn().Int("attempt", attempt.number).Msg("flow: failed to remove the record of an unsent at-most-once call: " + err.Error())
		return reply.err
	}
	return stage.decide(attempt, reply)
}

// storeResponse stores the response of an at-most-once call; if the write fails, it is retried in the background, and
// the caller still gets the response.
func (stage *stage) storeResponse(token string, response []byte) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(stage.run.ctx), storeTimeout)
	defer cancel()
	if err := stage.finishRecord(ctx, token, response); err == nil {
		return
	}
	stage.run.runner.background.Go(func() { stage.storeInBackground(token, response) })
}

func (stage *stage) finishRecord(ctx context.Context, token string, response []byte) error {
	return stage.run.runner.Once.Finish(ctx, stage.run.request.Team, stage.key, token, response)
}

func (stage *stage) storeInBackground(token string, response []byte) {
	clock := stage.run.runner.clock()
	deadline := clock.Now().Add(backgroundStoreTimeout)
	for backoff := minStoreBackoff; clock.Now().Before(deadline); backoff = min(2*backoff, maxStoreBackoff) {
		<-clock.After(backoff)
		ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
		err := stage.finishRecord(ctx, token, response)
		cancel()
		if err == nil {
			return
		}
	}
	stage.log.Error().Int("attempt", stage.attempts).Msg("flow: failed to store the response of an at-most-once call")
}
