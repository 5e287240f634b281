package pool

import (
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
		dispatcher.drop(now, entry, dispatcher.late(entry))
	case dispatcher.blame.state(entry.fingerprint) == core.SuspectQuarantined:
		dispatcher.drop(now, entry, dispatcher.poison(now, entry.fingerprint))
	default:
		dispatcher.serveSuspect(now, entry)
	}
}

func (dispatcher *Dispatcher) late(entry *entry) *core.Error {
	wait := dispatcher.expectedWait(entry)
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
	case !dispatcher.blame.isRunning(entry.fingerprint):
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
	for _, target := range dispatcher.order {
		if !target.usable || target.alone || excludes(entry.exclude, target.declared.Name) {
			continue
		}
		if target.reservedFor == entry.id {
			least = target
			break
		}
		if target.reservedFor != "" {
			continue
		}
		if least == nil || len(target.grants)+target.foreign < len(least.grants)+least.foreign {
			least = target
		}
	}
	if least == nil {
		return nil
	}
	if least.isIdle() {
		return least
	}
	dispatcher.reserve(least, entry)
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

// choose returns the cheapest target with a free slot for the request, or nil.
func (dispatcher *Dispatcher) choose(entry *entry) *target {
	dispatcher.index.look(entry.prefix)
	var cheapest *target
	lowest := 0.0
	count := len(dispatcher.order)
	// Starting at another target each time spreads requests over equal targets.
	from := int(dispatcher.serial % uint64(max(1, count)))
	for i := range count {
		position := from + i
		if position >= count {
			position -= count
		}
		target := dispatcher.order[position]
		if target.free == 0 || excludes(entry.exclude, target.declared.Name) {
			continue
		}
		cost := dispatcher.cost(target, entry)
		if cheapest == nil || cost < lowest {
			cheapest, lowest = target, cost
		}
	}
	return cheapest
}

// cost is the work ahead, the uncovered part of the prompt and the cold penalty, in units of a fully loaded target.
func (dispatcher *Dispatcher) cost(target *target, entry *entry) float64 {
	capacity := float64(target.capacity)
	ahead := float64(len(target.grants)+target.foreign) / capacity
	cold := coldPenalty * (1 - float64(target.limit)/capacity)
	if len(entry.prefix) == 0 {
		return ahead + cold
	}
	covered := target.cache.confidence() * float64(dispatcher.index.coveredBy(target)) / float64(len(entry.prefix))
	return ahead + cold + 1 - covered
}

// assign turns a request that was taken off the queue into a grant.
func (dispatcher *Dispatcher) assign(now time.Time, entry *entry, target *target, alone bool) {
	dispatcher.leaveQueue(entry)
	entry.target, entry.granted, entry.alone = target, now, alone
	left := max(0, entry.deadline.Sub(now))
	entry.until = now.Add(min(left, maxHold) + holdMargin)
	target.grants[entry.id] = entry
	target.alone = alone
	if alone {
		dispatcher.blame.run(entry.fingerprint)
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
