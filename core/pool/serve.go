package pool

import (
	"math"
	"slices"
	"time"

	"catkincove/core"
)

const (
	// coldPenalty is the maximum extra cost of a target with a low limit, in units of a fully loaded target.
	coldPenalty = 0.5
	// reservedDivisor limits the targets reserved for suspects to 1/reservedDivisor of all.
	reservedDivisor = 4
)

// serve grants queued requests as far as the limits permit.
func (dispatcher *Dispatcher) serve(now time.Time) {
	dispatcher.serveIsolationQueue(now)
	for dispatcher.freeSlots > 0 && dispatcher.queue.length > 0 {
		var chosen *target
		entry := dispatcher.queue.next(func(entry *entry) bool {
			if dispatcher.needsRedirect(now, entry) {
				return true
			}
			chosen = dispatcher.choose(entry)
			return chosen != nil
		})
		if entry == nil {
			return
		}
		if chosen == nil {
			dispatcher.redirect(now, entry)
			continue
		}
		dispatcher.assign(now, entry, chosen, false)
	}
}

// needsRedirect reports whether a queued request may no longer be served as an ordinary one.
func (dispatcher *Dispatcher) needsRedirect(now time.Time, entry *entry) bool {
	return dispatcher.isInfeasible(now, entry) || dispatcher.crashTracker.state(entry.fingerprint) != core.SuspectNone
}

// isInfeasible reports whether the request can no longer meet its deadline.
func (dispatcher *Dispatcher) isInfeasible(now time.Time, entry *entry) bool {
	return now.Add(dispatcher.serviceTime(entry) + entry.reservedTime).After(entry.deadline)
}

// redirect drops a request taken off the queue, or moves it to the isolation queue.
func (dispatcher *Dispatcher) redirect(now time.Time, entry *entry) {
	switch {
	case dispatcher.isInfeasible(now, entry):
		dispatcher.drop(entry, dispatcher.infeasible(entry))
	case dispatcher.crashTracker.state(entry.fingerprint) == core.SuspectQuarantined:
		dispatcher.drop(entry, dispatcher.quarantined(now, entry.fingerprint))
	default:
		dispatcher.serveSuspect(now, entry)
	}
}

func (dispatcher *Dispatcher) infeasible(entry *entry) *core.Error {
	wait := dispatcher.expectedWait(entry)
	// It would have waited even longer, for an unknown time; twice its time left is recorded instead.
	dispatcher.waitError.observe(entry.expectedWait, 2*entry.timeLeft)
	return dispatcher.overloaded(wait, "request can no longer meet its deadline after its time in the queue")
}

// serveIsolationQueue grants suspects idle targets and reserves targets for the others.
func (dispatcher *Dispatcher) serveIsolationQueue(now time.Time) {
	if len(dispatcher.isolationQueue) == 0 {
		return
	}
	waiting := dispatcher.isolationQueue
	dispatcher.isolationQueue = nil
	for _, entry := range waiting {
		dispatcher.serveSuspect(now, entry)
	}
}

func (dispatcher *Dispatcher) serveSuspect(now time.Time, entry *entry) {
	state := dispatcher.crashTracker.state(entry.fingerprint)
	switch {
	case state == core.SuspectNone:
		dispatcher.releaseReservation(entry)
		dispatcher.queue.add(entry, dispatcher.weightOf(entry.team))
		return
	case state == core.SuspectQuarantined || dispatcher.isInfeasible(now, entry):
		dispatcher.redirect(now, entry)
		return
	case dispatcher.crashTracker.mayRunExclusively(now, entry.fingerprint):
		if target := dispatcher.chooseExclusive(entry); target != nil {
			dispatcher.assign(now, entry, target, true)
			return
		}
	}
	dispatcher.isolationQueue = append(dispatcher.isolationQueue, entry)
}

// chooseExclusive returns an idle target; if there is none, it reserves the least loaded one and returns nil.
func (dispatcher *Dispatcher) chooseExclusive(entry *entry) *target {
	var leastLoaded *target
	reserved := false
	for _, target := range dispatcher.order {
		ownReservation := target.reservedFor == entry.id
		if !target.usable || target.ejected || target.exclusive || (target.reservedFor != "" && !ownReservation) ||
			excludes(entry.exclude, target.declared.Name) {
			continue
		}
		if target.isIdle() {
			return target
		}
		reserved = reserved || ownReservation
		if leastLoaded == nil || len(target.grants)+target.external < len(leastLoaded.grants)+leastLoaded.external {
			leastLoaded = target
		}
	}
	if leastLoaded != nil && !reserved {
		dispatcher.reserve(leastLoaded, entry)
	}
	return nil
}

func (dispatcher *Dispatcher) reserve(target *target, entry *entry) {
	maxReserved := max(1, len(dispatcher.order)/reservedDivisor)
	if target.reservedFor != "" || dispatcher.reservedTargets >= maxReserved {
		return
	}
	target.reservedFor = entry.id
	dispatcher.reservedTargets++
	dispatcher.updateSums(target)
}

func (dispatcher *Dispatcher) unreserve(target *target) {
	if target.reservedFor == "" {
		return
	}
	target.reservedFor = ""
	dispatcher.reservedTargets--
	dispatcher.updateSums(target)
}

func (dispatcher *Dispatcher) releaseReservation(entry *entry) {
	for _, target := range dispatcher.order {
		if target.reservedFor == entry.id {
			dispatcher.unreserve(target)
		}
	}
}

// slot holds the data of a target that choose reads; the dense layout keeps a scan of 1,300 targets fast.
type slot struct {
	target *target
	cost   float32 // cost without the part that depends on the request
	free   int32
}

// choose returns the cheapest target with a free slot for the request, or nil.
func (dispatcher *Dispatcher) choose(entry *entry) *target {
	dispatcher.index.match(entry.prefix)
	var cheapest *target
	lowest := float32(math.MaxFloat32)
	// Starting at a different slot each time spreads requests over targets of equal cost.
	from := int(dispatcher.serial % uint64(max(1, len(dispatcher.slots))))
	for i := range dispatcher.slots {
		position := from + i
		if position >= len(dispatcher.slots) {
			position -= len(dispatcher.slots)
		}
		slot := &dispatcher.slots[position]
		if slot.free == 0 || slot.cost-1 >= lowest {
			continue
		}
		cost := slot.cost
		if blocks := dispatcher.index.matchedBlocks(position); blocks > 0 {
			cost -= slot.target.cache.confidence() * float32(blocks) / float32(len(entry.prefix))
		}
		if cost < lowest && !excludes(entry.exclude, slot.target.declared.Name) {
			cheapest, lowest = slot.target, cost
		}
	}
	return cheapest
}

// baseCost returns the load plus the cold penalty, in units of a fully loaded target.
func (target *target) baseCost() float32 {
	capacity := float32(target.capacity)
	ahead := float32(len(target.grants)+target.external) / capacity
	return ahead + coldPenalty*(1-float32(target.limit)/capacity)
}

// assign grants a target to a request that was taken off the queue.
func (dispatcher *Dispatcher) assign(now time.Time, entry *entry, target *target, exclusive bool) {
	dispatcher.leaveQueue(entry)
	dispatcher.waitError.observe(entry.expectedWait, now.Sub(entry.enqueued))
	entry.target, entry.grantedAt, entry.exclusive = target, now, exclusive
	left := max(0, entry.deadline.Sub(now))
	entry.expires = now.Add(min(left, maxGrantDuration) + releaseSlack)
	target.grants[entry.id] = entry
	target.exclusive = exclusive
	if exclusive {
		dispatcher.crashTracker.startExclusive(entry.fingerprint, entry.id)
	}
	dispatcher.updateSums(target)
	dispatcher.counters.Granted++
	assignment := Assignment{QueueEntry: entry.id, Reply: dispatcher.replyTo(entry)}
	dispatcher.outbox = append(dispatcher.outbox, assignment)
}

// leaveQueue removes a request from the queue or the isolation queue, with its reservation.
func (dispatcher *Dispatcher) leaveQueue(entry *entry) {
	dispatcher.queue.remove(entry)
	if position := slices.Index(dispatcher.isolationQueue, entry); position >= 0 {
		dispatcher.isolationQueue = slices.Delete(dispatcher.isolationQueue, position, position+1)
	}
	if dispatcher.reservedTargets > 0 {
		dispatcher.releaseReservation(entry)
	}
}

func (dispatcher *Dispatcher) waiting() []*entry {
	return append(dispatcher.queue.all(), dispatcher.isolationQueue...)
}
