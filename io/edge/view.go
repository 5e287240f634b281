package edge

import (
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/place"
)

// view is an immutable summary of the routing and the targets, replaced when either changes.
type view struct {
	routing     core.Routing
	routingFrom source
	targets     map[string][]place.Target // by service; without draining targets and those in an evacuated data centre
	addresses   map[string]bool           // addresses of all registered targets
	byID        map[string]string         // address of each registered target; without superseded ones
	superseded  map[string]string         // by ID of a target that has ended: the one that has started at its address since
	contested   map[string]bool           // IDs of targets that another daemon may count as superseded, by what it has copied from this one
	services    map[string]string         // service by target address
	dataCentres map[string]string         // data centre by target address
}

// source is where a daemon has a change of its copies from: the store, or another daemon.
type source struct {
	daemon     string // peer address; empty for the store
	generation int    // of the messages of that daemon
}

var fromStore = source{}

func (source source) log(event *zerolog.Event) *zerolog.Event {
	if source == fromStore {
		return event.Str("From", "Store")
	}
	return event.Str("From", source.daemon).Int("FromGeneration", source.generation)
}

// registry holds the newest state of each target, which older registrations must not override.
type registry struct {
	runs map[string]targetRun
}

// targetRun is the newest known state of one run of a target.
type targetRun struct {
	startedAt time.Time
	sequence  int64
	draining  bool
	coldUntil time.Time
	address   string
	goneSince time.Time // zero while the target is registered

	misdirected bool // the target at the address has said that it is another one
}

// goneTTL is how long a target that is registered no longer is remembered: a store that is restored from a backup holds
// registrations from before again, until the platform notices that nobody renews them.
const goneTTL = time.Minute

// merge merges a registration into the state of its target and returns that state; it returns false if the registration
// belongs to an earlier run, or is one from before the target was gone. Draining is not undone within one run: an entry written before the drain may arrive late.
func (registry *registry) merge(now time.Time, entry core.TargetEntry) (targetRun, bool) {
	if registry.runs == nil {
		registry.runs = map[string]targetRun{}
	}
	known, found := registry.runs[entry.ID]
	switch {
	case !found || entry.StartedAt.After(known.startedAt):
		known = targetRun{startedAt: entry.StartedAt, sequence: -1}
	case entry.StartedAt.Before(known.startedAt), !known.goneSince.IsZero() && entry.Sequence <= known.sequence:
		return known, false
	}
	known.goneSince = time.Time{}
	if entry.Sequence > known.sequence || entry.ColdTimeLeft > 0 && entry.Sequence == known.sequence && known.coldUntil.IsZero() {
		known.coldUntil = time.Time{}
		if entry.ColdTimeLeft > 0 {
			known.coldUntil = now.Add(entry.ColdTimeLeft)
		}
	}
	known.sequence = max(known.sequence, entry.Sequence)
	known.draining = known.draining || entry.Draining
	known.address = entry.Address
	registry.runs[entry.ID] = known
	return known, true
}

// leave records that a target leaves, until it starts again; it returns false if that is known, or another run of the target is.
func (registry *registry) leave(id string, startedAt time.Time) bool {
	known, found := registry.runs[id]
	if !found || known.draining || !known.startedAt.Equal(startedAt) {
		return false
	}
	known.draining = true
	registry.runs[id] = known
	return true
}

// misdirect records that the target at the address of a registration has said that it is another one, until the registered one starts again; it returns
// false if that is known, or nothing is registered.
func (registry *registry) misdirect(id string) bool {
	known, found := registry.runs[id]
	if !found || known.misdirected {
		return false
	}
	known.misdirected = true
	registry.runs[id] = known
	return true
}

// has reports whether a target is registered.
func (registry *registry) has(id string) bool {
	known, found := registry.runs[id]
	return found && known.goneSince.IsZero()
}

// removeAbsent records which targets are registered no longer, and forgets them after goneTTL.
func (registry *registry) removeAbsent(now time.Time, present map[string]bool) {
	for id, known := range registry.runs {
		switch {
		case present[id]:
		case known.goneSince.IsZero():
			known.goneSince = now
			registry.runs[id] = known
		case now.Sub(known.goneSince) > goneTTL:
			delete(registry.runs, id)
		}
	}
}

// registeredRun is a target's registration as the copy of the store holds it.
type registeredRun struct {
	target           core.TargetEntry
	run              targetRun
	created, changed core.Revision // first and last write of its entry
	relayed          core.Revision // last write that daemons which copy from this one get
	retained         bool          // it is missing in the store
}

// supersedes reports whether a registration is that of a process which has started at the address of another one's process after the end of that: a process
// listens alone at its address until its end.
//
// The clock of the targets' machine and the order of the store must agree: the process has started later, and its registration has been created after the last
// change of the other one, which a live process would have written since. Both are needed, because clocks are set and differ between machines, and a write may
// reach the store late; revisions of two epochs have no order. What answers at the address is believed before either, and it is asked as long as requests
// for which the other one would do may go to this one, of the same service and in the same data centre.
func (registeredRun registeredRun) supersedes(other registeredRun) bool {
	if registeredRun.retained || registeredRun.run.misdirected || !registeredRun.startedAfter(other) {
		return false
	}
	return registeredRun.created.Epoch() == other.changed.Epoch() && registeredRun.created > other.changed
}

// contests reports whether a daemon that copies from this one may take a registration for superseding another one.
func (registeredRun registeredRun) contests(other registeredRun) bool {
	return registeredRun.startedAfter(other) && registeredRun.created > other.relayed
}

// startedAfter reports whether a registration is of the address, service and data centre of another one and its target has started later by the clock.
func (registeredRun registeredRun) startedAfter(other registeredRun) bool {
	switch {
	case registeredRun.target.Address != other.target.Address, registeredRun.target.Service != other.target.Service, registeredRun.target.DataCentre != other.target.DataCentre:
		return false
	case other.run.startedAt.UnixMilli() <= 0:
		return false // not known
	}
	return registeredRun.run.startedAt.After(other.run.startedAt)
}

// superseded returns the IDs of the targets that have ended, each with the ID of one that has started at its address since; before is what it returned last. One
// that leaves supersedes no more than before: it gets no requests, whose responses could show that it is not the one at its address. It also returns the contested IDs.
func superseded(registrations []registeredRun, before map[string]string) (ended map[string]string, contested map[string]bool) {
	counts := make(map[string]int, len(registrations)) // by address
	for _, registeredRun := range registrations {
		counts[registeredRun.target.Address]++
	}
	byAddress := map[string][]registeredRun{} // of several
	for _, registeredRun := range registrations {
		if address := registeredRun.target.Address; counts[address] > 1 {
			byAddress[address] = append(byAddress[address], registeredRun)
		}
	}
	ended, contested = map[string]string{}, map[string]bool{}
	for _, sharing := range byAddress {
		for _, former := range sharing {
			for _, later := range sharing {
				if later.supersedes(former) && (!later.run.draining || before[former.target.ID] == later.target.ID) {
					ended[former.target.ID] = later.target.ID
				}
				if later.contests(former) {
					contested[former.target.ID] = true
				}
			}
		}
	}
	return ended, contested
}
