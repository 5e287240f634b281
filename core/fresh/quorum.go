package fresh

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

// Confirmed reports whether the configuration with the revision is confirmed at now.
func (tracker *Tracker) Confirmed(now time.Time, revision core.Revision) bool {
	return Unexpired(tracker.ConfirmedUntil(now, revision), now)
}

// ConfirmedUntil returns the time until which the revision is confirmed by what is known at now; zero if it is not confirmed.
func (tracker *Tracker) ConfirmedUntil(now time.Time, revision core.Revision) time.Time {
	newest := tracker.ownStoreRead(revision)
	for _, status := range tracker.statuses {
		// At the peer's last store read the head was not above the peer's revision, which is not above ours.
		if status.revision <= revision && later(status.lastStoreRead, newest, now) {
			newest = status.lastStoreRead
		}
	}
	outage := tracker.outageQuorumAt(now, func(memberRevision core.Revision) bool { return memberRevision <= revision })
	if later(outage, newest, now) {
		newest = outage
	}
	if !within(newest, now, Validity) {
		return time.Time{}
	}
	return newest.Add(Validity)
}

// ownStoreRead returns the time of the newest own store read that showed no head above the revision; zero if there is none.
func (tracker *Tracker) ownStoreRead(revision core.Revision) time.Time {
	switch {
	case tracker.lastRead.revision <= revision:
		return tracker.lastRead.sentAt
	case tracker.previousRead.revision <= revision:
		return tracker.previousRead.sentAt
	default:
		return time.Time{}
	}
}

// OutageQuorum reports whether two thirds of the members report a store outage.
func (tracker *Tracker) OutageQuorum(now time.Time) bool {
	return Unexpired(tracker.OutageUntil(now), now)
}

// OutageUntil returns the time until which the outage quorum known at now lasts; zero if there is none.
func (tracker *Tracker) OutageUntil(now time.Time) time.Time {
	at := tracker.outageQuorumAt(now, func(core.Revision) bool { return true })
	if !within(at, now, Validity) {
		return time.Time{}
	}
	return at.Add(Validity)
}

// outageQuorumAt returns the time of the oldest outage report in the newest outage quorum, counting only this daemon and
// members with a permitted revision; zero if there is none.
func (tracker *Tracker) outageQuorumAt(now time.Time, permitted func(core.Revision) bool) time.Time {
	var times []time.Time
	for _, member := range tracker.members {
		at := tracker.lastOutage
		if member != tracker.Self {
			status := tracker.statuses[member]
			at = status.lastOutage
			if !permitted(status.revision) {
				continue
			}
		}
		times = append(times, at)
	}
	return tracker.quorumTime(now, times, tracker.quorum(len(tracker.members)))
}

// StoreQuorum reports whether a quorum of the members reported within the last 2 s that they have the store.
func (tracker *Tracker) StoreQuorum(now time.Time) bool {
	return !tracker.StoreQuorumSince(now).IsZero()
}

// StoreQuorumSince returns the time of the oldest status in the newest store quorum; zero if there is none.
//
// No outage quorum can have existed at that time.
func (tracker *Tracker) StoreQuorumSince(now time.Time) time.Time {
	var times []time.Time
	for _, member := range tracker.members {
		status := tracker.statuses[member]
		if member == tracker.Self {
			status = memberStatus{lastSeen: now, lastStoreRead: tracker.lastRead.sentAt, lastOutage: tracker.lastOutage}
		}
		if tracker.hasStore(status) {
			times = append(times, status.lastSeen)
		}
	}
	at := tracker.quorumTime(now, times, tracker.storeQuorum())
	if !within(at, now, Validity) {
		return time.Time{}
	}
	return at
}

// hasStore reports whether the member had the store at the time of the status and had not just recovered from an outage.
func (tracker *Tracker) hasStore(status memberStatus) bool {
	if !within(status.lastStoreRead, status.lastSeen, OutageAfter) {
		return false
	}
	return tracker.skipRecovery || !within(status.lastOutage, status.lastSeen, RecoveryTime)
}

// quorumTime returns the oldest of the required number of newest times; zero if there are fewer, not counting zero times.
func (tracker *Tracker) quorumTime(now time.Time, times []time.Time, required int) time.Time {
	type moment struct {
		at  time.Time
		age time.Duration
	}
	moments := make([]moment, 0, len(times))
	for _, at := range times {
		if !at.IsZero() {
			moments = append(moments, moment{at, core.Elapsed(at, now)})
		}
	}
	if required == 0 || len(moments) < required {
		return time.Time{}
	}
	slices.SortFunc(moments, func(a, b moment) int { return cmp.Compare(a.age, b.age) })
	return moments[required-1].at
}

// ConfirmedBy returns the sorted members that have had this or a later revision in force.
func (tracker *Tracker) ConfirmedBy(revision core.Revision) []core.MemberID {
	var confirmed []core.MemberID
	for _, member := range tracker.members {
		memberRevision := tracker.statuses[member].revision
		if member == tracker.Self {
			memberRevision = tracker.confirmedRevision
		}
		if memberRevision >= revision {
			confirmed = append(confirmed, member)
		}
	}
	return confirmed
}

// AcceptedByQuorum reports whether two thirds of the largest view that a confirming member has reported confirm the revision.
//
// A daemon that has just started may see only the few members that still reach the store; the views of those are larger.
func (tracker *Tracker) AcceptedByQuorum(revision core.Revision) bool {
	confirmed := tracker.ConfirmedBy(revision)
	view := len(tracker.members)
	for _, member := range confirmed {
		view = max(view, tracker.statuses[member].viewSize)
	}
	return view > 0 && len(confirmed) >= tracker.quorum(view)
}

// later reports whether a is more recent than b as seen from now; every time is more recent than zero.
func later(a, b, now time.Time) bool {
	if a.IsZero() {
		return false
	}
	return b.IsZero() || core.Elapsed(a, now) < core.Elapsed(b, now)
}
