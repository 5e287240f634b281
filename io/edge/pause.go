package edge

import (
	"context"
	"time"
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

// question is a question about the state of the store that is asked again when the process was paused meanwhile: its
// answer may be from before the pause, and its time limit may have passed during it.
type question struct {
	daemon  *Daemon
	askedAt time.Time
	ctx     context.Context // ends when a pause is detected
	cancel  context.CancelFunc
	woken   <-chan struct{}
}

// ask begins a question; cancel must be called at its end.
func (daemon *Daemon) ask(ctx context.Context) *question {
	question := &question{daemon: daemon, askedAt: daemon.clock.Now(), woken: daemon.pauses.Woken()}
	question.ctx, question.cancel = context.WithCancel(ctx)
	daemon.spawn("pause", func() {
		select {
		case <-question.woken:
			question.cancel()
		case <-question.ctx.Done():
		}
	})
	return question
}

// outdated reports whether the process was paused since the question was asked.
func (question *question) outdated() bool {
	question.daemon.observe()
	select {
	case <-question.woken:
		return true
	default:
		return false
	}
}

// answered records that the answer is in force: requests that wait for a check after an earlier pause go on.
func (question *question) answered() {
	if question.daemon.pauses.Unchecked() == nil {
		return
	}
	question.daemon.do(func() {}) // the view is rebuilt on the loop before this function runs
	question.daemon.pauses.Check(question.askedAt)
}
