package pool

import (
	"strconv"
	"time"

	"catkincove/core"
)

func grantPrefix(fencing core.FencingToken) string {
	return strconv.FormatInt(int64(fencing), 36) + "-"
}

// RequestGrant replies with a grant, a queue entry to poll, or a rejection that is "not run".
//
// A request that carries a QueueEntry polls that entry: it keeps its queue position, or gets the grant that was assigned in
// the meantime. The same call may serve or reject other queued requests; Dispatch returns their replies.
func (dispatcher *Dispatcher) RequestGrant(now time.Time, request core.GrantRequest) core.GrantReply {
	if repeated := dispatcher.findRepeated(request); repeated != nil {
		repeated.lastRequested = now
		return dispatcher.replyTo(repeated)
	}
	dispatcher.counters.Asked++
	if request.Suspect {
		// The pool of the disconnected target may not have gossiped its suspect yet.
		dispatcher.crashTracker.markSuspect(now, request.Fingerprint)
	}
	entry := dispatcher.newEntry(now, request)
	if request.Precheck {
		return dispatcher.precheck(now, entry)
	}
	dispatcher.serviceTimes.observeRequest(entry.cost)
	entry.prechecked = dispatcher.prechecked.consume(entry)
	rejection := dispatcher.checkAdmission(now, entry)
	if rejection == nil {
		rejection = dispatcher.makeQueueSpace(entry)
	}
	if rejection != nil {
		dispatcher.counters.Refused++
		return core.GrantReply{Rejection: rejection, Summary: dispatcher.Summary(now)}
	}
	dispatcher.enqueue(entry)
	dispatcher.serve(now)
	return dispatcher.takeReply(entry)
}

// findRepeated returns the entry that the request polls, or nil; entries of other requests or former owners do not match.
func (dispatcher *Dispatcher) findRepeated(request core.GrantRequest) *entry {
	if request.QueueEntry == "" {
		return nil
	}
	repeated := dispatcher.entries[request.QueueEntry]
	if repeated == nil || repeated.request != request.Request || repeated.stage != request.Stage ||
		repeated.attempt != request.Attempt {
		return nil
	}
	return repeated
}

func (dispatcher *Dispatcher) newEntry(now time.Time, request core.GrantRequest) *entry {
	dispatcher.serial++
	return &entry{
		id:            core.GrantID(dispatcher.grantIDPrefix + strconv.FormatUint(dispatcher.serial, 36)),
		serial:        dispatcher.serial,
		request:       request.Request,
		stage:         request.Stage,
		attempt:       request.Attempt,
		team:          request.Team,
		fingerprint:   request.Fingerprint,
		prefix:        request.Prefix,
		exclude:       request.Exclude,
		priority:      request.Priority,
		cost:          max(1, request.Work),
		timeLeft:      request.TimeLeft,
		enqueued:      now,
		deadline:      now.Add(request.TimeLeft),
		reservedTime:  request.ReservedTime,
		lastRequested: now,
	}
}

// checkAdmission returns a rejection if the request cannot be served before its deadline.
func (dispatcher *Dispatcher) checkAdmission(now time.Time, entry *entry) *core.Error {
	if rejection := dispatcher.checkPool(now, entry); rejection != nil {
		return rejection
	}
	exclusive := dispatcher.crashTracker.state(entry.fingerprint) == core.SuspectExclusive
	wait := time.Duration(0)
	if !exclusive && !dispatcher.startsImmediately() {
		entry.expectedWait = dispatcher.expectedWait(entry)
		wait = time.Duration(dispatcher.safetyFactorFor(entry) * float64(entry.expectedWait))
	}
	needed := wait + dispatcher.serviceTime(entry) + entry.reservedTime
	if needed > entry.timeLeft {
		return dispatcher.overloaded(needed-entry.timeLeft, "expected wait and service time of %v exceed the %v left",
			needed.Round(time.Millisecond), entry.timeLeft.Round(time.Millisecond))
	}
	if !exclusive && !entry.prechecked && dispatcher.delaysPastDeadline(now, entry) {
		return dispatcher.overloaded(dispatcher.serviceTimes.wait(0, dispatcher.effectiveLimit, dispatcher.service.LeastTime),
			"admission would delay queued requests of pool %s past their deadlines", dispatcher.poolID)
	}
	return nil
}

// safetyFactorFor returns 1 for a prechecked request, because its precheck already included the safety factor.
func (dispatcher *Dispatcher) safetyFactorFor(entry *entry) float64 {
	if entry.prechecked {
		return 1
	}
	return dispatcher.waitError.safetyFactor()
}

func (dispatcher *Dispatcher) checkPool(now time.Time, entry *entry) *core.Error {
	switch {
	case !dispatcher.owned:
		return dispatcher.unavailable("daemon does not own pool %s", dispatcher.poolID)
	case !dispatcher.acceptsWork:
		return dispatcher.unavailable("data centre %q takes no new work", dispatcher.poolID.DataCentre)
	case dispatcher.crashTracker.state(entry.fingerprint) == core.SuspectQuarantined:
		return dispatcher.quarantined(now, entry.fingerprint)
	case !dispatcher.hasCandidate(now, entry.exclude):
		return dispatcher.unavailable("pool %s has no usable target for the request", dispatcher.poolID)
	}
	return nil
}

// hasCandidate reports whether a target that is not excluded is usable or may become usable within recoveryTimeout.
func (dispatcher *Dispatcher) hasCandidate(now time.Time, exclude []core.TargetName) bool {
	if len(exclude) == 0 && dispatcher.usableTargets > 0 {
		return true
	}
	for _, target := range dispatcher.order {
		if excludes(exclude, target.declared.Name) {
			continue
		}
		if target.usable && !target.ejected || target.mayRecover(now) {
			return true
		}
	}
	return false
}

// startsImmediately reports whether the free slots exceed the queued and prechecked requests.
func (dispatcher *Dispatcher) startsImmediately() bool {
	return dispatcher.freeSlots > dispatcher.queue.length+len(dispatcher.prechecked.pending)
}

func (dispatcher *Dispatcher) expectedWait(entry *entry) time.Duration {
	return dispatcher.waitBehind(dispatcher.workAhead(entry))
}

func (dispatcher *Dispatcher) workAhead(entry *entry) int {
	return dispatcher.queue.workAhead(entry, dispatcher.prechecked.work, dispatcher.weightOf)
}

func (dispatcher *Dispatcher) waitBehind(ahead int) time.Duration {
	slots := dispatcher.effectiveLimit
	if slots == 0 {
		// No target has been probed yet; each can run at least one request.
		slots = len(dispatcher.order)
	}
	return dispatcher.serviceTimes.wait(ahead, slots, dispatcher.service.LeastTime)
}

func (dispatcher *Dispatcher) serviceTime(entry *entry) time.Duration {
	return dispatcher.serviceTimes.upperBound(entry.cost, dispatcher.service.LeastTime)
}

// makeQueueSpace keeps the queue within its maximum length by dropping the last request of the team with the most queued
// work for its weight; it returns a rejection if that is the team of the new request, or if only
// suspects wait.
func (dispatcher *Dispatcher) makeQueueSpace(entry *entry) *core.Error {
	length := dispatcher.limits.QueueLength
	if length <= 0 {
		length = defaultQueueLength
	}
	if dispatcher.queue.length+len(dispatcher.isolationQueue) < length {
		return nil
	}
	rejection := dispatcher.overloaded(dispatcher.expectedWait(entry), "queue of pool %s is full", dispatcher.poolID)
	evicted := dispatcher.queue.lastOfLongest()
	if evicted == nil || evicted.team == entry.team {
		return rejection
	}
	dispatcher.drop(evicted, rejection)
	return nil
}

func (dispatcher *Dispatcher) enqueue(entry *entry) {
	dispatcher.entries[entry.id] = entry
	if dispatcher.crashTracker.state(entry.fingerprint) == core.SuspectExclusive {
		dispatcher.isolationQueue = append(dispatcher.isolationQueue, entry)
		return
	}
	dispatcher.queue.add(entry, dispatcher.weightOf(entry.team))
}

func (dispatcher *Dispatcher) weightOf(team core.TeamName) int {
	if dispatcher.weight == nil {
		return 1
	}
	return max(1, dispatcher.weight(team))
}

// replyTo returns the reply for a queued or granted entry.
func (dispatcher *Dispatcher) replyTo(entry *entry) core.GrantReply {
	reply := core.GrantReply{Summary: dispatcher.summary()}
	if entry.target == nil {
		reply.QueueEntry = entry.id
		return reply
	}
	reply.Grant = &core.Grant{
		ID:           entry.id,
		Pool:         dispatcher.poolID,
		Target:       entry.target.declared.Name,
		Address:      entry.target.declared.Address,
		SendWithin:   sendTimeout,
		ExpiresAfter: entry.expires.Sub(entry.grantedAt),
		Exclusive:    entry.exclusive,
	}
	return reply
}

// takeReply returns the reply to a request that was just enqueued and removes it from the outbox, so that Dispatch does not
// return it again.
func (dispatcher *Dispatcher) takeReply(entry *entry) core.GrantReply {
	for i, assignment := range dispatcher.outbox {
		if assignment.QueueEntry == entry.id {
			dispatcher.outbox = append(dispatcher.outbox[:i], dispatcher.outbox[i+1:]...)
			return assignment.Reply
		}
	}
	return dispatcher.replyTo(entry)
}

// drop removes a queued request and puts its rejection into the outbox.
func (dispatcher *Dispatcher) drop(entry *entry, rejection *core.Error) {
	dispatcher.leaveQueue(entry)
	delete(dispatcher.entries, entry.id)
	dispatcher.counters.Dropped++
	reply := core.GrantReply{Rejection: rejection, Summary: dispatcher.summary()}
	dispatcher.outbox = append(dispatcher.outbox, Assignment{QueueEntry: entry.id, Reply: reply})
}
