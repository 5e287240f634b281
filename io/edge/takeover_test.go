package edge

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/place"
	"catkincove/io/inifmt"
)

// TestSilenceOfOthers guards against a sound target that is recorded as timed out, and whose stream another one is asked to take
// over, at the moment at which the daemon begins to wait for it again: after a late head, and after a caller that read nothing.
func TestSilenceOfOthers(t *testing.T) {
	clock := &fakes.Clock{}
	daemon := New(Options{Dialect: plainDialect{}, Clock: clock})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	target := place.Target{ID: "i-sound"}
	usable := func(when string) {
		t.Helper()
		time.Sleep(50 * time.Millisecond) // a timer that has expired runs
		daemon.do(func() {
			if !daemon.control.chooser.HasUsable(clock.Now(), []place.Target{target}, nil) {
				t.Errorf("%s: the target is recorded as timed out", when)
			}
		})
	}
	request := &request{route: core.Route{Name: "r", Stream: true}}
	relay := newRelay(daemon, request, core.ServiceSpec{Name: "model"}, &attempt{target: target}, nil, nil)
	defer relay.startWatchdog()()
	clock.Advance(maxSilence + 100*time.Millisecond)
	relay.watchdog.endWait(true)
	relay.watchdog.wait()
	usable("after a late head")
	relay.watchdog.endWait(true)
	relay.watchdog.receiveEvent()
	clock.Advance(maxSilence + 100*time.Millisecond)
	relay.watchdog.wait()
	usable("after a caller that read nothing")
}

// TestAbandonedTakeover guards against a takeover that offers its request to further targets, at the cost of retries, after the
// silent target has responded.
func TestAbandonedTakeover(t *testing.T) {
	daemon := newFleetMember(t)
	daemon.settings.Store(&inifmt.EdgeSettings{Bounds: inifmt.EdgeBounds{RetrySlack: 10_000, RetryWindow: 10 * time.Second}})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 20 {
		request := &request{incoming: httptest.NewRequest(http.MethodGet, "/", nil), route: core.Route{Name: "r", Stream: true}, deadline: time.Now().Add(time.Second)}
		inputs := &inputs{daemon: daemon, request: request}
		relay := newRelay(daemon, request, core.ServiceSpec{Name: "model"}, &attempt{}, nil, inputs)
		if next, err := relay.openElsewhere(ctx, request, inputs); next != nil || !errors.Is(err, context.Canceled) || request.attempts > 0 {
			t.Errorf("%d attempts, error %v", request.attempts, err)
		}
	}
}
