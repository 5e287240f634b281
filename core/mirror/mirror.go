package mirror

import (
	"maps"
	"time"

	"catkincove/core"
)

// ReregistrationGrace is how long a key whose lease expired in an outage is retained after the store is available again;
// live targets register again within two seconds.
const ReregistrationGrace = 2200 * time.Millisecond

// RestoreGrace is how long a copy from before a restore of the store counts beside what the store holds, for keys that nobody has
// written since: operators and live targets write again what was lost, and the entries of dead targets expire.
const RestoreGrace = 4 * time.Second

// Copy is the state of the keys under one prefix as of a revision of the store; the zero value is empty.
//
// It is not safe for concurrent use.
type Copy struct {
	// RetainExpired keeps keys that are deleted in or right after a store outage, because their leases may have expired
	// while the store could not renew them.
	RetainExpired bool
	// Equivalent reports whether a newer entry changes nothing that peers need, so that Since leaves it out; nil means never.
	Equivalent func(before, after core.Entry) bool

	revision     core.Revision
	changedAt    map[string]core.Revision // revision of the last change of each entry that was not equivalent
	removed      map[string]removal       // removed keys, complete from historyStart on
	historyStart core.Revision
	entries      map[string]core.Entry
	expired      map[string]retained // missing entries that are retained
	unavailable  bool
	retainUntil  time.Time // entries that are missed until then are retained

	reappeared map[string]bool // keys that had been removed, or were not known, before the store was restored
	hideUntil  time.Time       // they are hidden until then
}

// retained is an entry that the store no longer holds.
type retained struct {
	entry core.Entry
	until time.Time // it is dropped after that, as soon as the store is available
}

// removal is the removal of a key. Peers that have not seen its last entry get that too, or they would retain an older one: a target that has left
// as one that is ready.
type removal struct {
	at        core.Revision
	last      core.Entry
	changedAt core.Revision // revision of the last entry that was not equivalent
}

// Revision returns the store revision that the copy has reached.
func (copy *Copy) Revision() core.Revision { return copy.revision }

// MarkUnavailable records that the store did not respond.
func (copy *Copy) MarkUnavailable() { copy.unavailable = true }

// Unavailable reports whether the store is unavailable or has not been listed yet.
func (copy *Copy) Unavailable() bool { return copy.unavailable || copy.entries == nil }

// MarkAvailable records that the store responded again.
func (copy *Copy) MarkAvailable(now time.Time) {
	if !copy.unavailable {
		return
	}
	copy.unavailable = false
	if copy.RetainExpired {
		copy.retainUntil = now.Add(ReregistrationGrace)
	}
}

// Replace replaces the copy by a full listing unless the listing is older; it reports whether it did.
func (copy *Copy) Replace(now time.Time, snapshot core.Snapshot) bool {
	if copy.entries != nil && snapshot.Revision < copy.revision {
		return false
	}
	restored := copy.entries != nil && snapshot.Revision.Epoch() > copy.revision.Epoch()
	if copy.entries == nil || restored {
		copy.historyStart = snapshot.Revision
	}
	entries := make(map[string]core.Entry, len(snapshot.Entries))
	reappeared := map[string]bool{}
	for _, entry := range snapshot.Entries {
		previous, found := copy.entries[entry.Key]
		if _, retained := copy.expired[entry.Key]; !found && !retained || copy.reappeared[entry.Key] {
			reappeared[entry.Key] = true // also if it was hidden after an earlier restore
		}
		if !found || previous.ModRevision != entry.ModRevision {
			copy.recordChange(previous, entry, found)
		}
		delete(copy.expired, entry.Key)
		entries[entry.Key] = entry
	}
	for key, entry := range copy.entries {
		if _, found := entries[key]; !found {
			copy.recordRemoval(entry, snapshot.Revision)
			switch {
			case restored:
				copy.retain(entry, now.Add(copy.restoreGrace()))
			case copy.mayHaveExpired(now):
				copy.retain(entry, copy.expiredUntil(now))
			}
		}
	}
	copy.entries, copy.revision = entries, snapshot.Revision
	if restored {
		copy.beginGrace(now, reappeared)
	}
	return true
}

// beginGrace begins the time in which the copy from before a restore counts: what it had is retained, and what had been removed
// from it stays hidden.
func (copy *Copy) beginGrace(now time.Time, reappeared map[string]bool) {
	copy.retainUntil = now.Add(copy.restoreGrace())
	copy.reappeared, copy.hideUntil = reappeared, now.Add(RestoreGrace)
}

func (copy *Copy) restoreGrace() time.Duration {
	if copy.RetainExpired {
		return ReregistrationGrace // what is not registered again by then is gone
	}
	return RestoreGrace
}

// recordChange records the revision of a changed entry unless the change is equivalent, and reports whether it is not.
func (copy *Copy) recordChange(before, after core.Entry, known bool) bool {
	if copy.changedAt == nil {
		copy.changedAt = map[string]core.Revision{}
	}
	delete(copy.removed, after.Key)
	_, hidden := copy.reappeared[after.Key]
	delete(copy.reappeared, after.Key) // it has been written again
	if known && !hidden && copy.Equivalent != nil && copy.Equivalent(before, after) {
		return false
	}
	copy.changedAt[after.Key] = after.ModRevision
	return true
}

// maxRemoved limits the number of removed keys that are remembered; peers that lag further behind get the full state.
const maxRemoved = 4096

// recordRemoval records the revision at which an entry was removed; it discards the history when that is full.
func (copy *Copy) recordRemoval(last core.Entry, revision core.Revision) {
	if copy.removed == nil {
		copy.removed = map[string]removal{}
	}
	if len(copy.removed) >= maxRemoved {
		clear(copy.removed)
		copy.historyStart = revision
	}
	copy.removed[last.Key] = removal{at: revision, last: last, changedAt: copy.changedAt[last.Key]}
	delete(copy.changedAt, last.Key)
}

// Since returns the changes after the revision, for a peer that has copied up to it; full means that the event is the full
// state, because the history does not reach back that far. A key that was changed and then removed is both put and deleted.
func (copy *Copy) Since(revision core.Revision) (event core.WatchEvent, full bool) {
	event.Revision = copy.revision
	full = revision < copy.historyStart || revision == 0
	for key, entry := range copy.entries {
		if full || copy.changedAt[key] > revision {
			event.Puts = append(event.Puts, entry)
		}
	}
	if full {
		return event, true
	}
	for key, removal := range copy.removed {
		if removal.at <= revision {
			continue
		}
		if removal.changedAt > revision {
			event.Puts = append(event.Puts, removal.last)
		}
		event.Deletes = append(event.Deletes, key)
	}
	return event, false
}

// ChangedAt returns the revision of the last change of an entry that was not equivalent, which peers may know it by; 0 if there is none.
func (copy *Copy) ChangedAt(key string) core.Revision { return copy.changedAt[key] }

// Apply applies a watch event, its puts before its deletes; it ignores entries that are older than the copy, and all of them before the first listing. It
// reports whether the event changes more than equivalent entries.
func (copy *Copy) Apply(now time.Time, event core.WatchEvent) (changed bool) {
	if copy.entries == nil {
		return false // the copy would count as complete
	}
	for _, entry := range event.Puts {
		if previous, found := copy.entries[entry.Key]; entry.ModRevision >= previous.ModRevision {
			changed = copy.recordChange(previous, entry, found) || changed
			copy.entries[entry.Key] = entry
			delete(copy.expired, entry.Key)
		}
	}
	for _, key := range event.Deletes {
		if entry, found := copy.entries[key]; found {
			delete(copy.entries, key)
			copy.recordRemoval(entry, event.Revision)
			if copy.mayHaveExpired(now) {
				copy.retain(entry, copy.expiredUntil(now))
			}
			changed = true
		}
	}
	copy.revision = max(copy.revision, event.Revision)
	return changed
}

// RetainsEntries reports whether there are retained or hidden entries, which expire or appear without an event.
func (copy *Copy) RetainsEntries() bool { return len(copy.expired)+len(copy.reappeared) > 0 }

// mayHaveExpired reports whether a key may be missing because its lease could not be renewed in an outage.
func (copy *Copy) mayHaveExpired(now time.Time) bool {
	return copy.RetainExpired && (copy.unavailable || !now.After(copy.retainUntil))
}

// expiredUntil returns the time until which an entry that is missed now is retained. The store was available after its removal, so a live target
// registers again within ReregistrationGrace.
func (copy *Copy) expiredUntil(now time.Time) time.Time {
	if copy.unavailable || copy.retainUntil.IsZero() {
		return now.Add(ReregistrationGrace)
	}
	return copy.retainUntil
}

func (copy *Copy) retain(entry core.Entry, until time.Time) {
	if copy.expired == nil {
		copy.expired = map[string]retained{}
	}
	copy.expired[entry.Key] = retained{entry: entry, until: until}
}

// Retains reports whether an entry that Entries returned is missing in the store and only retained.
func (copy *Copy) Retains(key string) bool {
	_, is := copy.expired[key]
	return is
}

// Entries returns the entries at now, including those that are retained because their leases may have expired in an outage, or
// because the store was restored, and without those that have reappeared by that.
func (copy *Copy) Entries(now time.Time) []core.Entry {
	if !copy.unavailable {
		maps.DeleteFunc(copy.expired, func(_ string, retained retained) bool { return now.After(retained.until) })
	}
	if now.After(copy.hideUntil) {
		clear(copy.reappeared)
	}
	entries := make([]core.Entry, 0, len(copy.entries)+len(copy.expired))
	for key, entry := range copy.entries {
		if _, hidden := copy.reappeared[key]; !hidden {
			entries = append(entries, entry)
		}
	}
	for _, retained := range copy.expired {
		entries = append(entries, retained.entry)
	}
	return entries
}
