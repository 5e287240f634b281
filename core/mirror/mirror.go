package mirror

import (
	"time"

	"catkincove/core"
)

// Settle is how long after the store's return a key that lapsed meanwhile is still held: targets that live register
// again within two seconds.
const Settle = 2200 * time.Millisecond

// Copy is the state of the keys under one prefix as of a revision of the store; the zero value is empty.
//
// It is not safe for concurrent use.
type Copy struct {
	// HoldLapsed keeps keys that vanish right after an outage of the store, because their leases may have lapsed
	// while the store could not renew them.
	HoldLapsed bool

	revision  core.Revision
	entries   map[string]core.Entry
	lapsed    map[string]core.Entry
	out       bool
	holdUntil time.Time
}

// Revision returns the store's revision that the copy has reached.
func (copy *Copy) Revision() core.Revision { return copy.revision }

// Lost notes that the store gave no answer.
func (copy *Copy) Lost() { copy.out = true }

// Out reports whether the store is away.
func (copy *Copy) Out() bool { return copy.out || copy.entries == nil }

// Returned notes that the store answered again.
func (copy *Copy) Returned(now time.Time) {
	if !copy.out {
		return
	}
	copy.out = false
	if copy.HoldLapsed {
		copy.holdUntil = now.Add(Settle)
	}
}

// Replace takes over a whole listing unless it is older than the copy; it reports whether it did.
func (copy *Copy) Replace(now time.Time, snapshot core.Snapshot) bool {
	if copy.entries != nil && snapshot.Revision < copy.revision {
		return false
	}
	entries := make(map[string]core.Entry, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		entries[entry.Key] = entry
		delete(copy.lapsed, entry.Key)
	}
	for key, entry := range copy.entries {
		if _, found := entries[key]; !found {
			copy.lapse(now, entry)
		}
	}
	copy.entries, copy.revision = entries, snapshot.Revision
	return true
}

// Apply takes over the changes of a watch.
func (copy *Copy) Apply(now time.Time, event core.WatchEvent) {
	if copy.entries == nil {
		copy.entries = map[string]core.Entry{}
	}
	for _, entry := range event.Puts {
		if entry.ModRevision >= copy.entries[entry.Key].ModRevision {
			copy.entries[entry.Key] = entry
			delete(copy.lapsed, entry.Key)
		}
	}
	for _, key := range event.Deletes {
		if entry, found := copy.entries[key]; found {
			delete(copy.entries, key)
			copy.lapse(now, entry)
		}
	}
	copy.revision = max(copy.revision, event.Revision)
}

func (copy *Copy) lapse(now time.Time, entry core.Entry) {
	if !copy.out && now.After(copy.holdUntil) {
		return
	}
	if copy.lapsed == nil {
		copy.lapsed = map[string]core.Entry{}
	}
	if copy.HoldLapsed {
		copy.lapsed[entry.Key] = entry
	}
}

// Entries returns the keys that hold now, those included that may only have lapsed with the store.
func (copy *Copy) Entries(now time.Time) []core.Entry {
	if !copy.out && now.After(copy.holdUntil) {
		clear(copy.lapsed)
	}
	entries := make([]core.Entry, 0, len(copy.entries)+len(copy.lapsed))
	for _, entry := range copy.entries {
		entries = append(entries, entry)
	}
	for _, entry := range copy.lapsed {
		entries = append(entries, entry)
	}
	return entries
}

// Snapshot returns what the store last said, for a peer that cannot reach it.
func (copy *Copy) Snapshot() core.Snapshot {
	snapshot := core.Snapshot{Revision: copy.revision}
	for _, entry := range copy.entries {
		snapshot.Entries = append(snapshot.Entries, entry)
	}
	return snapshot
}
