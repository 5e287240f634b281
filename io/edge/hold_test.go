package edge

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/place"
)

// TestPauseOfRestartedTarget guards against requests to a target that has stated a pause after a restart of which the daemon had not heard yet: the response counts as one of
// the run before, and the registration of the new run ended the pause.
func TestPauseOfRestartedTarget(t *testing.T) {
	const (
		pause = 10 * time.Second
		slack = 900 * time.Millisecond // the clock of the test runs on
	)
	for _, test := range []struct {
		name      string
		startedAt time.Duration // start of the new run, relative to the response
		heard     bool          // before the response, to a request that was sent before
		paused    bool
	}{
		{"started before the response, heard after it", -50 * time.Millisecond, false, true},
		{"started before the response, heard before it", -50 * time.Millisecond, true, true},
		{"started after the response", 50 * time.Millisecond, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			clock := &fakes.Clock{}
			daemon := newFleetMemberWith(t, noNetwork{}, clock)
			target := daemon.view.Load().targets["ledger"][0]
			clock.Advance(target.StartedAt.Add(time.Hour).Sub(clock.Now()))
			startedAt := clock.Now().Add(test.startedAt)
			response := targetAnswer{service: "ledger", target: target.ID, startedAt: target.StartedAt, facts: core.TargetResponse{Pause: pause}}
			if test.heard {
				response.startedAt = startedAt
				daemon.pauseTarget(response) // of an earlier request, with the shorter rest of the pause
				response.startedAt, response.facts.Pause = target.StartedAt, pause+time.Second
			}
			daemon.pauseTarget(response)
			var pausedFor time.Duration
			daemon.do(func() {
				daemon.control.limits.StartRun(target.ID, startedAt)
				pausedFor = daemon.control.limits.PausedFor(clock.Now(), target.ID)
			})
			if want := response.facts.Pause; test.paused && (pausedFor > want || pausedFor < want-slack) || !test.paused && pausedFor != 0 {
				t.Errorf("paused for %v, want %v: %v", pausedFor, want, test.paused)
			}
		})
	}
}

// TestPauseOfFormerID guards against requests and calls that reach a target in its pause: it has started again at its address, has stated the pause under its new ID, and still is
// registered under the former one as well.
func TestPauseOfFormerID(t *testing.T) {
	const pause = 10 * time.Second
	daemon := newFleetMember(t)
	renewed, other := daemon.view.Load().targets["ledger"][0], daemon.view.Load().targets["ledger"][1]
	former := renewed
	former.ID, former.StartedAt = "i-former", renewed.StartedAt.Add(-time.Minute)
	next := *daemon.view.Load()
	next.targets = map[string][]place.Target{"ledger": {former, renewed, other}}
	next.byID = map[string]string{former.ID: former.Address, renewed.ID: renewed.Address, other.ID: other.Address}
	daemon.view.Store(&next)
	daemon.pauseTarget(targetAnswer{service: "ledger", target: renewed.ID, address: renewed.Address, startedAt: renewed.StartedAt, facts: core.TargetResponse{Pause: pause}})
	daemon.do(func() {
		if targets, _ := daemon.unpausedTargets(daemon.clock.Now(), "ledger", place.Versions{}); len(targets) != 1 || targets[0].ID != other.ID {
			t.Errorf("targets that may get requests: %v", targets)
		}
		for range 20 { // the order of a map differs
			if delay := daemon.freeDelayOf(daemon.clock.Now(), renewed.Address); delay < pause-time.Second {
				t.Errorf("results are freed in %v", delay)
				break
			}
		}
	})
}
