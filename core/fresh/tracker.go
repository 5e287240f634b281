package fresh

import (
	"slices"
	"time"

	"catkincove/core"
)

// Durations of the freshness rules.
const (
	// Validity is how long a confirmation, an outage report or a status about the store counts.
	Validity = 2 * time.Second
	// OutageAfter is the age of the last successful store read from which a failed call counts as an outage.
	OutageAfter = time.Second
	// RecoveryTime is how long after its last outage report a member does not count as having the store.
	//
	// It is twice Validity, so that 2 s before a store quorum no outage quorum can have existed and every owner without
	// a lease whose pools an outage quorum extended has lost them.
	RecoveryTime = 2 * Validity
)

const (
	maxGossip       = 64               // gossip entries in one heartbeat
	maxOutageGossip = 256              // the same in an outage; with 64, 6 of 390 daemons at once did not see the quorum
	maxGossipAge    = RecoveryTime     // older statuses count for no quorum
	statusRetention = 60 * time.Second // retention of statuses of members that are not in the view
)

// memberStatus is the latest status reported by a member; its times are the earliest possible ones.
type memberStatus struct {
	lastSeen      time.Time
	revision      core.Revision
	lastStoreRead time.Time // zero if it never read the store
	lastOutage    time.Time // zero if it reports no outage
	viewSize      int
}

// Tracker evaluates freshness and store outages; it is used on the control goroutine only, and needs Self.
type Tracker struct {
	Self core.MemberID

	quorumSize   func(count int) int // set by tests only; nil means twoThirds
	skipRecovery bool                // set by tests only; ignores RecoveryTime

	lastRead          storeRead // the newest store read
	previousRead      storeRead // the newest store read with a lower revision than lastRead
	lastOutage        time.Time
	members           []core.MemberID
	presumedDead      []core.MemberID // members whose processes have most likely terminated
	statuses          map[core.MemberID]memberStatus
	confirmedRevision core.Revision
}

// storeRead is a successful read of the head key and the configuration revision that it returned.
type storeRead struct {
	sentAt   time.Time
	revision core.Revision
}

// twoThirds returns the minimum size of a quorum; two such quorums of one view intersect in a third of it.
func twoThirds(count int) int { return (2*count + 2) / 3 }

// majority returns the minimum size of a store quorum.
//
// It intersects an outage quorum of two thirds as long as the two views differ by less than a third, counting added and
// removed members together. A store quorum of two thirds would leave the pools of a failed data centre with three of
// eight daemons without owners.
func majority(count int) int {
	if count == 0 {
		return 0
	}
	return count/2 + 1
}

// storeQuorum returns the minimum number of members with the store that form a store quorum.
//
// Members whose processes have terminated cannot report an outage, so a majority of the others is enough. With two of four
// daemons killed, a majority of all four could never form again. A firewall that rejects connections looks the same as a
// terminated process, so the quorum is always large enough that the remaining members cannot form an outage quorum.
func (tracker *Tracker) storeQuorum() int {
	count := len(tracker.members)
	if len(tracker.presumedDead) == 0 || count == 0 {
		return majority(count)
	}
	return max(majority(count-len(tracker.presumedDead)), count-tracker.quorum(count)+1)
}

func (tracker *Tracker) quorum(count int) int {
	if tracker.quorumSize != nil {
		return tracker.quorumSize(count)
	}
	return twoThirds(count)
}

// ObserveStore handles a successful read of the head key, requested at sentAt, that returned the configuration revision.
func (tracker *Tracker) ObserveStore(sentAt, now time.Time, revision core.Revision) {
	if revision < tracker.lastRead.revision || sentAt.Before(tracker.lastRead.sentAt) {
		return
	}
	if revision > tracker.lastRead.revision {
		tracker.previousRead = tracker.lastRead
	}
	tracker.lastRead = storeRead{sentAt: sentAt, revision: revision}
}

// ObserveStoreFailure handles a failed store call; it is an outage only if the last successful read is older than OutageAfter.
func (tracker *Tracker) ObserveStoreFailure(now time.Time) {
	if !within(tracker.lastRead.sentAt, now, OutageAfter) {
		tracker.lastOutage = now
	}
}

// ObserveHeartbeat handles the response to a heartbeat sent at sentAt, or a heartbeat request if sentAt is zero.
//
// The transit time of a request is unknown, so only its revisions count.
func (tracker *Tracker) ObserveHeartbeat(now, sentAt time.Time, heartbeat core.Heartbeat) {
	tracker.merge(heartbeat.From, memberStatus{
		lastSeen:      sentAt,
		revision:      heartbeat.Revision,
		lastStoreRead: timeAtAge(sentAt, heartbeat.StoreAge),
		lastOutage:    timeAtAge(sentAt, heartbeat.OutageAge),
		viewSize:      heartbeat.Members,
	})
	for _, entry := range heartbeat.Gossip {
		tracker.merge(entry.Member, memberStatus{
			lastSeen:      timeAtAge(sentAt, entry.LastSeenAge),
			revision:      entry.Revision,
			lastStoreRead: timeAtAge(sentAt, entry.StoreAge),
			lastOutage:    timeAtAge(sentAt, entry.OutageAge),
		})
	}
}

// merge stores the status of a member unless a newer one is known; it keeps the highest revision.
func (tracker *Tracker) merge(member core.MemberID, status memberStatus) {
	if member == tracker.Self || member == "" {
		return
	}
	if tracker.statuses == nil {
		tracker.statuses = make(map[core.MemberID]memberStatus)
	}
	existing := tracker.statuses[member]
	if status.lastSeen.IsZero() || status.lastSeen.Before(existing.lastSeen) {
		// An older or undated status still proves that the member has had its revision in force.
		if status.revision <= existing.revision {
			return
		}
		existing.revision = status.revision
		tracker.statuses[member] = existing
		return
	}
	if status.viewSize == 0 {
		status.viewSize = existing.viewSize
	}
	status.revision = max(status.revision, existing.revision)
	tracker.statuses[member] = status
}

// SetMembers sets the members of the view; it drops members only while there is a store quorum of the old view.
//
// Otherwise a few daemons that alone reach the store would shrink their view and form a quorum among themselves.
func (tracker *Tracker) SetMembers(now time.Time, list []core.MemberID) {
	next := slices.Clone(list)
	if !tracker.StoreQuorum(now) {
		next = append(next, tracker.members...)
	}
	slices.Sort(next)
	tracker.members = slices.Compact(next)
	tracker.SetPresumedDead(tracker.presumedDead)
	for member, status := range tracker.statuses {
		_, current := slices.BinarySearch(tracker.members, member)
		if !current && !within(status.lastSeen, now, statusRetention) {
			delete(tracker.statuses, member)
		}
	}
}

// SetPresumedDead sets the members that the store no longer lists and at whose addresses nothing listens any more.
func (tracker *Tracker) SetPresumedDead(list []core.MemberID) {
	tracker.presumedDead = slices.DeleteFunc(slices.Clone(list), func(member core.MemberID) bool {
		return member == tracker.Self || !slices.Contains(tracker.members, member)
	})
}

// RemoveMembers removes members that have certainly terminated, without a quorum.
//
// When more than a third of the members terminate at once, no quorum of the old view can form to drop them.
func (tracker *Tracker) RemoveMembers(terminated []core.MemberID) {
	tracker.members = slices.DeleteFunc(tracker.members, func(member core.MemberID) bool {
		return member != tracker.Self && slices.Contains(terminated, member)
	})
	tracker.SetPresumedDead(tracker.presumedDead)
}

// Members returns the sorted members over which quorums are counted.
func (tracker *Tracker) Members() []core.MemberID { return tracker.members }

// Unexpired reports whether a time returned by ConfirmedUntil or OutageUntil is still ahead, by the monotonic and the wall clock.
func Unexpired(until, now time.Time) bool { return !until.IsZero() && core.Elapsed(until, now) < 0 }

// within reports whether less than limit has elapsed since from; false if from is zero.
func within(from, now time.Time, limit time.Duration) bool {
	return !from.IsZero() && core.Elapsed(from, now) < limit
}

// timeAtAge returns the time that is age before at; zero if at is zero or age is negative.
func timeAtAge(at time.Time, age time.Duration) time.Time {
	if at.IsZero() || age < 0 {
		return time.Time{}
	}
	return at.Add(-age)
}
