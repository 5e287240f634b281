package pool

import (
	"slices"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	// sendTimeout bounds the time from a grant request to the first byte sent to the target; the handover gap relies on it.
	sendTimeout = time.Second
	// maxGrantDuration bounds how long the grant of a terminated sender counts.
	maxGrantDuration = time.Minute
	// releaseSlack covers the transit of the release message.
	releaseSlack = time.Second
	// queuePollTimeout is how long a queue entry is kept without a poll: one long poll of 250 ms plus 1 s to poll again.
	queuePollTimeout = 1250 * time.Millisecond
	// defaultQueueLength applies if the configured limits set no queue length.
	defaultQueueLength = 1024
	// recoveryTimeout is how long requests may queue for a target that awaits its next load report.
	recoveryTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound the retry delay in rejections.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Assignment is the reply to a queue entry of an earlier RequestGrant: a grant or a rejection.
type Assignment struct {
	QueueEntry core.GrantID
	Reply      core.GrantReply
}

// Counters counts the decisions of a Dispatcher since it was created.
type Counters struct {
	Asked       int // new grant requests, without polls of a queue entry
	Granted     int
	Refused     int // rejected on arrival
	Dropped     int // rejected while queued
	Abandoned   int // queue entries that were no longer polled
	Expired     int // grants that were never released
	Resets      int // limits set back to the cold limit
	Rests       int // ejections of failing targets
	Crashes     int
	Quarantined int
}

// Dispatcher admits, queues and grants the requests of one pool; New creates it.
type Dispatcher struct {
	poolID         core.PoolID
	service        config.Service
	limits         config.Limits
	weight         func(core.TeamName) int
	acceptsWork    bool // whether the data centre accepts new work
	owned          bool
	ownedSince     time.Time
	grantIDPrefix  string // unique for each period of ownership
	serial         uint64 // of the last entry
	targets        map[core.TargetName]*target
	order          []*target // sorted by name
	slots          []slot
	vacantSlots    []int32 // slots of removed targets
	entries        map[core.GrantID]*entry
	queue          queue
	isolationQueue []*entry     // suspects that wait for an exclusive grant
	outbox         []Assignment // replies for the next call of Dispatch
	crashTracker   crashTracker
	index          index
	serviceTimes   serviceTimes
	waitError      waitError

	prechecked      prechecks
	freeSlots       int // sum of the free slots of all targets
	effectiveLimit  int // sum over usable targets of the limit minus external work
	usableTargets   int
	reservedTargets int // targets kept free for suspects
	counters        Counters
}

// New returns the dispatcher of a pool, which rejects all requests until Configure and Open are called.
func New(poolID core.PoolID) *Dispatcher {
	return &Dispatcher{
		poolID:       poolID,
		targets:      map[core.TargetName]*target{},
		entries:      map[core.GrantID]*entry{},
		queue:        queue{teams: map[core.TeamName]*teamQueue{}},
		crashTracker: crashTracker{suspicions: map[core.Fingerprint]*suspicion{}},
		index:        index{holders: map[uint64][]int32{}},
	}
}

// Configure sets the service, its targets, limits and team weights, and whether the data centre accepts new work; unchanged
// targets keep their state.
func (dispatcher *Dispatcher) Configure(service config.Service, targets []config.Target, limits config.Limits,
	acceptsWork bool, weight func(core.TeamName) int) {
	dispatcher.service, dispatcher.limits = service, limits
	dispatcher.acceptsWork, dispatcher.weight = acceptsWork, weight
	kept := make(map[core.TargetName]*target, len(targets))
	dispatcher.order = dispatcher.order[:0]
	for _, declared := range targets {
		target := dispatcher.keepOrCreate(declared)
		kept[declared.Name] = target
		dispatcher.order = append(dispatcher.order, target)
	}
	dispatcher.detachRemoved(kept)
	dispatcher.targets = kept
	dispatcher.crashTracker.targets = len(kept)
	slices.SortFunc(dispatcher.order, func(a, b *target) int {
		return strings.Compare(string(a.declared.Name), string(b.declared.Name))
	})
	dispatcher.index.setTargets(len(dispatcher.slots))
	for _, target := range dispatcher.order {
		target.setCapacity(service)
		dispatcher.updateSums(target)
	}
}

func (dispatcher *Dispatcher) keepOrCreate(declared config.Target) *target {
	known := dispatcher.targets[declared.Name]
	if known != nil && known.declared.Address == declared.Address {
		known.declared = declared
		return known
	}
	created := &target{declared: declared, grants: map[core.GrantID]*entry{}}
	created.probeAfter = dispatcher.ownedSince
	created.setCapacity(dispatcher.service)
	created.resetLimit()
	dispatcher.assignSlot(created)
	return created
}

func (dispatcher *Dispatcher) detachRemoved(kept map[core.TargetName]*target) {
	for name, target := range dispatcher.targets {
		if kept[name] != target {
			target.detached = true
			if target.incident != nil {
				dispatcher.dismissIncident(target.incident.at, target)
			}
			dispatcher.unreserve(target)
			dispatcher.index.clear(target)
			dispatcher.updateSums(target)
			dispatcher.slots[target.slot] = slot{}
			dispatcher.vacantSlots = append(dispatcher.vacantSlots, target.slot)
		}
	}
}

// assignSlot assigns a target the slot that it keeps until it is removed.
func (dispatcher *Dispatcher) assignSlot(target *target) {
	if last := len(dispatcher.vacantSlots) - 1; last >= 0 {
		target.slot = dispatcher.vacantSlots[last]
		dispatcher.vacantSlots = dispatcher.vacantSlots[:last]
	} else {
		target.slot = int32(len(dispatcher.slots))
		dispatcher.slots = append(dispatcher.slots, slot{})
	}
	dispatcher.slots[target.slot].target = target
}

// Open begins ownership of the pool; the caller has waited for the handover gap.
//
// The fencing token makes grant IDs unique across owners, so that a late release of a former owner's grant never matches a
// current grant. No target is usable before a load report that was made after now.
func (dispatcher *Dispatcher) Open(now time.Time, fencing core.FencingToken) {
	dispatcher.owned = true
	dispatcher.ownedSince = now
	dispatcher.grantIDPrefix = grantPrefix(fencing)
	dispatcher.crashTracker.endAllExclusive()
	for _, target := range dispatcher.order {
		dispatcher.index.clear(target)
		target.cache.sequence = 0
		target.resetOwnership(now)
		dispatcher.updateSums(target)
	}
}

// Close ends ownership, discards all grants and returns a rejection for each queued request.
func (dispatcher *Dispatcher) Close(now time.Time) []Assignment {
	dispatcher.owned = false
	for _, entry := range dispatcher.waiting() {
		dispatcher.drop(entry, dispatcher.unavailable("daemon no longer owns pool %s", dispatcher.poolID))
	}
	clear(dispatcher.entries)
	dispatcher.prechecked.clear()
	dispatcher.crashTracker.endAllExclusive()
	for _, target := range dispatcher.order {
		dispatcher.unreserve(target)
		target.resetOwnership(now)
		dispatcher.updateSums(target)
	}
	return dispatcher.takeOutbox()
}

// Dispatch returns the replies to queued requests that the events since the last call made possible.
func (dispatcher *Dispatcher) Dispatch(now time.Time) []Assignment {
	if dispatcher.owned {
		dispatcher.serve(now)
	}
	return dispatcher.takeOutbox()
}

func (dispatcher *Dispatcher) takeOutbox() []Assignment {
	outbox := dispatcher.outbox
	dispatcher.outbox = nil
	return outbox
}

// updateSums updates the dispatcher's sums over targets, and the target's slot, after a change of the target.
func (dispatcher *Dispatcher) updateSums(target *target) {
	usable := target.isUsable() && dispatcher.acceptsWork
	freeSlots, effectiveLimit := 0, 0
	if usable {
		if !target.ejected {
			effectiveLimit = max(0, target.limit-target.external)
		}
		freeSlots = target.computeFreeSlots()
	}
	dispatcher.freeSlots += freeSlots - target.freeSlots
	dispatcher.effectiveLimit += effectiveLimit - target.effectiveLimit
	if usable != target.usable {
		dispatcher.usableTargets += map[bool]int{true: 1, false: -1}[usable]
	}
	target.freeSlots, target.effectiveLimit, target.usable = freeSlots, effectiveLimit, usable
	if !target.detached {
		dispatcher.slots[target.slot] = slot{target: target, free: int32(freeSlots), cost: target.baseCost()}
	}
}
