package origin

import "time"

// Origin is what a target must share with the one that sent the first event of a stream to continue it; the zero value means unknown.
type Origin struct {
	Service string
	Version string // of the target's software
}

// Known reports whether the origin is known.
func (origin Origin) Known() bool { return origin != Origin{} }

// Table remembers the origins of streams by the attempt that brought their first event; the zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	entries map[string]entry
}

type entry struct {
	origin  Origin
	expires time.Time
	own     bool // recorded by this daemon
}

// maxEntries bounds a table; a daemon of the design size begins far fewer streams within the longest time limit.
const maxEntries = 20_000

// Add remembers the origin of the stream that an attempt has begun until expires; own marks what this daemon recorded itself.
func (table *Table) Add(attempt string, origin Origin, expires time.Time, own bool) {
	if table.entries == nil {
		table.entries = map[string]entry{}
	}
	known, found := table.entries[attempt]
	if !found && len(table.entries) >= maxEntries {
		table.evictSoonest()
	}
	if found && known.own && !own {
		return // a record of this daemon that comes back, perhaps an earlier one
	}
	table.entries[attempt] = entry{origin: origin, expires: expires, own: own}
}

// evictSoonest removes one of some entries, the one that expires first.
func (table *Table) evictSoonest() {
	const sample = 16
	soonest, seen := "", 0
	for attempt, known := range table.entries { // in random order
		if soonest == "" || known.expires.Before(table.entries[soonest].expires) {
			soonest = attempt
		}
		if seen++; seen == sample {
			break
		}
	}
	delete(table.entries, soonest)
}

// Find returns the origin of the stream that an attempt has begun, if it is remembered.
func (table *Table) Find(now time.Time, attempt string) (Origin, bool) {
	known, found := table.entries[attempt]
	if !found || now.After(known.expires) {
		return Origin{}, false
	}
	return known.origin, true
}

// Own returns the origins that this daemon recorded itself, by attempt.
func (table *Table) Own(now time.Time) map[string]Origin {
	own := map[string]Origin{}
	for attempt, known := range table.entries {
		if known.own && !now.After(known.expires) {
			own[attempt] = known.origin
		}
	}
	return own
}

// Sweep removes the entries that have expired.
func (table *Table) Sweep(now time.Time) {
	for attempt, known := range table.entries {
		if now.After(known.expires) {
			delete(table.entries, attempt)
		}
	}
}
