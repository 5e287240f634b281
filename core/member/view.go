package member

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

// Timeouts of the view.
const (
	// RetentionTime is how long a daemon whose record was removed from the store is kept while its heartbeats arrive.
	RetentionTime = 10 * time.Second
	// HeartbeatTimeout is how long a daemon counts as reachable after a heartbeat: four heartbeat intervals of 500 ms.
	HeartbeatTimeout = 2 * time.Second
)

// View is this daemon's view of the fleet; it is used on the control goroutine only.
type View struct {
	Self Record

	daemons          map[core.MemberID]*daemon
	droppedAddresses map[core.MemberID]string // addresses of daemons dropped from the view
	outage           bool
}

type daemon struct {
	record    Record
	stored    bool      // its record is in the store
	removedAt time.Time // when its record was first missing from the store
	lastSeen  time.Time
}

// ObserveRecords handles all entries below MemberPrefix; it skips entries that it cannot decode and returns their errors.
func (view *View) ObserveRecords(now time.Time, entries []core.Entry) []error {
	view.init()
	var errs []error
	present := make(map[core.MemberID]bool, len(entries))
	for _, entry := range entries {
		record, err := Decode(entry)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		present[record.ID] = true
		view.put(record)
	}
	for id, daemon := range view.daemons {
		if daemon.stored && !present[id] {
			daemon.stored = false
			daemon.removedAt = now
		}
	}
	view.expire(now)
	return errs
}

// put adds or updates a daemon from its record in the store.
func (view *View) put(record Record) {
	existing, known := view.daemons[record.ID]
	if !known {
		view.daemons[record.ID] = &daemon{record: record, stored: true}
		delete(view.droppedAddresses, record.ID)
		return
	}
	record.Leaving = record.Leaving || existing.record.Leaving // a daemon never stops leaving
	existing.record = record
	existing.stored = true
	existing.removedAt = time.Time{}
}

// ObserveHeartbeat handles a received heartbeat, request or response; it ignores daemons that are not in the view.
func (view *View) ObserveHeartbeat(now time.Time, heartbeat core.Heartbeat) {
	view.init()
	daemon, known := view.daemons[heartbeat.From]
	if !known {
		return
	}
	daemon.lastSeen = now
	daemon.record.Leaving = daemon.record.Leaving || heartbeat.Leaving
}

// SetOutage sets whether there is an outage quorum; while there is, no daemon is dropped.
func (view *View) SetOutage(now time.Time, outage bool) {
	view.init()
	if view.outage && !outage {
		// Daemons whose leases expired in the outage get the full RetentionTime to register again.
		for _, daemon := range view.daemons {
			if !daemon.stored {
				daemon.removedAt = now
			}
		}
	}
	view.outage = outage
	view.expire(now)
}

// expire drops the daemons that no longer count as live.
func (view *View) expire(now time.Time) {
	for id, daemon := range view.daemons {
		if id != view.Self.ID && !view.live(now, daemon) {
			delete(view.daemons, id)
			view.droppedAddresses[id] = daemon.record.Address
		}
	}
}

// TakeReplaced returns, once each, the dropped daemons whose address another daemon has registered; they have certainly
// terminated.
func (view *View) TakeReplaced() []core.MemberID {
	view.init()
	used := make(map[string]bool)
	for _, daemon := range view.daemons {
		used[daemon.record.Address] = used[daemon.record.Address] || daemon.stored
	}
	var replaced []core.MemberID
	for id, address := range view.droppedAddresses {
		if address != "" && used[address] {
			replaced = append(replaced, id)
			delete(view.droppedAddresses, id)
		}
	}
	slices.Sort(replaced)
	return replaced
}

// live reports whether a daemon is in the store, or was removed recently and is still reachable; in an outage all are.
func (view *View) live(now time.Time, daemon *daemon) bool {
	if daemon.stored || view.outage {
		return true
	}
	retained := core.Elapsed(daemon.removedAt, now) < RetentionTime
	reachable := !daemon.lastSeen.IsZero() && core.Elapsed(daemon.lastSeen, now) < HeartbeatTimeout
	return retained && reachable
}

// init creates the maps and puts this daemon's own record into the view.
func (view *View) init() {
	if view.daemons == nil {
		view.daemons = make(map[core.MemberID]*daemon)
		view.droppedAddresses = make(map[core.MemberID]string)
	}
	if existing, known := view.daemons[view.Self.ID]; known {
		existing.record = view.Self
		return
	}
	view.daemons[view.Self.ID] = &daemon{record: view.Self, stored: true}
}

// Known returns the records of all daemons in the view including this one, sorted by ID.
func (view *View) Known() []Record {
	view.init()
	records := make([]Record, 0, len(view.daemons))
	for _, daemon := range view.daemons {
		records = append(records, daemon.record)
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return records
}

// Live returns the sorted IDs of the daemons that count as live at now, always including this one.
func (view *View) Live(now time.Time) []core.MemberID {
	view.init()
	view.expire(now)
	ids := make([]core.MemberID, 0, len(view.daemons))
	for _, record := range view.Known() {
		ids = append(ids, record.ID)
	}
	return ids
}

// OwnerCandidates returns the sorted IDs of the live daemons, always including this one, that are not leaving and have a
// record in the store.
//
// A record expires with the lease, without which a daemon cannot claim. A daemon that is cut off from the store alone still
// counts as live by its heartbeats; as the preferred owner it would leave its former pools without one for RetentionTime.
func (view *View) OwnerCandidates(now time.Time) []core.MemberID {
	return slices.DeleteFunc(view.Live(now), func(id core.MemberID) bool {
		daemon := view.daemons[id]
		return daemon.record.Leaving || !daemon.stored && id != view.Self.ID
	})
}

// Leaving reports whether the daemon has announced that it is leaving.
func (view *View) Leaving(id core.MemberID) bool {
	view.init()
	daemon, known := view.daemons[id]
	return known && daemon.record.Leaving
}

// Lookup returns the record of a daemon in the view.
func (view *View) Lookup(id core.MemberID) (Record, bool) {
	view.init()
	daemon, known := view.daemons[id]
	if !known {
		return Record{}, false
	}
	return daemon.record, true
}
