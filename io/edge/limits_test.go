package edge

import (
	"context"
	"errors"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/limit"
	"catkincove/core/place"
)

// limitedFleetMember returns a daemon of a fleet that knows that the first target of a service, which it also returns, has named a limit.
func limitedFleetMember(t *testing.T, service string, rate float64) (*Daemon, place.Target, *fakes.Clock) {
	clock := &fakes.Clock{}
	daemon := newFleetMemberWith(t, noNetwork{}, clock)
	target := daemon.view.Load().targets[service][0]
	daemon.do(func() {
		daemon.control.limits.Observe(limit.Evidence{Target: target.ID, StartedAt: target.StartedAt, Named: true, Rate: rate, At: clock.Now()})
	})
	return daemon, target, clock
}

// TestPermitRunsOut guards against a process that was paused while it waited for its turn at a limited target, and then sends at
// once what it had been permitted for the time of the pause.
func TestPermitRunsOut(t *testing.T) {
	tests := []struct {
		name   string
		wait   time.Duration
		paused time.Duration
		usable bool
	}{
		{"no wait", 0, 400 * time.Millisecond, true},
		{"no wait, paused since the permit was asked for", 0, 3 * time.Second, false},
		{"wait", 30 * time.Millisecond, 0, true},
		{"wait, paused meanwhile", 30 * time.Millisecond, 3 * time.Second, false},
		{"wall clock set back", 30 * time.Millisecond, -3 * time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			daemon, target, clock := limitedFleetMember(t, "ledger", 1)
			granted := permitted{askedAt: clock.Now(), wait: test.wait}
			clock.Advance(test.paused)
			if usable := daemon.awaitPermit(t.Context(), "ledger", target, granted); usable != test.usable {
				t.Errorf("usable: %v", usable)
			}
		})
	}
}

// TestNoPermitWithoutResponse guards against requests to a limited target that no daemon has permitted, because the one that paces it
// does not respond, and against rejections that do not say when to come back.
func TestNoPermitWithoutResponse(t *testing.T) {
	daemon, target, _ := limitedFleetMember(t, "ledger", 1)
	if _, ok := daemon.permit(t.Context(), "ledger", target, time.Second); ok {
		t.Error("permitted without a response")
	}
	other := daemon.view.Load().targets["ledger"][1]
	if granted, ok := daemon.permit(t.Context(), "ledger", other, 0); !ok || granted != (permitted{}) {
		t.Errorf("target without a limit: %+v, %v", granted, ok)
	}
	daemon.do(func() {
		for _, target := range daemon.view.Load().targets["ledger"] {
			daemon.control.limits.Observe(limit.Evidence{Target: target.ID, StartedAt: target.StartedAt, Named: true, Rate: 1, At: daemon.clock.Now()})
		}
	})
	now := daemon.clock.Now()
	_, err := daemon.choosePermitted(t.Context(), &request{softDeadline: now.Add(100 * time.Millisecond), deadline: now.Add(time.Second)}, "ledger", place.Versions{}, place.Request{})
	if rejection := core.AsError(err); err == nil || rejection.Kind != core.Unavailable || rejection.RetryAfter <= 0 {
		t.Errorf("all targets are limited: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := daemon.choosePermitted(ctx, &request{softDeadline: now.Add(time.Minute), deadline: now.Add(time.Hour)}, "ledger", place.Versions{}, place.Request{}); !errors.Is(err, context.Canceled) && core.AsError(err).Kind != core.Unavailable {
		t.Errorf("the caller has left: %v", err)
	}
}

// TestOlderBuildDoesNotLiftBrittleLimit guards against targets that are taken for sound ones because a daemon of a build that does not know brittle targets
// reports that they name no limit.
func TestOlderBuildDoesNotLiftBrittleLimit(t *testing.T) {
	for _, older := range []bool{true, false} {
		clock := &fakes.Clock{}
		daemon := newFleetMemberWith(t, noNetwork{}, clock)
		target := daemon.view.Load().targets["ledger"][0]
		limited := false
		daemon.do(func() {
			daemon.control.limits.Observe(limit.Evidence{ID: 1, Target: target.ID, StartedAt: target.StartedAt, Named: true, Brittle: true, Rate: 4, At: clock.Now()})
			clock.Advance(time.Second)
			status := peerStatus{Record: record{ID: "reporter", Peer: "10.2.0.9:81"}, Limits: []limitEntry{{ID: 2, Target: target.ID, StartedAt: target.StartedAt}}}
			if !older {
				status.PathsLost = new(bool)
			}
			daemon.mergeStatus(status)
			_, limited = daemon.control.limits.Rate(target.ID)
		})
		if limited != older {
			t.Errorf("reported by an older build: %v, the target counts as limited: %v", older, limited)
		}
	}
}

// TestUnheardTargetsOfBrittleService guards against a burst that goes without a bound to targets which have not responded since the targets of their service are
// brittle: nobody knows that they are until they have rejected more than they bear.
func TestUnheardTargetsOfBrittleService(t *testing.T) {
	for _, test := range []struct {
		name    string
		brittle bool          // another target of the service is
		heard   time.Duration // time after that at which the target names no limit; 0 if it does not respond
		limited bool
	}{
		{"the service is brittle", true, 0, true},
		{"the service is brittle no longer", true, time.Second, false},
		{"another target names a rate", false, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &fakes.Clock{}
			daemon := newFleetMemberWith(t, noNetwork{}, clock)
			targets := daemon.view.Load().targets["ledger"]
			daemon.do(func() {
				daemon.control.limits.Observe(limit.Evidence{ID: 1, Target: targets[0].ID, StartedAt: targets[0].StartedAt, Named: true, Brittle: test.brittle, Rate: 4, At: clock.Now()})
			})
			if test.heard > 0 {
				_, _ = daemon.permit(t.Context(), "ledger", targets[1], 0)
				clock.Advance(test.heard)
				daemon.do(func() {
					daemon.control.limits.Observe(limit.Evidence{ID: 2, Target: targets[1].ID, StartedAt: targets[1].StartedAt, At: clock.Now()})
				})
			}
			if granted, ok := daemon.permit(t.Context(), "ledger", targets[1], 0); ok == test.limited {
				t.Errorf("permitted without a response of the daemon that paces the targets: %v, %+v", ok, granted)
			}
			if _, ok := daemon.permit(t.Context(), "stock", daemon.view.Load().targets["stock"][0], 0); !ok {
				t.Error("a target of another service counts as limited")
			}
		})
	}
}
