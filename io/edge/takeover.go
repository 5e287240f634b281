package edge

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/place"
)

const (
	// maxSilence is the minimum time without an event after which another target is asked to take over: sound targets are silent
	// for a second or so now and then.
	maxSilence              = 1500 * time.Millisecond
	gapFactor               = 2                      // a stream is silent after this multiple of the route's gap objective
	firstEventTimeoutFactor = 4                      // a target is silent after this multiple of the usual time to the first event
	maxOverlap              = 250 * time.Millisecond // limit on the time in which two targets run one request
)

var (
	errTargetTimedOut = errors.New("the target timed out")
	errTargetResponds = errors.New("the target responds again")
	errNoTakeover     = errors.New("no other target is usable, or no retry is left")
)

// watchdog notices that the target of an attempt sends nothing for too long, and moves the request to another target. The
// attempt goes on until the other target has accepted the request, because a silent target may be sound.
//
// While the relay waits for the target, it changes nothing in its request, which the takeover copies.
type watchdog struct {
	relay   *relay
	timer   *time.Timer
	enabled bool // the request may move to another target

	mutex       sync.Mutex
	waiting     bool // the relay waits for the target
	silentSince time.Time
	limit       time.Duration      // limit on the silence
	responses   int                // heads and whole events received
	takeover    chan struct{}      // closed at the end of the takeover in progress; nil if there is none
	abandon     context.CancelFunc // ends that takeover
	successor   *relay             // attempt that has taken over; nil before
	tried       []string           // targets that cannot take over
	failed      int                // takeovers that failed although their targets may have run the request
}

// startWatchdog starts the timeout for the first event; the returned function stops it.
func (relay *relay) startWatchdog() func() {
	request := relay.request
	watchdog := &watchdog{
		relay: relay, enabled: request.route.Stream && request.route.Resumable && request.attempts < request.route.MaxTargets,
		tried: slices.Clone(request.triedTargets), silentSince: relay.daemon.clock.Now(),
		limit: max(maxSilence, relay.daemon.usualFirstEventTime(request)*firstEventTimeoutFactor),
	}
	relay.watchdog = watchdog
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.timer = time.AfterFunc(watchdog.limit, func() { relay.daemon.spawn("takeover", watchdog.handleSilence) })
	watchdog.waiting = true
	return func() { watchdog.endWait(true) }
}

// wait records that the relay waits for the target, whose silence begins now.
func (watchdog *watchdog) wait() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.waiting, watchdog.silentSince = true, watchdog.relay.daemon.clock.Now()
	watchdog.timer.Reset(watchdog.limit)
}

// endWait records that the wait for the target has ended and reports whether the request is still at that target. A takeover in
// progress is abandoned if the target has responded, and awaited if it has failed.
func (watchdog *watchdog) endWait(responded bool) bool {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.waiting = false
	watchdog.timer.Stop()
	if responded {
		watchdog.responses++
	}
	if takeover := watchdog.takeover; takeover != nil {
		if responded {
			watchdog.abandon()
		}
		watchdog.mutex.Unlock()
		<-takeover
		watchdog.mutex.Lock()
	}
	return watchdog.successor == nil
}

// receiveEvent sets the limit on the silence after an event.
func (watchdog *watchdog) receiveEvent() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.limit = max(watchdog.relay.request.route.GapObjective*gapFactor, maxSilence)
}

// isSilent reports whether the silence has reached its limit; the mutex must be held.
func (watchdog *watchdog) isSilent() bool {
	return watchdog.waiting && watchdog.relay.daemon.clock.Now().Sub(watchdog.silentSince) >= watchdog.limit
}

// handleSilence records that the target is slow and moves the request to another target if one accepts it. Otherwise the
// request stays until its time limit.
func (watchdog *watchdog) handleSilence() {
	relay := watchdog.relay
	daemon, target := relay.daemon, relay.attempt.target.ID
	watchdog.mutex.Lock()
	silent := watchdog.isSilent()
	watchdog.mutex.Unlock()
	if !silent {
		return
	}
	daemon.do(func() { daemon.control.chooser.RecordOutcome(daemon.clock.Now(), target, place.TimedOut, 0) })
	if !watchdog.enabled {
		return
	}
	next, err := watchdog.takeOver()
	event := daemon.log.Info().Str(eventField, eventTakeover).Str("Request", relay.request.logID()).Str("Target", target)
	if err != nil {
		event.Err(err).Msg("the target is silent and no other one has taken over")
		return
	}
	event.Str("Next", next.attempt.target.ID).Msg("the target is silent and another one has taken over")
	relay.attempt.cancel()
}

// takeOver sends the request to another target and returns that attempt once the target has accepted it.
func (watchdog *watchdog) takeOver() (*relay, error) {
	relay := watchdog.relay
	ctx, cancel := context.WithCancel(relay.parent)
	done := make(chan struct{})
	defer close(done)

	watchdog.mutex.Lock()
	if !watchdog.isSilent() || relay.request.attempts+watchdog.failed >= relay.request.route.MaxTargets {
		watchdog.mutex.Unlock()
		cancel()
		return nil, errNoTakeover
	}
	watchdog.takeover, watchdog.abandon = done, cancel
	responses := watchdog.responses
	request := relay.request.copy(watchdog.tried)
	request.attempts += watchdog.failed
	inputs := &inputs{daemon: relay.daemon, request: request, chain: relay.inputs.chain, shared: relay.inputs.chain != nil}
	watchdog.mutex.Unlock()

	next, err := relay.openElsewhere(ctx, request, inputs)

	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	watchdog.takeover, watchdog.tried = nil, request.triedTargets
	if err == nil && watchdog.responses != responses {
		err = errTargetResponds
	}
	if err == nil {
		next.attempt.cancel = cancel
		watchdog.successor = next
		return next, nil
	}
	cancel()
	if next != nil {
		watchdog.failed++
		relay.daemon.spawn("takeover", next.discard)
	}
	inputs.release()
	if watchdog.waiting {
		watchdog.timer.Reset(watchdog.limit)
	}
	return nil, err
}

// copy returns the request as it is now for a takeover, which changes it.
func (request *request) copy(tried []string) *request {
	copied := *request
	copied.triedTargets = slices.Clone(tried)
	copied.triedPeers = slices.Clone(request.triedPeers)
	copied.versions = slices.Clone(request.versions)
	return &copied
}

// openElsewhere sends the request to other targets until one accepts it: it responds with success, or has not rejected the
// request within maxOverlap. It also returns an attempt with an error if its target may have run the request.
func (relay *relay) openElsewhere(ctx context.Context, request *request, inputs *inputs) (*relay, error) {
	daemon := relay.daemon
	for range maxRejections + 1 {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		usable := false
		daemon.do(func() { usable = daemon.reserveTakeover(relay.service.Name, request) })
		if !usable {
			return nil, errNoTakeover
		}
		var attempt *attempt
		if through := daemon.forwardingPeer(request); through != nil {
			attempt = daemon.forwardsTo(request, through)
		} else {
			if err := inputs.produce(ctx); err != nil {
				return nil, err
			}
			var err error
			if attempt, err = daemon.beginAttempt(ctx, request, relay.service); err != nil {
				return nil, err
			}
		}
		request.triedTargets = append(request.triedTargets, attempt.target.ID)
		request.targetID = attempt.target.ID
		request.versions = append(request.versions, attempt.target.Version)
		next := newRelay(daemon, request, relay.service, attempt, relay.writer, inputs)
		next.openAsync(ctx)
		accepted, err := next.awaitAcceptance(ctx)
		if accepted {
			return next, nil
		}
		failure := (*sendError)(nil)
		if !errors.As(err, &failure) || failure.run != core.NotRun {
			return next, err
		}
		if failure.status == http.StatusConflict {
			inputs.lose() // the target may take over with new ones
			request.triedTargets = request.triedTargets[:len(request.triedTargets)-1]
		}
	}
	return nil, errNoTakeover
}

// reserveTakeover charges the retry budget for an attempt at another target, and reports false if there is no other target or
// the budget is spent; it must run on the loop.
func (daemon *Daemon) reserveTakeover(service string, request *request) bool {
	now := daemon.clock.Now()
	targets, _ := daemon.unpausedTargets(now, service, place.Versions{Only: request.origin.Version})
	return (daemon.othersReachTargets(now) || daemon.control.chooser.HasUsable(now, targets, request.triedTargets)) && daemon.retryWindow(service).Allow(now)
}

// opened is the result of opening a request at a target.
type opened struct {
	response *http.Response
	err      error
}

// openAsync opens the request; the result is kept for run.
func (relay *relay) openAsync(ctx context.Context) {
	relay.ctx, relay.opening, relay.sending = ctx, make(chan opened, 1), make(chan struct{})
	relay.daemon.spawn("takeover", func() {
		result := opened{err: errors.New("panic")}
		defer func() {
			relay.opening <- result
			if relay.answered != nil {
				relay.answered()
			}
		}()
		result.response, result.err = relay.open(ctx)
	})
}

// awaitAcceptance waits until the target has accepted or failed the request, or maxOverlap has passed since the request was sent
// to it: before that it does not run the request, and its host may be unreachable.
func (relay *relay) awaitAcceptance(ctx context.Context) (accepted bool, err error) {
	sending := relay.sending
	var overlap <-chan time.Time
	for {
		select {
		case <-sending:
			sending, overlap = nil, relay.daemon.clock.After(maxOverlap)
		case result := <-relay.opening:
			relay.opening <- result
			if result.err != nil {
				return false, result.err
			}
			return result.response.StatusCode < http.StatusMultipleChoices, &sendError{run: core.HasRun, status: result.response.StatusCode, cause: errTargetFailed}
		case <-overlap:
			return true, nil
		case <-ctx.Done():
			return false, ctx.Err()
		}
	}
}

// discard ends an attempt whose response is not needed.
func (relay *relay) discard() {
	result := <-relay.opening
	outcome := place.Inconclusive
	if result.err == nil {
		if result.response.StatusCode >= http.StatusInternalServerError {
			outcome = place.ErrorResponse
		}
		_ = result.response.Body.Close()
	}
	relay.daemon.recordOutcome(relay.request, relay.attempt, outcome, 0)
}
