package flow

import (
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/config"
)

// stage is the state of one stage of a request in execution.
type stage struct {
	run          *run
	name         string
	config       config.Stage
	service      config.Service
	key          string        // idempotency key of an at-most-once call, otherwise empty
	reservedTime time.Duration // minimum time of the later stages
	log          zerolog.Logger
	call         callFunc
	expectedWork int // tokens for a generating stage, otherwise 1
	prefixHashes []uint64

	receivedTokens int // number of tokens in answer
	answer         strings.Builder

	triedPools      map[core.PoolID]bool
	excludedTargets []core.TargetName
	secondPass      bool          // all pools were tried once and are tried again
	ownerWait       time.Duration // total wait for pools to get an owner
	disconnects     int           // attempts that were disconnected after a byte was sent
	lastErr         error
	attempts        int
	usedGrant       core.Grant // grant of the successful attempt
	startedAt       time.Time
	queueTime       time.Duration
	targetTime      time.Duration // duration of the successful attempt
	wastedTime      time.Duration // total duration of failed attempts
}

func (run *run) newStage(position int) *stage {
	settings := run.pipeline.Stages[position]
	stage := &stage{
		run:          run,
		name:         settings.Name,
		config:       settings,
		service:      run.services[position],
		key:          run.keys[position],
		reservedTime: run.reservedTime(position),
		expectedWork: 1,
		triedPools:   make(map[core.PoolID]bool),
		startedAt:    run.runner.clock().Now(),
	}
	stage.log = run.log.With().Str("stage", stage.name).Logger()
	stage.call = stage.prepare()
	return stage
}

// execute makes attempts until one succeeds or no further attempt is permitted.
func (stage *stage) execute() error {
	for {
		if err := stage.checkFeasible(); err != nil {
			return err
		}
		pool, found := stage.nextPool()
		if !found && stage.waitForOwner() {
			continue
		}
		if !found {
			return stage.finalError()
		}
		permit, err := stage.acquire(pool)
		if err != nil {
			err = stage.handleNoPermit(pool, err)
		} else {
			err = stage.usePermit(permit)
		}
		if !errors.Is(err, errNextAttempt) {
			return err
		}
	}
}

// errNextAttempt tells execute to make another attempt.
var errNextAttempt = errors.New("next attempt")

// checkFeasible returns DeadlineExceeded if this stage and the later ones cannot finish in the time left.
func (stage *stage) checkFeasible() error {
	if stage.run.ctx.Err() != nil {
		return stage.contextError()
	}
	minTime := stage.minTime()
	if timeLeft := stage.run.timeLeft(); timeLeft <= minTime {
		failure := core.Errorf(core.DeadlineExceeded, "%v left, more than %v needed", timeLeft, minTime)
		if stage.lastErr != nil {
			failure = core.Errorf(core.DeadlineExceeded, "%v left, more than %v needed after: %w", timeLeft, minTime, stage.lastErr)
		}
		return failure.WithRetryAfter(stage.retryAfter())
	}
	return nil
}

// minTime returns the minimum time that this stage and the later ones need.
func (stage *stage) minTime() time.Duration { return stage.service.LeastTime + stage.reservedTime }

func (stage *stage) contextError() error {
	if stage.lastErr == nil {
		return core.Errorf(core.DeadlineExceeded, "deadline passed or request cancelled")
	}
	return core.Errorf(core.DeadlineExceeded, "deadline passed or request cancelled after: %w", stage.lastErr)
}

func (stage *stage) retryAfter() time.Duration {
	if stage.lastErr == nil {
		return defaultRetryAfter
	}
	return max(core.AsError(stage.lastErr).RetryAfter, defaultRetryAfter)
}

// nextPool returns the next pool to try; after all pools were tried, it starts over once if targets were excluded,
// because a connection fault or a short overload may be over.
func (stage *stage) nextPool() (core.PoolID, bool) {
	pools := stage.run.runner.Router.Pools(stage.service.Name)
	if pool, found := stage.firstUntried(pools); found {
		return pool, true
	}
	if stage.secondPass || len(stage.excludedTargets) == 0 {
		return core.PoolID{}, false
	}
	stage.secondPass = true
	stage.excludedTargets = nil
	clear(stage.triedPools)
	return stage.firstUntried(pools)
}

// firstUntried returns the first pool in preference order that was not tried: the pool that passed the precheck, or
// else the one with the lowest cost.
func (stage *stage) firstUntried(pools []core.PoolID) (core.PoolID, bool) {
	if prechecked, found := stage.run.prechecked[stage.name]; found && !stage.triedPools[prechecked] && slices.Contains(pools, prechecked) {
		return prechecked, true
	}
	i := slices.IndexFunc(pools, func(pool core.PoolID) bool { return !stage.triedPools[pool] })
	if i < 0 {
		return core.PoolID{}, false
	}
	return pools[i], true
}

// waitForOwner sleeps for ownerPollInterval before the pools are tried again; it returns false if the last pool failed
// for another reason than a missing owner or if there is no time to wait.
//
// A pool gets a new owner within the lease time and the handover gap. Rejecting a request at once would fail requests
// that have seconds left, and callers would retry them.
func (stage *stage) waitForOwner() bool {
	run := stage.run
	if !errors.Is(stage.lastErr, core.ErrNoOwner) || stage.ownerWait >= maxOwnerWait {
		return false
	}
	if run.timeLeft()-ownerPollInterval < stage.service.LeastTime+stage.reservedTime {
		return false
	}
	select {
	case <-run.runner.clock().After(ownerPollInterval):
	case <-run.ctx.Done():
		return false
	}
	stage.ownerWait += ownerPollInterval
	clear(stage.triedPools)
	return true
}

// finalError returns the error of a stage for which no further attempt is permitted.
func (stage *stage) finalError() error {
	if stage.lastErr != nil {
		return core.AsError(stage.lastErr).WithRetryAfter(stage.retryAfter())
	}
	return core.Errorf(core.Unavailable, "no pool of service %q takes new work", stage.service.Name).
		WithRetryAfter(defaultRetryAfter)
}

// acquire requests a permit and waits for it as long as the request can still meet its deadline afterwards.
func (stage *stage) acquire(pool core.PoolID) (core.Permit, error) {
	run := stage.run
	stage.attempts++
	requestedAt := run.runner.clock().Now()
	ctx, cancel := context.WithTimeout(run.ctx, run.timeLeft()-stage.minTime())
	defer cancel()
	permit, err := run.runner.Granter.Acquire(ctx, core.GrantRequest{
		Pool:         pool,
		Request:      run.request.ID,
		Stage:        stage.name,
		Attempt:      stage.attempts,
		Member:       run.runner.Member,
		Team:         run.request.Team,
		Fingerprint:  run.fingerprint,
		Prefix:       stage.prefixHashes,
		TimeLeft:     run.timeLeft(),
		ReservedTime: stage.reservedTime,
		Work:         stage.expectedWork,
		Priority:     run.request.Priority,
		Revision:     run.runner.revision(),
		Exclude:      slices.Clone(stage.excludedTargets),
		Suspect:      stage.disconnects > 0,
	})
	stage.queueTime += run.runner.clock().Now().Sub(requestedAt)
	return permit, err
}

// handleNoPermit returns errNextAttempt if another pool may be tried after the pool gave no permit, or else the final
// error.
func (stage *stage) handleNoPermit(pool core.PoolID, err error) error {
	failure := core.AsError(err)
	stage.lastErr = failure
	stage.log.Debug().Int("attempt", stage.attempts).Str("pool", pool.String()).Msg("flow: no permit: " + failure.Message)
	if err := stage.checkFeasible(); err != nil {
		return err
	}
	switch failure.Kind {
	case core.Overloaded:
		stage.run.runner.congestion.recordRejection(stage.run.runner.clock().Now(), stage.service.Name)
		stage.run.runner.Router.RecordSummary(pool, core.PoolSummary{ExpectedWait: failure.RetryAfter})
	case core.Unavailable, core.Internal, core.TargetFailed, core.DeadlineExceeded:
		stage.run.runner.Router.Deprioritize(pool)
	default: // the reason for the rejection applies to every pool
		return failure
	}
	stage.triedPools[pool] = true
	if errors.Is(failure, core.ErrNoOwner) {
		stage.attempts--      // no owner was asked
		return errNextAttempt // waitForOwner bounds the number of such attempts
	}
	return stage.nextFreeAttempt()
}

// nextFreeAttempt permits another attempt that does not count as a retry, up to maxFreeAttempts per request.
func (stage *stage) nextFreeAttempt() error {
	stage.run.freeAttempts++
	if stage.run.freeAttempts > maxFreeAttempts {
		return stage.finalError()
	}
	return errNextAttempt
}

// nextRetry permits another attempt after one that sent a byte, within the request's retry limit and the retry budget.
func (stage *stage) nextRetry() error {
	run := stage.run
	if err := stage.checkFeasible(); err != nil {
		return err
	}
	if stage.disconnects >= maxDisconnects || run.retries >= run.view.Limits().RetriesPerRequest || !run.runner.budget().Withdraw() {
		return stage.finalError()
	}
	run.retries++
	return errNextAttempt
}

// record adds the stage to the trace and to the record of the request.
func (stage *stage) record() {
	run := stage.run
	duration := run.runner.clock().Now().Sub(stage.startedAt)
	run.result.Trace = append(run.result.Trace, StageTrace{
		Stage:      stage.name,
		Target:     stage.usedGrant.Target,
		DataCentre: stage.usedGrant.Pool.DataCentre,
		QueueTime:  stage.queueTime,
		Took:       duration,
		Attempts:   stage.attempts,
		TimeLeft:   run.timeLeft(),
	})
	run.record.Stages = append(run.record.Stages, core.StageRecord{
		Stage:      stage.name,
		Service:    stage.service.Name,
		DataCentre: stage.usedGrant.Pool.DataCentre,
		Took:       duration,
		Queued:     stage.queueTime,
		TargetTime: stage.targetTime,
		WastedTime: stage.wastedTime,
		Attempts:   stage.attempts,
	})
}
