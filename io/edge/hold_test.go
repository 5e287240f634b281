package edge

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
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
			daemon := newFleetMember(t)
			target := daemon.view.Load().targets["ledger"][0]
			clock := &fakes.Clock{}
			daemon.clock = clock
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
