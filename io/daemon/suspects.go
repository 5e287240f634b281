package daemon

import (
	"time"

	"catkincove/core"
)

const (
	suspectLifetime    = 10 * time.Minute
	exoneratedLifetime = 30 * time.Second       // long enough for all daemons to learn of it
	ageTolerance       = 100 * time.Millisecond // ages are rounded in heartbeats
	maxSuspects        = 64                     // limit for one heartbeat; crashes of targets are rare
)

// suspects are the suspect states of request contents from all pools and daemons, gossiped with heartbeats.
type suspects struct {
	entries map[core.Fingerprint]suspectEntry
}

type suspectEntry struct {
	state   core.SuspectState
	foundAt time.Time
}

// add merges suspect states and reports whether any of them was new.
func (suspects *suspects) add(now time.Time, list []core.Suspect) bool {
	changed := false
	for _, suspect := range list {
		foundAt := now.Add(-suspect.Age)
		existing, known := suspects.entries[suspect.Fingerprint]
		if suspect.Age > lifetime(suspect.State) || (known && !existing.supersededBy(suspect.State, foundAt)) {
			continue
		}
		if suspects.entries == nil {
			suspects.entries = map[core.Fingerprint]suspectEntry{}
		}
		suspects.entries[suspect.Fingerprint] = suspectEntry{state: suspect.State, foundAt: foundAt}
		changed = true
	}
	return changed
}

func lifetime(state core.SuspectState) time.Duration {
	if state == core.SuspectNone {
		return exoneratedLifetime
	}
	return suspectLifetime
}

// supersededBy reports whether another state is newer, or more severe at the same time. An exonerated request content has
// a newer state; without it the content would run exclusively, or be rejected, until the old state expires.
func (entry suspectEntry) supersededBy(state core.SuspectState, foundAt time.Time) bool {
	later := foundAt.Sub(entry.foundAt)
	return later > ageTolerance && state != entry.state || later >= -ageTolerance && state > entry.state
}

// list returns the suspect states for a heartbeat and removes expired ones.
func (suspects *suspects) list(now time.Time) []core.Suspect {
	var list []core.Suspect
	for fingerprint, entry := range suspects.entries {
		age := core.Elapsed(entry.foundAt, now)
		if age > lifetime(entry.state) {
			delete(suspects.entries, fingerprint)
			continue
		}
		if len(list) < maxSuspects {
			list = append(list, core.Suspect{Fingerprint: fingerprint, State: entry.state, Age: age})
		}
	}
	return list
}

// mergeSuspects merges the suspect states of peers and passes new ones to the owned pools.
func (control *control) mergeSuspects(now time.Time, list []core.Suspect) {
	if len(list) == 0 || !control.suspects.add(now, list) {
		return
	}
	for _, owned := range control.pools {
		owned.dispatcher.MergeSuspects(now, list)
	}
}

// collectSuspects merges the suspect states of an owned pool; new ones go to the other pools and, at once, to the peers.
func (control *control) collectSuspects(now time.Time, owned *ownedPool) {
	list := owned.dispatcher.Suspects(now)
	if len(list) == 0 || !control.suspects.add(now, list) {
		return
	}
	for id, other := range control.pools {
		if id != owned.id {
			other.dispatcher.MergeSuspects(now, list)
		}
	}
	control.daemon.triggerHeartbeat()
}
