package pool

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

const (
	// quarantineDuration is how long a request content that crashed a target while it ran exclusively is rejected, and how
	// long suspect states are kept.
	quarantineDuration = 10 * time.Minute
	// correlationWindow and minCorrelatedTargets distinguish a rack failure from a request content that crashes targets.
	correlationWindow    = 2 * time.Second
	minCorrelatedTargets = 3
	// twoTargetDelay is how long a suspect waits before it runs exclusively in a pool of two targets. The targets of a failed
	// rack crash within some 100 ms of each other; a request that ran on both would have been on every crashed target, just
	// like one that crashes them.
	twoTargetDelay = 500 * time.Millisecond
	// incidentTimeout is how long an incident waits for a load report that shows whether the target crashed; after it, the
	// incident counts as a crash.
	incidentTimeout = time.Second
	// clockTolerance covers the rounding of ages in gossiped suspects.
	clockTolerance = 100 * time.Millisecond
	// clearedRetention is how long a cleared suspicion is kept, so that gossip clears it in other daemons too.
	clearedRetention = 30 * time.Second
	// maxSuspicions bounds the memory to about 1 MB when very many connections break.
	maxSuspicions = 8192
	// maxGossiped bounds the suspects in one heartbeat: at about 60 B each, twice a second to 4 peers, they stay under the
	// 18 KB/s that a daemon may use for control traffic.
	maxGossiped = 16
)

// suspicion is what is known about one request content.
type suspicion struct {
	suspectState
	exclusiveGrant core.GrantID // grant that runs exclusively, or that disconnected in an unresolved incident
	notBefore      time.Time    // earliest exclusive run
	exoneratedAt   time.Time    // first exoneration because of correlated crashes; zero if none
}

// suspectState is the part of a suspicion that is restored when a crash is not attributed to the request content.
type suspectState struct {
	state          core.SuspectState
	since          time.Time
	local          bool // determined in this pool, not received by gossip
	clearedLocally bool // completed exclusively in this pool, but is a suspect elsewhere
}

// affectedRequest is a request that was in flight on a target when the target disconnected or crashed.
type affectedRequest struct {
	grant       core.GrantID
	fingerprint core.Fingerprint
	exclusive   bool
	previous    suspectState // state to restore if the crash is not attributed to it
}

// incident is a disconnect from a target that may turn out to be a crash.
type incident struct {
	target   core.TargetName
	at       time.Time
	affected []affectedRequest
}

// crashTracker attributes target crashes to request contents.
type crashTracker struct {
	targets    int // of the pool
	suspicions map[core.Fingerprint]*suspicion
	crashes    []*incident // of the last correlationWindow
}

// state returns how this pool must treat the request content; a local exclusive completion overrides a gossiped suspicion.
func (tracker *crashTracker) state(fingerprint core.Fingerprint) core.SuspectState {
	known := tracker.suspicions[fingerprint]
	if known == nil || (known.clearedLocally && known.state == core.SuspectExclusive) {
		return core.SuspectNone
	}
	return known.state
}

// undecidedFor returns how long further crashes may still exonerate the request content; it is at most 0 once decided.
func (tracker *crashTracker) undecidedFor(now time.Time, fingerprint core.Fingerprint) time.Duration {
	known := tracker.suspicions[fingerprint]
	if known == nil || !known.local {
		return 0
	}
	return known.since.Add(correlationWindow).Sub(now)
}

// mayRunExclusively reports whether a suspect may get an exclusive grant now.
func (tracker *crashTracker) mayRunExclusively(now time.Time, fingerprint core.Fingerprint) bool {
	known := tracker.suspicions[fingerprint]
	return known == nil || (known.exclusiveGrant == "" && !now.Before(known.notBefore))
}

func (tracker *crashTracker) startExclusive(fingerprint core.Fingerprint, grant core.GrantID) {
	if known := tracker.suspicions[fingerprint]; known != nil {
		known.exclusiveGrant = grant
	}
}

// endExclusive ends the exclusive run of the grant; an earlier grant of the same request content changes nothing.
//
// The crash of the first target is often confirmed while the request already runs exclusively on a second one. Ending that
// run at the confirmation would let the request content onto a third target.
func (tracker *crashTracker) endExclusive(fingerprint core.Fingerprint, grant core.GrantID) {
	if known := tracker.suspicions[fingerprint]; known != nil && known.exclusiveGrant == grant {
		known.exclusiveGrant = ""
	}
}

func (tracker *crashTracker) endAllExclusive() {
	for _, known := range tracker.suspicions {
		known.exclusiveGrant = ""
	}
}

// quarantine makes the pool reject the request content from now on.
func (tracker *crashTracker) quarantine(now time.Time, fingerprint core.Fingerprint) {
	if known := tracker.suspicions[fingerprint]; known != nil {
		known.suspectState = suspectState{state: core.SuspectQuarantined, since: now, local: true}
	}
}

// markSuspect makes the request content run exclusively from now on; a quarantined one stays quarantined.
//
// Fingerprint 0 means that the sender knows none; a suspicion of it would apply to all such requests.
func (tracker *crashTracker) markSuspect(now time.Time, fingerprint core.Fingerprint) {
	if fingerprint == 0 {
		return
	}
	known := tracker.suspicions[fingerprint]
	if known == nil {
		if len(tracker.suspicions) >= maxSuspicions {
			return
		}
		known = &suspicion{}
		tracker.suspicions[fingerprint] = known
	}
	if known.state != core.SuspectNone && !known.clearedLocally {
		return
	}
	known.suspectState = suspectState{state: core.SuspectExclusive, since: now, local: true}
	if tracker.targets == 2 {
		known.notBefore = later(known.notBefore, now.Add(twoTargetDelay))
	}
}

// newAffected returns the entry as an affected request, with its current suspect state to restore.
func (tracker *crashTracker) newAffected(entry *entry) affectedRequest {
	affected := affectedRequest{grant: entry.id, fingerprint: entry.fingerprint, exclusive: entry.exclusive}
	if known := tracker.suspicions[entry.fingerprint]; known != nil {
		affected.previous = known.suspectState
	}
	return affected
}

// recordCrash attributes a crash to the requests in flight on the target, unless several targets crash at the same time; it
// returns how many were quarantined.
func (tracker *crashTracker) recordCrash(now time.Time, crash *incident) (quarantined int) {
	for _, request := range crash.affected {
		tracker.markSuspect(now, request.fingerprint)
		tracker.endExclusive(request.fingerprint, request.grant)
		if request.exclusive {
			tracker.quarantine(now, request.fingerprint)
			quarantined++
		}
	}
	tracker.crashes = append(tracker.crashes, crash)
	tracker.exonerateCorrelated(now)
	return quarantined
}

// exonerateCorrelated reverts the suspect states set by crashes of several targets with different request contents within
// correlationWindow.
//
// A request content that was on all of these targets is not exonerated.
func (tracker *crashTracker) exonerateCorrelated(now time.Time) {
	latest := tracker.crashes[0].at
	for _, crash := range tracker.crashes {
		latest = later(latest, crash.at)
	}
	tracker.crashes = slices.DeleteFunc(tracker.crashes, func(crash *incident) bool {
		return latest.Sub(crash.at) > correlationWindow
	})
	crashedTargets := map[core.TargetName]bool{}
	crashesOf := map[core.Fingerprint]int{}
	for _, crash := range tracker.crashes {
		crashedTargets[crash.target] = true
		for fingerprint := range crash.fingerprints() {
			crashesOf[fingerprint]++
		}
	}
	minTargets := tracker.minCorrelated()
	if len(crashedTargets) < minTargets {
		return
	}
	for _, crash := range tracker.crashes {
		for _, request := range crash.affected {
			if hits := crashesOf[request.fingerprint]; hits < len(crashedTargets) {
				tracker.exonerate(now, crash, request, hits)
			}
		}
	}
}

// exonerate reverts the suspect state of a request, but not for crashes later than correlationWindow after its first
// exoneration: two request contents that crash targets at the same time would otherwise exonerate each other forever. A
// request content that was on two crashed targets may be one of these, so it waits for the end of that window and then runs
// exclusively.
func (tracker *crashTracker) exonerate(now time.Time, crash *incident, request affectedRequest, hits int) {
	known := tracker.suspicions[request.fingerprint]
	if known == nil {
		return
	}
	if known.exoneratedAt.IsZero() {
		known.exoneratedAt = now
	}
	switch {
	case crash.at.Sub(known.exoneratedAt) > correlationWindow:
	case hits == 1:
		tracker.restore(now, request)
	default:
		known.suspectState = suspectState{state: core.SuspectExclusive, since: now, local: true}
		known.notBefore = known.exoneratedAt.Add(correlationWindow)
	}
}

// minCorrelated returns how many targets must crash to count as a rack failure; a pool of two targets has no third.
func (tracker *crashTracker) minCorrelated() int {
	if tracker.targets == 2 {
		return 2
	}
	return minCorrelatedTargets
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (crash *incident) fingerprints() map[core.Fingerprint]bool {
	fingerprints := make(map[core.Fingerprint]bool, len(crash.affected))
	for _, request := range crash.affected {
		fingerprints[request.fingerprint] = true
	}
	return fingerprints
}

// restore reverts to the suspect state from before a crash.
func (tracker *crashTracker) restore(now time.Time, request affectedRequest) {
	known := tracker.suspicions[request.fingerprint]
	if known == nil {
		return
	}
	if request.previous.state == core.SuspectNone {
		known.clear(now)
		return
	}
	known.suspectState = request.previous
}

// clear ends the suspicion with a time that is newer than the old state, so that other daemons merge it.
func (suspicion *suspicion) clear(now time.Time) {
	if suspicion.state == core.SuspectNone {
		return
	}
	since := later(now, suspicion.since.Add(2*clockTolerance))
	suspicion.suspectState = suspectState{since: since, local: true}
}

// completedExclusively clears a suspect that did not crash the target on which it ran exclusively.
func (tracker *crashTracker) completedExclusively(now time.Time, fingerprint core.Fingerprint) {
	known := tracker.suspicions[fingerprint]
	if known == nil || known.state != core.SuspectExclusive {
		return
	}
	if !known.local {
		known.clearedLocally = true
		return
	}
	known.clear(now)
}

// clearMisattributed clears a suspect to which this pool wrongly attributed a crash.
func (tracker *crashTracker) clearMisattributed(now time.Time, fingerprint core.Fingerprint) {
	if known := tracker.suspicions[fingerprint]; known != nil && known.local {
		known.clear(now)
	}
}

func (tracker *crashTracker) expire(now time.Time) {
	for fingerprint, known := range tracker.suspicions {
		age := now.Sub(known.since)
		if age >= quarantineDuration ||
			(known.state == core.SuspectNone && known.exoneratedAt.IsZero() && age >= clearedRetention) {
			delete(tracker.suspicions, fingerprint)
		}
	}
}

// merge applies a suspect state received from another daemon if it is newer, or more severe and equally old.
func (tracker *crashTracker) merge(now time.Time, received core.Suspect) {
	since := now.Add(-received.Age)
	known := tracker.suspicions[received.Fingerprint]
	if received.Age >= quarantineDuration || (known == nil && len(tracker.suspicions) >= maxSuspicions) {
		return
	}
	if known == nil {
		tracker.suspicions[received.Fingerprint] = &suspicion{suspectState: suspectState{state: received.State, since: since}}
		return
	}
	newer := since.Sub(known.since) > clockTolerance
	moreSevere := received.State > known.state && since.Sub(known.since) >= -clockTolerance
	if newer || moreSevere {
		changed := known.state != received.State
		known.state, known.since = received.State, since
		known.local = known.local && !changed
		known.clearedLocally = known.clearedLocally && !changed
	}
}

// gossiped returns the suspects for a heartbeat, quarantined ones first, then the newest; a cleared one has SuspectNone.
func (tracker *crashTracker) gossiped(now time.Time) []core.Suspect {
	suspects := make([]core.Suspect, 0, len(tracker.suspicions))
	for fingerprint, known := range tracker.suspicions {
		age := max(0, now.Sub(known.since))
		suspects = append(suspects, core.Suspect{Fingerprint: fingerprint, State: known.state, Age: age})
	}
	slices.SortFunc(suspects, func(a, b core.Suspect) int {
		return cmp.Or(cmp.Compare(b.State/core.SuspectQuarantined, a.State/core.SuspectQuarantined),
			cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return suspects[:min(len(suspects), maxGossiped)]
}
