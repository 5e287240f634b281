package fresh

import (
	"slices"
	"time"

	"catkincove/core"
)

// FillHeartbeat sets the ages, the gossip and the view size of an outgoing heartbeat, whose Revision must be the one in force.
//
// The receiver of a request cannot date its gossip entries, so only responses need them.
func (tracker *Tracker) FillHeartbeat(now time.Time, heartbeat *core.Heartbeat) {
	tracker.SetRevision(heartbeat.Revision)
	heartbeat.From = tracker.Self
	heartbeat.StoreAge = age(tracker.ownStoreRead(heartbeat.Revision), now)
	heartbeat.OutageAge = age(tracker.lastOutage, now)
	heartbeat.Members = len(tracker.members)
	heartbeat.Gossip = tracker.gossip(now)
}

// SetRevision records that the revision is in force at this daemon.
func (tracker *Tracker) SetRevision(revision core.Revision) {
	tracker.confirmedRevision = max(tracker.confirmedRevision, revision)
}

// gossip returns the most recent statuses of other members, up to the limit of one heartbeat.
func (tracker *Tracker) gossip(now time.Time) []core.GossipEntry {
	entries := make([]core.GossipEntry, 0, len(tracker.statuses))
	for member, status := range tracker.statuses {
		if !within(status.lastSeen, now, maxGossipAge) {
			continue
		}
		entries = append(entries, core.GossipEntry{
			Member:      member,
			Revision:    status.revision,
			LastSeenAge: age(status.lastSeen, now),
			StoreAge:    age(status.lastStoreRead, now),
			OutageAge:   age(status.lastOutage, now),
		})
	}
	slices.SortFunc(entries, func(a, b core.GossipEntry) int { return int(a.LastSeenAge - b.LastSeenAge) })
	limit := maxGossip
	if within(tracker.lastOutage, now, Validity) {
		limit = maxOutageGossip
	}
	return entries[:min(len(entries), limit)]
}

// age returns the time from at to now; negative if at is zero.
func age(at, now time.Time) time.Duration {
	if at.IsZero() {
		return -1
	}
	return max(0, core.Elapsed(at, now))
}
