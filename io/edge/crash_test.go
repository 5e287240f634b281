package edge

import (
	"context"
	"errors"
	"testing"

	"catkincove/core"
	"catkincove/core/blame"
)

// TestProbeIsSentOnce guards against a request that was sent to find out whether its parts crash targets, and that crashes one target after another since it is retried.
func TestProbeIsSentOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel() // nothing is logged
	for _, test := range []struct {
		run   core.Run
		probe bool
	}{{core.NotRun, true}, {core.Unknown, false}, {core.HasRun, false}} {
		request := &request{suspects: blame.Request{Probe: true}}
		delivery := &delivery{request: request}
		delivery.count(ctx, &relay{watchdog: &watchdog{}}, &sendError{run: test.run, cause: errors.New("connection reset")})
		if request.suspects.Probe != test.probe {
			t.Errorf("after an attempt with outcome %v: sent without a check %v", test.run, request.suspects.Probe)
		}
	}
}
