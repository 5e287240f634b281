package shift

import (
	"context"
	"errors"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/canary"
)

const (
	storeTimeout  = 2 * time.Second         // limit on reading and writing the status
	storeRetry    = 500 * time.Millisecond  // time after a failed call of the store before the next one
	inheritWait   = time.Second             // time in which a decider that takes over hears from the others before it judges
	maxStepGap    = 1500 * time.Millisecond // a decider that was stopped for longer begins anew: another one may have taken over, and it knows of no daemons in touch
	maxStoreRetry = 4 * time.Second         // longest storeRetry, which doubles with each failure

	reasonLogInterval = time.Second // between two log lines of which only the reason differs
)

// role is what the decider of a rollout knows.
type role struct {
	begunAt   time.Time
	steppedAt time.Time     // last step
	begun     bool          // the status has been read, and says that this daemon decides
	inherited bool          // another daemon has decided before
	revision  core.Revision // of the status that this daemon wrote
	writing   bool          // a call of the store is in progress
	retryAt   time.Time
	retry     time.Duration

	judge   *canary.Judge // nil before the decision begins
	decided bool
	grant   canary.Grant
	reason  string
	logged  canary.Decision // last step in the log

	loggedAt time.Time

	single  bool                   // this daemon sends all requests of the service
	senders map[core.MemberID]bool // daemons that have sent some, if single
}

// add takes the report of another daemon. One that has sent nothing has no part in a service with a single sender, which needs all of the slack.
func (role *role) add(now time.Time, message Message) {
	if role.single {
		if len(message.Report.Routes) == 0 && message.OldInProgress == 0 && !role.senders[message.From] {
			return
		}
		role.senders[message.From] = true
	}
	role.judge.Add(now, message.From, message.Report, message.OldInProgress)
}

// daemons returns those in touch that send requests of the service.
func (role *role) daemons(state State) []core.MemberID {
	if !role.single {
		return state.Daemons
	}
	return slices.DeleteFunc(slices.Clone(state.Daemons), func(id core.MemberID) bool { return id != state.Self && !role.senders[id] })
}

// isStep reports whether a decision differs enough from the last one in the log: the share and the figures of the reason move a little with each report.
func (role *role) isStep(now time.Time, decision canary.Decision) bool {
	share, logged := decision.Share, role.logged.Share
	return !role.decided || decision.Reason != role.logged.Reason && now.Sub(role.loggedAt) >= reasonLogInterval || share != logged && (share == 0 || share == 1 || share >= 2*logged || share <= logged/2)
}

var (
	errStatusChanged = errors.New("another daemon has written the status of the rollout")
	errOlderCopy     = errors.New("the copy of the order is from before a restore of the store")
)

// decide judges a rollout for the whole fleet, and writes its status.
func (mover *Mover) decide(ctx context.Context, service string, state State) {
	mover.mutex.Lock()
	known := mover.rollouts[service]
	if known == nil || known.withdrawn {
		mover.mutex.Unlock()
		return
	}
	now := mover.options.Clock.Now()
	if known.role != nil && now.Sub(known.role.steppedAt) > maxStepGap {
		known.role = nil
	}
	if known.role == nil {
		known.role = &role{begunAt: now, single: state.Single, senders: map[core.MemberID]bool{}}
	}
	role := known.role
	if role.begun && !known.moves() && now.Sub(role.steppedAt) < reportInterval-stepInterval/2 {
		mover.mutex.Unlock()
		return
	}
	role.steppedAt = now
	if !role.begun {
		mover.mutex.Unlock()
		mover.sync(ctx, service, known.order, role, core.RolloutRunning)
		return
	}
	if role.judge == nil && (!role.inherited || now.Sub(role.begunAt) >= inheritWait) {
		role.judge = canary.NewJudge(canary.JudgeOptions{Order: known.order.RolloutOrder, IssuedAt: known.issuedAt, Bounds: mover.options.Bounds(), Inherited: role.inherited})
	}
	if role.judge == nil {
		mover.mutex.Unlock()
		return
	}
	role.judge.Add(now, state.Self, known.recorder.Report(now), mover.oldInProgress(known))
	decision := role.judge.Decide(now, canary.Fleet{Daemons: role.daemons(state), NewTargets: known.counts[canary.New], OldTargets: known.counts[canary.Old], Unstable: state.Disturbed})
	if known.phase != core.RolloutRunning {
		decision.Phase, decision.Share, decision.Reason = known.phase, shareOf(known.phase), role.reason // not written yet
	}
	wanted := decision.Phase
	if wanted == core.RolloutSucceeded && known.phase == core.RolloutRunning {
		// Claimed only when the store holds it. Until then no daemon returns to the old version because its part of the bounds is used.
		decision.Phase, decision.Share, decision.Bounds.Share = core.RolloutRunning, 1, 1
	}
	if role.isStep(now, decision) {
		role.logged, role.loggedAt = decision, now
		mover.log(eventStep, known).Float64("Share", decision.Share).Str("Phase", wanted.String()).Str("Reason", decision.Reason).Int("Daemons", len(state.Daemons)).
			Int("NewTargets", known.counts[canary.New]).Int("OldTargets", known.counts[canary.Old]).Msg("the share of the new version changes")
	}
	role.decided, role.grant, role.reason = true, decision.Grant, decision.Reason
	order := known.order
	mover.mutex.Unlock()
	mover.apply(service, order.Revision, decision.Grant, false, decision.Reason)
	if wanted != core.RolloutRunning {
		mover.sync(ctx, service, order, role, wanted)
	}
}

// sync brings the status to a phase in the background, one call at a time.
func (mover *Mover) sync(ctx context.Context, service string, order Order, role *role, phase core.RolloutPhase) {
	mover.mutex.Lock()
	now := mover.options.Clock.Now()
	if role.writing || now.Before(role.retryAt) {
		mover.mutex.Unlock()
		return
	}
	role.writing = true
	if known := mover.rollouts[service]; known != nil && known.phase != core.RolloutRunning {
		phase = known.phase // an earlier decider could not write it, or a restored store has lost it
	}
	revision := role.revision
	mover.mutex.Unlock()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		result, err := mover.write(ctx, order, revision, phase)
		mover.finish(service, order, role, result, err)
	}()
}

// finish takes the result of a write.
func (mover *Mover) finish(service string, order Order, role *role, result written, err error) {
	mover.mutex.Lock()
	known := mover.rollouts[service]
	role.writing = false
	if known == nil || known.role != role {
		mover.mutex.Unlock()
		return
	}
	now := mover.options.Clock.Now()
	reason := role.reason
	switch {
	case errors.Is(err, errStatusChanged):
		known.role = nil // the next step reads it, and inherits
	case err != nil:
		role.retry = min(max(2*role.retry, storeRetry), maxStoreRetry)
		role.retryAt = now.Add(role.retry)
		mover.options.Log.Warn().Str(eventField, eventNotWritten).Str("Service", service).Err(err).Msg("cannot write the status of the rollout")
	default:
		role.begun, role.inherited, role.revision, role.retry = true, role.inherited || result.inherited, result.revision, 0
	}
	mover.mutex.Unlock()
	if err == nil && result.phase != core.RolloutRunning {
		mover.apply(service, order.Revision, canary.Grant{Phase: result.phase, Share: shareOf(result.phase)}, true, reason)
	}
}

// written is the status that the store holds.
type written struct {
	phase     core.RolloutPhase
	revision  core.Revision
	inherited bool // another daemon had written it for this order before
}

// write writes the phase of an order, unless the store holds a final one for it, which it returns. Each daemon that begins to decide writes the status
// anew, so that one that decided before it finds another revision than its own, and gives way. The revision is that of its own write; 0 before the first.
func (mover *Mover) write(ctx context.Context, order Order, own core.Revision, phase core.RolloutPhase) (written, error) {
	key := mover.options.Dialect.RolloutStatusKey(order.Service)
	snapshot, err := mover.options.Store.Get(ctx, key)
	if err != nil {
		return written{}, err
	}
	result := written{phase: phase}
	var before core.Revision
	for _, entry := range snapshot.Entries {
		before = entry.ModRevision
		if before.Epoch() != order.Revision.Epoch() {
			return written{}, errOlderCopy
		}
		status, err := mover.options.Dialect.DecodeRolloutStatus(entry.Value)
		if err != nil || status.Version != order.Version || before < order.Revision {
			continue // of an earlier order, or of another writer
		}
		if status.Phase != core.RolloutRunning {
			return written{phase: status.Phase, revision: before, inherited: true}, nil
		}
		result.inherited = own == 0
	}
	if own != 0 && before != own {
		return written{}, errStatusChanged
	}
	value := mover.options.Dialect.EncodeRolloutStatus(core.RolloutStatus{Phase: phase, Version: order.Version})
	committed, err := mover.options.Store.Commit(ctx, core.Txn{
		Compares: []core.Compare{{Key: key, ModRevision: &before}}, Puts: []core.Put{{Key: key, Value: value}}, OnFailure: []string{key},
	})
	switch {
	case err != nil:
		return written{}, err
	case !committed.Succeeded:
		return written{}, errStatusChanged
	}
	result.revision = committed.Revision
	return result, nil
}
