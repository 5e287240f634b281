package pool

import (
	"math"
	"slices"
	"time"

	"catkincove/core"
)

const (
	// coldPenalty is the cost of a target at its cold limit, in units of a fully loaded target.
	coldPenalty = 0.5
	// aloneShare is the inverse share of the targets that suspects may hold free at the same time.
	aloneShare = 4
)

// serve grants as much of the queue as the limits permit.
func (dispatcher *Dispatcher) serve(now time.Time) {
	dispatcher.serveLone(now)
	for dispatcher.free > 0 && dispatcher.queue.length > 0 {
		var chosen *target
		entry := dispatcher.queue.next(func(entry *entry) bool {
			if dispatcher.isHeld(now, entry) {
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

// isHeld reports whether a waiting request may no longer be served as an ordinary one.
func (dispatcher *Dispatcher) isHeld(now time.Time, entry *entry) bool {
	return dispatcher.isLate(now, entry) || dispatcher.blame.state(entry.fingerprint) != core.SuspectNone
}

// isLate reports whether the request can no longer finish in time.
func (dispatcher *Dispatcher) isLate(now time.Time, entry *entry) bool {
	return now.Add(dispatcher.workTime(entry) + entry.reserve).After(entry.deadline)
}

// redirect refuses a request taken off the queue, or lets it wait to run alone.
func (dispatcher *Dispatcher) redirect(now time.Time, entry *entry) {
	switch {
	case dispatcher.isLate(now, entry):
		dispatcher.drop(entry, dispatcher.late(entry))
	case dispatcher.blame.state(entry.fingerprint) == core.SuspectQuarantined:
		dispatcher.drop(entry, dispatcher.poison(now, entry.fingerprint))
	default:
		dispatcher.serveSuspect(now, entry)
	}
}

func (dispatcher *Dispatcher) late(entry *entry) *core.Error {
	wait := dispatcher.expectedWait(entry)
	// It would have waited longer still; how much is not known.
	dispatcher.forecast.note(entry.expected, 2*entry.timeLeft)
	return dispatcher.overloaded(wait, "waited until too little time was left")
}

// serveLone grants suspects on idle targets and keeps targets free for them.
func (dispatcher *Dispatcher) serveLone(now time.Time) {
	if len(dispatcher.lone) == 0 {
		return
	}
	waiting := dispatcher.lone
	dispatcher.lone = nil
	for _, entry := range waiting {
		dispatcher.serveSuspect(now, entry)
	}
}

func (dispatcher *Dispatcher) serveSuspect(now time.Time, entry *entry) {
	state := dispatcher.blame.state(entry.fingerprint)
	switch {
	case state == core.SuspectNone:
		dispatcher.releaseReservation(entry)
		dispatcher.queue.add(entry, dispatcher.weightOf(entry.team))
		return
	case state == core.SuspectQuarantined || dispatcher.isLate(now, entry):
		dispatcher.redirect(now, entry)
		return
	case dispatcher.blame.mayRun(now, entry.fingerprint):
		if target := dispatcher.chooseAlone(entry); target != nil {
			dispatcher.assign(now, entry, target, true)
			return
		}
	}
	dispatcher.lone = append(dispatcher.lone, entry)
}

// chooseAlone returns an idle target; when there is none, it keeps the least loaded one free.
func (dispatcher *Dispatcher) chooseAlone(entry *entry) *target {
	var least *target
	reserved := false
	for _, target := range dispatcher.order {
		mine := target.reservedFor == entry.id
		if !target.usable || target.resting || target.alone || (target.reservedFor != "" && !mine) ||
			excludes(entry.exclude, target.declared.Name) {
			continue
		}
		if target.isIdle() {
			return target
		}
		reserved = reserved || mine
		if least == nil || len(target.grants)+target.foreign < len(least.grants)+least.foreign {
			least = target
		}
	}
	if least != nil && !reserved {
		dispatcher.reserve(least, entry)
	}
	return nil
}

func (dispatcher *Dispatcher) reserve(target *target, entry *entry) {
	most := max(1, len(dispatcher.order)/aloneShare)
	if target.reservedFor != "" || dispatcher.reserved >= most {
		return
	}
	target.reservedFor = entry.id
	dispatcher.reserved++
	dispatcher.refresh(target)
}

func (dispatcher *Dispatcher) unreserve(target *target) {
	if target.reservedFor == "" {
		return
	}
	target.reservedFor = ""
	dispatcher.reserved--
	dispatcher.refresh(target)
}

func (dispatcher *Dispatcher) releaseReservation(entry *entry) {
	for _, target := range dispatcher.order {
		if target.reservedFor == entry.id {
			dispatcher.unreserve(target)
		}
	}
}

// slot is what the choice of a target reads of each; the dense layout keeps a scan of 1,300 targets short.
type slot struct {
	target *target
	cost   float32 // without the part that depends on the request
	free   int32
}

// choose returns the cheapest target with a free slot for the request, or nil.
func (dispatcher *Dispatcher) choose(entry *entry) *target {
	dispatcher.index.look(entry.prefix)
	var cheapest *target
	lowest := float32(math.MaxFloat32)
	// Starting at another slot each time spreads requests over equal targets.
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
		if blocks := dispatcher.index.coveredBy(position); blocks > 0 {
			cost -= slot.target.cache.confidence() * float32(blocks) / float32(len(entry.prefix))
		}
		if cost < lowest && !excludes(entry.exclude, slot.target.declared.Name) {
			cheapest, lowest = slot.target, cost
		}
	}
	return cheapest
}

// baseCost is the work ahead and the cold penalty, in units of a fully loaded target.
func (target *target) baseCost() float32 {
	capacity := float32(target.capacity)
	ahead := float32(len(target.grants)+target.foreign) / capacity
	return ahead + coldPenalty*(1-float32(target.limit)/capacity)
}

// assign turns a request that was taken off the queue into a grant.
func (dispatcher *Dispatcher) assign(now time.Time, entry *entry, target *target, alone bool) {
	dispatcher.leaveQueue(entry)
	dispatcher.forecast.note(entry.expected, now.Sub(entry.enqueued))
	entry.target, entry.granted, entry.alone = target, now, alone
	left := max(0, entry.deadline.Sub(now))
	entry.until = now.Add(min(left, maxHold) + holdMargin)
	target.grants[entry.id] = entry
	target.alone = alone
	if alone {
		dispatcher.blame.run(entry.fingerprint, entry.id)
	}
	dispatcher.refresh(target)
	dispatcher.counters.Granted++
	assignment := Assignment{Queue: entry.id, Reply: dispatcher.answer(entry)}
	dispatcher.outbox = append(dispatcher.outbox, assignment)
}

// leaveQueue removes a waiting request wherever it waits.
func (dispatcher *Dispatcher) leaveQueue(entry *entry) {
	dispatcher.queue.remove(entry)
	if position := slices.Index(dispatcher.lone, entry); position >= 0 {
		dispatcher.lone = slices.Delete(dispatcher.lone, position, position+1)
	}
	if dispatcher.reserved > 0 {
		dispatcher.releaseReservation(entry)
	}
}

func (dispatcher *Dispatcher) waiting() []*entry {
	return append(dispatcher.queue.all(), dispatcher.lone...)
}
