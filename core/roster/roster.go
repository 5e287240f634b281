package roster

import (
	"time"

	"catkincove/core"
)

// Registry holds the newest state of each target, which older registrations must not override.
type Registry struct {
	runs map[string]Run
}

// Run is the newest known state of one run of a target.
type Run struct {
	StartedAt time.Time
	sequence  int64
	Draining  bool
	ColdUntil time.Time
	address   string
	goneSince time.Time // zero while the target is registered

	misdirected bool // the target at the address has said that it is another one
}

// goneTTL is how long a target that is registered no longer is remembered: a store that is restored from a backup holds
// registrations from before again, until the platform notices that nobody renews them.
const goneTTL = time.Minute

// Run returns the newest known run of a target, or the zero value.
func (registry *Registry) Run(id string) Run { return registry.runs[id] }

// Merge merges a registration into the state of its target and returns that state; it returns false if the registration
// belongs to an earlier run, or is one from before the target was gone. Draining is not undone within one run: an entry written before the drain may arrive late.
func (registry *Registry) Merge(now time.Time, entry core.TargetEntry) (Run, bool) {
	if registry.runs == nil {
		registry.runs = map[string]Run{}
	}
	known, found := registry.runs[entry.ID]
	switch {
	case !found || entry.StartedAt.After(known.StartedAt):
		known = Run{StartedAt: entry.StartedAt, sequence: -1}
	case entry.StartedAt.Before(known.StartedAt), !known.goneSince.IsZero() && entry.Sequence <= known.sequence:
		return known, false
	}
	known.goneSince = time.Time{}
	if entry.Sequence > known.sequence || entry.ColdTimeLeft > 0 && entry.Sequence == known.sequence && known.ColdUntil.IsZero() {
		known.ColdUntil = time.Time{}
		if entry.ColdTimeLeft > 0 {
			known.ColdUntil = now.Add(entry.ColdTimeLeft)
		}
	}
	known.sequence = max(known.sequence, entry.Sequence)
	known.Draining = known.Draining || entry.Draining
	known.address = entry.Address
	registry.runs[entry.ID] = known
	return known, true
}

// Leave records that a target leaves, until it starts again; it returns false if that is known, or another run of the target is.
func (registry *Registry) Leave(id string, startedAt time.Time) bool {
	known, found := registry.runs[id]
	if !found || known.Draining || !known.StartedAt.Equal(startedAt) {
		return false
	}
	known.Draining = true
	registry.runs[id] = known
	return true
}

// Misdirect records that the target at the address of a registration has said that it is another one, until the registered one starts again; it returns
// false if that is known, or nothing is registered.
func (registry *Registry) Misdirect(id string) bool {
	known, found := registry.runs[id]
	if !found || known.misdirected {
		return false
	}
	known.misdirected = true
	registry.runs[id] = known
	return true
}

// Has reports whether a target is registered.
func (registry *Registry) Has(id string) bool {
	known, found := registry.runs[id]
	return found && known.goneSince.IsZero()
}

// RemoveAbsent records which targets are registered no longer, and forgets them after goneTTL.
func (registry *Registry) RemoveAbsent(now time.Time, present map[string]bool) {
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

// Registration is a target's registration as the copy of the store holds it.
type Registration struct {
	Target           core.TargetEntry
	Run              Run
	Created, Changed core.Revision // first and last write of its entry
	Relayed          core.Revision // last write that daemons which copy from this one get
	Retained         bool          // it is missing in the store
}

// supersedes reports whether a registration is that of a process which has started at the address of another one's process after the end of that: a process
// listens alone at its address until its end.
//
// The clock of the targets' machine and the order of the store must agree: the process has started later, and its registration has been created after the last
// change of the other one, which a live process would have written since. Both are needed, because clocks are set and differ between machines, and a write may
// reach the store late; revisions of two epochs have no order. What answers at the address is believed before either, and it is asked as long as requests
// for which the other one would do may go to this one, of the same service and in the same data centre.
func (registration Registration) supersedes(other Registration) bool {
	if registration.Retained || registration.Run.misdirected || !registration.startedAfter(other) {
		return false
	}
	return registration.Created.Epoch() == other.Changed.Epoch() && registration.Created > other.Changed
}

// contests reports whether a daemon that copies from this one may take a registration for superseding another one.
func (registration Registration) contests(other Registration) bool {
	return registration.startedAfter(other) && registration.Created > other.Relayed
}

// startedAfter reports whether a registration is of the address, service and data centre of another one and its target has started later by the clock.
func (registration Registration) startedAfter(other Registration) bool {
	switch {
	case registration.Target.Address != other.Target.Address, registration.Target.Service != other.Target.Service, registration.Target.DataCentre != other.Target.DataCentre:
		return false
	case other.Run.StartedAt.UnixMilli() <= 0:
		return false // not known
	}
	return registration.Run.StartedAt.After(other.Run.StartedAt)
}

// Superseded returns the IDs of the targets that have ended, each with the ID of one that has started at its address since; before is what it returned last. One
// that leaves supersedes no more than before: it gets no requests, whose responses could show that it is not the one at its address. It also returns the contested IDs.
func Superseded(registrations []Registration, before map[string]string) (ended map[string]string, contested map[string]bool) {
	counts := make(map[string]int, len(registrations)) // by address
	for _, registration := range registrations {
		counts[registration.Target.Address]++
	}
	byAddress := map[string][]Registration{} // of several
	for _, registration := range registrations {
		if address := registration.Target.Address; counts[address] > 1 {
			byAddress[address] = append(byAddress[address], registration)
		}
	}
	ended, contested = map[string]string{}, map[string]bool{}
	for _, sharing := range byAddress {
		for _, former := range sharing {
			for _, later := range sharing {
				if later.supersedes(former) && (!later.Run.Draining || before[former.Target.ID] == later.Target.ID) {
					ended[former.Target.ID] = later.Target.ID
				}
				if later.contests(former) {
					contested[former.Target.ID] = true
				}
			}
		}
	}
	return ended, contested
}
