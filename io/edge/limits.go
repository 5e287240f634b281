package edge

import (
	"context"
	"math"
	"net/http"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/limit"
	"catkincove/core/place"
)

const (
	permitTimeout   = 250 * time.Millisecond // limit on the wait for a permit; without one the target is passed over
	permitTTL       = 500 * time.Millisecond // time after its turn until which a request may use its permit
	permitRetry     = 300 * time.Millisecond // time for which a target is passed over when no permit can be had
	resultsDelay    = 100 * time.Millisecond // time after a request to a brittle target until its result is sent to the pacing daemon
	noPermit        = -time.Second           // longest wait of a message that asks for no permit
	maxPermitTries  = 3                      // targets whose permit is awaited before the request is rejected
	maxLimitEntries = 64                     // limits in a status, about 8 KB
)

// limitEntry says what the newest response of a target, of this age, says about its limit.
type limitEntry struct {
	ID        uint64 // of the response
	Target    string
	StartedAt time.Time // start of the target's run
	Named     bool
	Rate      float64 // requests per second from all daemons, or rejections that a brittle target bears
	Brittle   bool
	Age       time.Duration
}

// permitRequest asks the daemon that paces the targets of a service whether a request may be sent to a target.
type permitRequest struct {
	Service string
	Limit   limitEntry // what the asking daemon knows: the other one may not have heard of the limit
	MaxWait time.Duration
	Results limit.Results // of the asking daemon's requests to a brittle target since the one before
}

// permitReply says how long the request has to wait; it may not be sent if Granted is false.
type permitReply struct {
	Granted bool
	Wait    time.Duration
}

// permitted is leave to send a request to a target at one time, or at any time if the target has no limit and it is zero.
type permitted struct {
	askedAt time.Time
	wait    time.Duration // from then on
}

// targetAnswer is a response of a target, by which it names a limit or none and says whether it leaves.
type targetAnswer struct {
	service   string
	target    string
	address   string
	startedAt time.Time // start of the target's run
	sentAt    time.Time // time before the request was sent
	status    int
	facts     core.TargetResponse

	unidentified bool // it may be the response to another request, sent a second time
}

// observeAnswer records whether a response of a target names a limit, and whether it says that the target leaves or is another one.
func (daemon *Daemon) observeAnswer(response targetAnswer) {
	if response.status == http.StatusMisdirectedRequest {
		daemon.loop.Post(func() { daemon.markMisdirected(response.target) })
		return // another target at the address has responded
	}
	if response.facts.Leaving {
		daemon.do(func() { daemon.markLeaving(response.target, response.startedAt) })
	}
	if response.facts.Pause > 0 {
		daemon.pauseTarget(response)
	}
	if response.unidentified {
		return
	}
	evidence := limit.Evidence{Target: response.target, StartedAt: response.startedAt, Named: response.facts.Limited, Rate: response.facts.RateLimit, At: response.sentAt}
	var results limit.Results
	switch {
	case evidence.Named:
		evidence.At = daemon.clock.Now()
	case response.facts.Brittle:
		evidence.Named, evidence.Brittle, evidence.Rate, evidence.At = true, true, response.facts.MaxRejections, daemon.clock.Now()
		results.Accepted = 1
		if rejectsForRoom(response) {
			results = limit.Results{Rejected: 1}
		}
	}
	daemon.loop.Post(func() {
		daemon.control.crashTracker.AddResponse(daemon.clock.Now(), response.sentAt, runOf(response.target, response.startedAt))
		daemon.control.chooser.Observe(daemon.clock.Now(), response.target, response.facts.Load)
		evidence.ID = daemon.control.random.Uint64()
		if rejectsForRoom(response) {
			daemon.hedger().RecordNoRoom(daemon.clock.Now(), response.service)
		}
		if daemon.control.limits.Observe(evidence) {
			daemon.logLimit(evidence, daemon.id)
		}
		if daemon.control.limits.Count(response.target, results) {
			time.AfterFunc(resultsDelay, func() { daemon.sendResults(response.service, response.target) })
		}
	})
}

// sendResults tells the daemon that paces a brittle target what this one's requests came to; with the next request for a permit it might
// come seconds late.
func (daemon *Daemon) sendResults(service, target string) {
	message := permitRequest{Service: service, MaxWait: noPermit}
	address := ""
	daemon.do(func() {
		if owner := daemon.senderOf(service); owner != nil {
			address, message.Results = owner.Peer, daemon.control.limits.TakeResults(target)
		} else {
			daemon.control.limits.Pace(daemon.clock.Now(), target)
		}
		evidence, _ := daemon.control.limits.Of(target)
		message.Limit = newLimitEntry(daemon.clock.Now(), evidence)
	})
	if address == "" || message.Results == (limit.Results{}) {
		return
	}
	daemon.spawn("results", func() {
		ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
		defer cancel()
		var reply permitReply
		if err := daemon.callPeer(ctx, address, pathPermit, message, &reply); err != nil {
			daemon.metrics.peerErrors.Add(1) // the pace follows what it hears
		}
	})
}

// rejectsForRoom reports whether a target has rejected a request for want of room.
func rejectsForRoom(response targetAnswer) bool {
	return response.facts.NotRun && (response.status == http.StatusServiceUnavailable || response.status == http.StatusTooManyRequests)
}

// mergeLimit merges what another daemon knows about a limit; it must run on the loop.
func (daemon *Daemon) mergeLimit(now time.Time, entry limitEntry, seenBy core.MemberID) {
	if entry.Target == "" || entry.Age < 0 || entry.Rate < 0 || math.IsInf(entry.Rate, 0) {
		return
	}
	evidence := limit.Evidence{ID: entry.ID, Target: entry.Target, StartedAt: entry.StartedAt, Named: entry.Named, Rate: entry.Rate, Brittle: entry.Brittle, At: now.Add(-entry.Age)}
	if daemon.control.limits.Merge(evidence) {
		daemon.logLimit(evidence, seenBy)
	}
}

// inferBrittle applies what one target of a service has said of the others; it must run on the loop.
func (daemon *Daemon) inferBrittle(targets []place.Target) {
	if !daemon.control.limits.AnyBrittle() {
		return
	}
	runs := make([]limit.Run, len(targets))
	for i, target := range targets {
		runs[i] = limit.Run{Target: target.ID, StartedAt: target.StartedAt}
	}
	for _, evidence := range daemon.control.limits.InferBrittle(runs) {
		daemon.logLimit(evidence, "")
	}
}

func (daemon *Daemon) logLimit(evidence limit.Evidence, seenBy core.MemberID) {
	event := daemon.log.Info().Str("Target", evidence.Target).Str("SeenBy", string(seenBy)).Dur("Age", daemon.clock.Now().Sub(evidence.At))
	if evidence.Named {
		event.Str(eventField, eventLimitNamed).Float64("Rate", evidence.Rate).Bool("Brittle", evidence.Brittle).Msg("the target limits the requests of all daemons together")
		return
	}
	event.Str(eventField, eventLimitLifted).Msg("the target no longer limits the requests")
}

// limitsToGossip returns what this daemon has seen of limits or, if relay is set, also what others have reported; it must run on
// the loop. All daemons ping the ones that send for a service, which therefore relay.
func (daemon *Daemon) limitsToGossip(now time.Time, relay bool) []limitEntry {
	var entries []limitEntry
	for _, evidence := range daemon.control.limits.Evidence(relay, maxLimitEntries) {
		entries = append(entries, newLimitEntry(now, evidence))
	}
	return entries
}

func newLimitEntry(now time.Time, evidence limit.Evidence) limitEntry {
	return limitEntry{ID: evidence.ID, Target: evidence.Target, StartedAt: evidence.StartedAt, Named: evidence.Named, Rate: evidence.Rate, Brittle: evidence.Brittle, Age: max(now.Sub(evidence.At), 0)}
}

// permit asks for leave to send a request to a target, and reports false if there is none within maxWait. A target without a limit
// needs none. The daemon that sends for the service paces its limited targets for the whole fleet; without its response there is no permit,
// since shares of the daemons would add up to more than a low limit in a large fleet.
func (daemon *Daemon) permit(ctx context.Context, service string, target place.Target, maxWait time.Duration) (permitted, bool) {
	askedAt := daemon.clock.Now()
	var reply permitReply
	limited := false
	message := permitRequest{Service: service, MaxWait: maxWait}
	address := ""
	daemon.do(func() {
		daemon.inferBrittle(daemon.view.Load().targets[service])
		if _, limited = daemon.control.limits.Rate(target.ID); !limited {
			return
		}
		now := daemon.clock.Now()
		evidence, _ := daemon.control.limits.Of(target.ID)
		message.Limit = newLimitEntry(now, evidence)
		if owner := daemon.senderOf(service); owner != nil {
			address, message.Results = owner.Peer, daemon.control.limits.TakeResults(target.ID)
			return
		}
		reply = daemon.grantPermit(message)
	})
	if !limited {
		return permitted{}, true
	}
	if address != "" {
		ctx, cancel := context.WithTimeout(ctx, permitTimeout)
		defer cancel()
		if err := daemon.callPeer(ctx, address, pathPermit, message, &reply); err != nil {
			daemon.log.Warn().Str(eventField, eventPermitFailed).Str("Target", target.ID).Str("Peer", address).Err(err).Msg("no response from the daemon that paces the target; passing the target over")
			reply = permitReply{Wait: permitRetry}
		}
	}
	if !reply.Granted {
		daemon.metrics.permitsDenied.Add(1)
		daemon.do(func() { daemon.control.chooser.Hold(daemon.clock.Now(), target.ID, reply.Wait) })
	}
	return permitted{askedAt: askedAt, wait: reply.Wait}, reply.Granted
}

// grantPermit reserves a request to a limited target for a daemon; it must run on the loop.
func (daemon *Daemon) grantPermit(message permitRequest) permitReply {
	now := daemon.clock.Now()
	daemon.control.lastPlacement[message.Service] = now
	daemon.control.limits.Count(message.Limit.Target, message.Results)
	wait, granted := daemon.control.limits.Take(now, message.Limit.Target, message.MaxWait)
	return permitReply{Granted: granted, Wait: wait}
}

func (daemon *Daemon) servePermit(writer http.ResponseWriter, request *http.Request) {
	var message permitRequest
	if !readJSON(writer, request, &message) {
		return
	}
	if _, known := daemon.view.Load().routing.Services[message.Service]; !known {
		http.Error(writer, "service", http.StatusBadRequest)
		return
	}
	var reply permitReply
	daemon.do(func() {
		if request.Context().Err() != nil {
			return // the asking daemon waits no longer
		}
		daemon.mergeLimit(daemon.clock.Now(), message.Limit, "")
		reply = daemon.grantPermit(message)
	})
	writeJSON(writer, reply)
}

// awaitPermit waits until a permitted request may be sent, and reports whether the permit has not run out meanwhile and the target is
// still usable. A process that was paused holds permits for the time of the pause, which must not be used together.
func (daemon *Daemon) awaitPermit(ctx context.Context, service string, target place.Target, granted permitted) bool {
	if granted.askedAt.IsZero() {
		return true
	}
	if granted.wait > 0 && !core.Sleep(ctx, daemon.clock, granted.wait) {
		return false
	}
	paused := false
	daemon.do(func() { paused = daemon.control.limits.PausedFor(daemon.clock.Now(), target.ID) > 0 })
	if paused {
		return false
	}
	if core.Elapsed(granted.askedAt, daemon.clock.Now()) > granted.wait+permitTTL {
		return false
	}
	return granted.wait == 0 || slices.ContainsFunc(daemon.view.Load().targets[service], func(current place.Target) bool {
		return current.ID == target.ID && current.Address == target.Address && current.StartedAt.Equal(target.StartedAt)
	})
}

// maxPermitWait returns the longest wait for a limited target: until the soft deadline, or for half of the time left after it.
func (request *request) maxPermitWait(now time.Time) time.Duration {
	wait := request.deadline.Sub(now) / 2
	if soft := request.softDeadline.Sub(now); soft > 0 {
		wait = min(wait, soft)
	}
	return max(wait, 0)
}

// choosePermitted chooses a target from local state, of some software versions. A limited target that may get no request now is passed over for others; only
// if there is none, the request waits for a permit.
func (daemon *Daemon) choosePermitted(ctx context.Context, request *request, service string, versions place.Versions, placement place.Request) (place.Target, error) {
	var maxWait time.Duration
	tries := 0
	for {
		var targets []place.Target
		var index int
		var fault place.Fault
		var heldFor, pausedFor time.Duration
		daemon.do(func() {
			now := daemon.clock.Now()
			targets, pausedFor = daemon.unpausedTargets(now, service, versions)
			index, fault = daemon.control.chooser.Choose(now, targets, placement)
			heldFor = daemon.control.chooser.HeldFor(now, targets)
		})
		switch {
		case fault != place.Chosen && heldFor == 0 && pausedFor > 0:
			return place.Target{}, daemon.pauseError(service, pausedFor)
		case fault != place.Chosen && !placement.MayWait && (heldFor > 0 || tries > 0):
			placement.MayWait, maxWait = true, request.maxPermitWait(daemon.clock.Now())
			if heldFor > maxWait {
				return place.Target{}, daemon.limitError(service, heldFor)
			}
			placement.Exclude, tries = request.triedTargets, 0
			continue
		case fault != place.Chosen && placement.MayWait:
			return place.Target{}, daemon.limitError(service, heldFor)
		case fault != place.Chosen:
			return place.Target{}, core.Errorf(core.Unavailable, "%s for service %s of %d targets", fault, service, len(targets)).WithRetryAfter(fullRetryAfter)
		}
		target := targets[index]
		granted, ok := daemon.permit(ctx, service, target, maxWait)
		if ok && daemon.awaitPermit(ctx, service, target, granted) {
			return target, nil
		}
		daemon.do(func() { daemon.control.chooser.Finish(daemon.clock.Now(), target.ID, place.Inconclusive, 0) })
		if ctx.Err() != nil {
			return place.Target{}, ctx.Err()
		}
		if tries++; placement.MayWait && tries >= maxPermitTries {
			return place.Target{}, daemon.limitError(service, granted.wait)
		}
		placement.Exclude = append(slices.Clone(placement.Exclude), target.ID)
	}
}

// limitError is the rejection of a request because all usable targets have named limits. Callers are told to come back when a target
// may get a request, spread over half as much time again.
func (daemon *Daemon) limitError(service string, wait time.Duration) error {
	return core.Errorf(core.Unavailable, "the targets of service %s have named limits, which are used up for %v", service, wait.Round(time.Millisecond)).WithRetryAfter(daemon.spreadRetryAfter(wait))
}

// spreadRetryAfter returns a random time from the wait to half as much again, so that callers do not come back together.
func (daemon *Daemon) spreadRetryAfter(wait time.Duration) time.Duration {
	var spread float64
	daemon.do(func() { spread = daemon.control.random.Float64() / 2 })
	return max(time.Duration(float64(wait)*(1+spread)), fullRetryAfter)
}
