package shift

import (
	"context"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/canary"
)

// Path is the path of reports between daemons; older builds do not know it.
const Path = "/peer/rollout"

const (
	stepInterval        = 125 * time.Millisecond // interval of steps, and of reports while traffic moves, which costs the bounds of the new version
	reportInterval      = 250 * time.Millisecond // interval of reports to the decider
	largeReportInterval = 500 * time.Millisecond // the same in a fleet of largeFleet daemons or more, whose reports while traffic moves come every reportInterval
	largeFleet          = 100
	movingShare         = 0.25                   // share of the new version from which on traffic moves
	idleReportInterval  = time.Second            // interval of reports of a daemon whose counts do not change; grants hold longer
	reportTimeout       = 800 * time.Millisecond // limit on one report; a healthy decider replies within some milliseconds
)

// Message is the report of a daemon to the decider.
type Message struct {
	Service  string
	Version  string
	Revision core.Revision // of the order
	From     core.MemberID
	Report   canary.Report

	Age           time.Duration // longest time since the order may have been written
	OldInProgress int
	Phase         core.RolloutPhase // that the daemon acts on
}

// Reply is the decider's answer; the zero value changes nothing at the daemon that reported.
type Reply struct {
	Decided bool // the daemon decides about this order
	Grant   canary.Grant
	Settled bool // the store holds the final phase
}

// Run reports to the deciders, and decides, until ctx ends.
func (mover *Mover) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	for core.Sleep(ctx, mover.options.Clock, mover.interval()) {
		for _, service := range mover.due() {
			group.Go(func() {
				defer mover.release(service)
				mover.step(ctx, service)
			})
		}
	}
	return ctx.Err()
}

// IsLarge reports whether a fleet has so many daemons that they report less often.
func IsLarge(daemons int) bool { return daemons >= largeFleet }

// interval returns the time until the next step.
func (mover *Mover) interval() time.Duration {
	if mover.active.Load() == 0 {
		return reportInterval
	}
	return stepInterval
}

// moves reports whether a large part of the traffic goes to the new version.
func (known *rollout) moves() bool {
	return known.grant.Share >= movingShare || len(known.grant.Moved) > 0
}

// due returns the services whose rollout has not ended and of which no step is in progress, and marks them as having one.
func (mover *Mover) due() []string {
	if mover.active.Load() == 0 {
		return nil
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	var services []string
	for service, known := range mover.rollouts {
		if !known.withdrawn && !known.settled && !known.busy {
			known.busy = true
			services = append(services, service)
		}
	}
	return services
}

func (mover *Mover) release(service string) {
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	if known := mover.rollouts[service]; known != nil {
		known.busy = false
	}
}

// step reports to the decider of a service, or decides.
func (mover *Mover) step(ctx context.Context, service string) {
	state := mover.options.Fleet.State(service)
	if state.Decider == "" {
		if !state.Leaving {
			mover.decide(ctx, service, state)
		}
		return
	}
	message, due := mover.message(service, state)
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply Reply
	if err := mover.options.Fleet.Call(ctx, state.Decider, Path, message, &reply); err == nil && reply.Decided {
		mover.apply(message.Service, message.Revision, reply.Grant, reply.Settled, "")
	}
}

// message returns the report to send, and false if none is due.
func (mover *Mover) message(service string, state State) (Message, bool) {
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	known := mover.rollouts[service]
	if known == nil {
		return Message{}, false
	}
	known.role = nil
	now := mover.options.Clock.Now()
	interval := idleReportInterval
	if known.begun != known.reported || known.grant.Share > 0 || mover.oldInProgress(known) > 0 {
		interval = reportInterval
		if state.Large {
			interval = largeReportInterval
		}
		if known.moves() {
			interval /= 2
		}
	}
	if now.Sub(known.reportedAt) < interval-stepInterval/2 {
		return Message{}, false
	}
	known.reportedAt, known.reported = now, known.begun
	return Message{
		Service: service, Version: known.order.Version, Revision: known.order.Revision, From: state.Self, Report: known.recorder.Report(now),
		Age: now.Sub(known.issuedAt), OldInProgress: mover.oldInProgress(known), Phase: known.phase,
	}, true
}

// Serve takes the report of another daemon and returns its grant.
func (mover *Mover) Serve(message Message) Reply {
	mover.mutex.Lock()
	known := mover.rollouts[message.Service]
	if known == nil || known.withdrawn || known.order.Revision != message.Revision || known.order.Version != message.Version {
		mover.mutex.Unlock()
		return Reply{}
	}
	now := mover.options.Clock.Now()
	if age := max(message.Age, 0); now.Add(-age).Before(known.issuedAt) && age < known.order.Duration {
		known.issuedAt = now.Add(-age)
	}
	var reply Reply
	inherits := false
	switch role := known.role; {
	case known.settled:
		reply = Reply{Decided: true, Grant: canary.Grant{Phase: known.phase, Share: shareOf(known.phase)}, Settled: true}
	case role == nil || role.judge == nil:
	default:
		role.add(now, message)
		reply = Reply{Decided: role.decided, Grant: role.grant}
		// An earlier decider has told that daemon of its decision, and could not write it or a restored store has lost it.
		inherits = message.Phase != core.RolloutRunning && known.phase == core.RolloutRunning
	}
	mover.mutex.Unlock()
	if inherits {
		mover.apply(message.Service, message.Revision, canary.Grant{Phase: message.Phase, Share: shareOf(message.Phase)}, false, "an earlier decider has decided")
	}
	return reply
}

func shareOf(phase core.RolloutPhase) float64 {
	if phase == core.RolloutSucceeded {
		return 1
	}
	return 0
}

// apply acts on a grant for an order; a phase that has ended gives way only to one that the store holds.
func (mover *Mover) apply(service string, order core.Revision, grant canary.Grant, settled bool, reason string) {
	mover.mutex.Lock()
	known := mover.rollouts[service]
	if known == nil || known.order.Revision != order || known.settled || known.phase != core.RolloutRunning && !settled && grant.Phase != known.phase {
		mover.mutex.Unlock()
		return
	}
	now := mover.options.Clock.Now()
	changed := grant.Phase != known.phase || (grant.Share == 0) != (known.grant.Share == 0) || (grant.Share < 1) != (known.grant.Share < 1)
	if grant.Phase != core.RolloutRunning && grant.Phase != known.phase {
		known.splitter = canary.Splitter{}
		if grant.Phase == core.RolloutSucceeded {
			known.banOthers(now)
		}
		mover.log(eventEnded, known).Str("Phase", grant.Phase.String()).Bool("Written", settled).Str("Reason", reason).Msg("the rollout has ended")
	}
	known.grant, known.validTo, known.phase = grant, now.Add(grant.For), grant.Phase
	known.splitter.Use(now, grant)
	if grant.Phase != core.RolloutRunning {
		known.settled = settled
	}
	mover.mutex.Unlock()
	if changed {
		mover.options.Fleet.Changed(service)
	}
}
