package edge

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/place"
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
