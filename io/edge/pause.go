package edge

import (
	"context"
	"time"

	"catkincove/core/wake"
)

// checkWait limits how long requests wait after a pause until the store or a relay was asked for changes; a response takes
// some milliseconds.
const checkWait = 500 * time.Millisecond

// observe notices pauses of the process; each part that acts on what the daemon knows calls it first.
func (daemon *Daemon) observe() {
	if !daemon.pauses.Observe(daemon.clock.Now()) {
		return
	}
	daemon.log.Warn().Str(eventField, eventPaused).Msg("the process was paused; checking what it knew before")
	daemon.loop.Post(func() {
		daemon.control.comparedAt = time.Time{}
		daemon.hedger().RecordStall(daemon.clock.Now())
		for _, known := range daemon.control.peers {
			known.unansweredSince = time.Time{} // the silence was this daemon's own
			clear(known.forecasts)
		}
	})
}

// awaitCheck waits after a pause until the copies have been compared with the store, for at most checkWait. While the store
// is unavailable it does not wait, since the copies may be used then.
func (daemon *Daemon) awaitCheck(ctx context.Context) {
	daemon.observe()
	unchecked := daemon.pauses.Unchecked()
	if unchecked == nil {
		return
	}
	select {
	case <-unchecked:
	case <-daemon.clock.After(checkWait):
	case <-ctx.Done():
	}
}

// ask begins a question about the state of the store; Cancel must be called at its end.
func (daemon *Daemon) ask(ctx context.Context) *wake.Question {
	return daemon.pauses.Ask(ctx, daemon.clock.Now())
}

// outdated reports whether the process was paused since the question was asked.
func (daemon *Daemon) outdated(question *wake.Question) bool {
	daemon.observe()
	return question.Outdated()
}

// answered records that the answer is in force: requests that wait for a check after an earlier pause go on.
func (daemon *Daemon) answered(question *wake.Question) {
	if daemon.pauses.Unchecked() == nil {
		return
	}
	daemon.do(func() {}) // the view is rebuilt on the loop before this function runs
	question.Check()
}
