package origin

import (
	"math"
	"net/url"
	"time"
)

// Origin is what a target must share with the one that sent the first event of a stream to continue it; the zero value means unknown.
type Origin struct {
	Service string
	Version string // of the target's software
}

// Known reports whether the origin is known.
func (origin Origin) Known() bool { return origin != Origin{} }

// Encode returns the origin as text for the header of a message; Parse reads it.
func (origin Origin) Encode() string {
	return url.Values{"Service": {origin.Service}, "Version": {origin.Version}}.Encode()
}

// Parse returns the origin that Encode has written, or an unknown one if the text is not readable.
func Parse(text string) Origin {
	values, err := url.ParseQuery(text)
	if err != nil {
		return Origin{}
	}
	return Origin{Service: values.Get("Service"), Version: values.Get("Version")}
}

// Table remembers the origins of streams by the attempt that brought their first event; the zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	entries map[string]entry
}

type entry struct {
	origin  Origin
	expires time.Time
	source  source

	sequence int64 // orders what a daemon has told
}

// source orders what tells an origin; a later entry replaces one of the same source or a lower one.
type source int

const (
	fromRecord source = iota // a record of the store, which may be an earlier one
	fromWriter               // the daemon that began the stream has told it
	fromSelf                 // this daemon began the stream
)

// maxEntries bounds a table; a daemon of the design size begins far fewer streams within the longest time limit.
const maxEntries = 20_000

// Add remembers the origin of the stream that an attempt has begun until expires; own marks what this daemon recorded itself.
func (table *Table) Add(attempt string, origin Origin, expires time.Time, own bool) {
	if own {
		table.add(attempt, entry{origin: origin, expires: expires, source: fromSelf})
	} else {
		table.add(attempt, entry{origin: origin, expires: expires, source: fromRecord})
	}
}

// AddTold is Add for what the daemon that began the stream has told; sequence orders what it tells. A record of the store does not replace it.
func (table *Table) AddTold(attempt string, origin Origin, expires time.Time, sequence int64) {
	table.add(attempt, entry{origin: origin, expires: expires, source: fromWriter, sequence: sequence})
}

func (table *Table) add(attempt string, added entry) {
	if table.entries == nil {
		table.entries = map[string]entry{}
	}
	known, found := table.entries[attempt]
	if !found && len(table.entries) >= maxEntries {
		table.evictSoonest()
	}
	if found && (known.source > added.source || known.source == added.source && known.sequence > added.sequence) {
		return // it comes back, or late, perhaps from before a change
	}
	table.entries[attempt] = added
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

// Told reports whether the origin of the stream comes from the daemon that began it, and not from a record, and the sequence of what was told; what this
// daemon began itself is newer than all that it has told.
func (table *Table) Told(attempt string) (sequence int64, told bool) {
	known := table.entries[attempt]
	if known.source == fromSelf {
		return math.MaxInt64, true
	}
	return known.sequence, known.source == fromWriter
}

// Own returns the origins that this daemon recorded itself, by attempt.
func (table *Table) Own(now time.Time) map[string]Origin {
	own := map[string]Origin{}
	for attempt, known := range table.entries {
		if known.source == fromSelf && !now.After(known.expires) {
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
