package edge

import (
	"context"
	"errors"
	"net/http"
	"time"

	"catkincove/core"
	"catkincove/core/hedge"
	"catkincove/core/place"
	"catkincove/io/answer"
)

// hedger returns what decides on second tries, with the share in force; it must run on the loop.
func (daemon *Daemon) hedger() *hedge.Hedger {
	daemon.control.hedger.Share = daemon.settings.Load().Bounds.HedgeShare
	return &daemon.control.hedger
}

// mayRace reports whether a slow answer to the first attempt may be replaced by that of a second one. Streams move by a takeover, and prompts are placed
// where their parts are in memory.
func (delivery *delivery) mayRace(first *relay) bool {
	request, route := delivery.request, delivery.request.route
	switch {
	case delivery.daemon.settings.Load().Bounds.HedgeShare <= 0, route.Repeat != core.Idempotent, route.Stream, len(route.Stages) > 0, delivery.service.Engine != nil,
		first.attempt.through != nil, request.forwarded, request.suspects.Probe, request.caller.Attempt == "":
		return false
	}
	return request.attempts == 1 && request.attempts < route.MaxTargets
}

// race opens the first attempt and returns it once its target has responded, or a second attempt whose target has given the first usable response. The other
// one of the two is cancelled.
func (delivery *delivery) race(ctx context.Context, first *relay) *relay {
	if !delivery.mayRace(first) {
		return first
	}
	daemon, route := delivery.daemon, delivery.request.route.Name
	var delay time.Duration
	var due <-chan time.Time
	daemon.do(func() {
		known := false
		if delay, known = daemon.hedger().Begin(daemon.clock.Now(), route); known {
			due = daemon.clock.After(delay)
		}
	})
	defer first.startWatchdog()()
	waiting, winner := first.openAttempt(ctx), first
	select {
	case <-waiting.Done():
	case <-due:
		if second := delivery.beginSecond(waiting, first, first.attempt.startedAt.Add(delay)); second != nil {
			winner = delivery.decide(ctx, waiting, first, second)
		}
	}
	if winner.peek().err == nil {
		now := daemon.clock.Now()
		daemon.loop.Post(func() { daemon.hedger().Observe(now, route, now.Sub(first.attempt.startedAt)) })
	}
	return winner
}

// openAttempt opens the request and returns a context that ends when the result is there or ctx ends.
func (relay *relay) openAttempt(ctx context.Context) (waiting context.Context) {
	waiting, relay.answered = context.WithCancel(ctx)
	ctx, relay.attempt.cancel = context.WithCancel(ctx)
	relay.openAsync(ctx)
	return waiting
}

// peek waits for the result of an attempt and leaves it to run.
func (relay *relay) peek() opened {
	result := <-relay.opening
	relay.opening <- result
	return result
}

// poll is peek without waiting; the result is empty if the target has not responded yet.
func (relay *relay) poll() opened {
	select {
	case result := <-relay.opening:
		relay.opening <- result
		return result
	default:
		return opened{}
	}
}

// beginSecond chooses a second target while the first one is waited for; it returns nil if there may be no second try.
func (delivery *delivery) beginSecond(waiting context.Context, first *relay, due time.Time) *relay {
	daemon, service := delivery.daemon, delivery.service
	request := delivery.request.copy(delivery.request.triedTargets)
	refusal := hedge.NotSent
	select {
	case <-first.sending:
		refusal = daemon.reserveSecond(service.Name, request, due)
	default:
	}
	var attempt *attempt
	if refusal == hedge.Allowed {
		var err error
		if attempt, err = daemon.beginAttempt(waiting, request, service); err != nil {
			refusal = hedge.NoTarget
		}
	}
	daemon.loop.Post(func() { daemon.hedger().CountTry(refusal) })
	if refusal != hedge.Allowed {
		return nil
	}
	request.triedTargets = append(request.triedTargets, attempt.target.ID)
	request.targetID = attempt.target.ID
	request.versions = append(request.versions, attempt.target.Version)
	return newRelay(daemon, request, service, attempt, delivery.writer, delivery.inputs)
}

// reserveSecond charges a second try to the operators' share and to the retry budget, or returns why there is none.
func (daemon *Daemon) reserveSecond(service string, request *request, due time.Time) (refusal hedge.Refusal) {
	if daemon.paths.lostLately() {
		return hedge.PathsLost
	}
	daemon.do(func() {
		now := daemon.clock.Now()
		targets, _ := daemon.unpausedTargets(now, service, place.Versions{Only: request.origin.Version})
		if !daemon.control.chooser.HasUsable(now, targets, request.triedTargets) {
			refusal = hedge.NoTarget
		} else if refusal = daemon.hedger().Allow(now, due, service); refusal == hedge.Allowed && !daemon.retryWindow(service).Allow(now) {
			refusal = hedge.BudgetSpent
		}
	})
	return refusal
}

// decide opens the second attempt and returns the attempt with the first usable response. If neither has one, it returns one that may have run the request, so
// that no rejection promises the opposite.
func (delivery *delivery) decide(ctx, waiting context.Context, first, second *relay) *relay {
	daemon, winner, loser := delivery.daemon, first, second
	waitingForSecond := second.openAttempt(ctx)
	select {
	case <-waiting.Done():
		if !first.poll().usable() {
			<-waitingForSecond.Done()
		}
	case <-waitingForSecond.Done():
		if !second.poll().usable() {
			<-waiting.Done()
		}
	}
	firstResult, loserResult := first.poll(), second.poll()
	if loserResult.usable() && !firstResult.usable() || firstResult.notRun() && !loserResult.notRun() {
		winner, loser, loserResult = second, first, firstResult
	}
	loser.attempt.cancel()
	daemon.spawn("second try", loser.discard)
	winner.request.attempts, winner.request.triedTargets, winner.request.versions = second.request.attempts, second.request.triedTargets, second.request.versions
	if !loserResult.notRun() {
		winner.request.mayHaveRun = true
		delivery.executions++
	}
	delivery.request = winner.request
	daemon.loop.Post(func() { daemon.hedger().CountEnd(winner == second) })
	daemon.log.Info().Str(eventField, eventSecondTry).Str("Request", winner.request.logID()).Str("Target", first.attempt.target.ID).Str("Next", second.attempt.target.ID).Bool("Won", winner == second).Msg("a slow request was sent to a second target")
	return winner
}

// usable reports whether a response may be the caller's.
func (result opened) usable() bool {
	return result.response != nil && result.response.StatusCode < http.StatusInternalServerError && !answer.ImpliesNotRun(result.response.StatusCode)
}

// notRun reports whether the target has not run the request and never will.
func (result opened) notRun() bool {
	var failure *sendError
	return errors.As(result.err, &failure) && failure.run == core.NotRun
}
