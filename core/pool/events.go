package pool

import (
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Release returns a grant or removes a queue entry; an unknown one is ignored.
func (dispatcher *Dispatcher) Release(now time.Time, release core.Release) {
	entry := dispatcher.entries[release.Grant]
	if entry == nil {
		return
	}
	if entry.target == nil {
		dispatcher.leaveQueue(entry)
		delete(dispatcher.entries, entry.id)
		return
	}
	if isCompleteResponse(release.Outcome) {
		// If the response shows a new start ID, the restart came before this request ran, so the request is not a suspect.
		dispatcher.returnGrant(now, entry)
	}
	dispatcher.observeStartID(now, entry.target, release.StartID, entry.grantedAt)
	if release.Unsent && release.Outcome == core.OutcomeDisconnected {
		dispatcher.connectionRefused(now, entry)
		release.Outcome = core.OutcomeUnsent
	}
	switch release.Outcome {
	case core.OutcomeDisconnected:
		dispatcher.disconnected(now, entry)
	case core.OutcomeDone:
		entry.target.consecutiveFailures = 0
		dispatcher.recordCompletion(now, entry, release)
	case core.OutcomeFailed, core.OutcomeMismatched:
		dispatcher.recordFailure(now, entry.target)
	}
	dispatcher.returnGrant(now, entry)
	if mayStillRun(release.Outcome) {
		// It counts until the next load report.
		entry.target.unconfirmedEnds = append(entry.target.unconfirmedEnds, now)
		dispatcher.updateSums(entry.target)
	}
	dispatcher.endExclusiveRun(now, entry, release.Outcome)
}

// isCompleteResponse reports whether the target gave a complete response.
func isCompleteResponse(outcome core.Outcome) bool {
	return outcome == core.OutcomeDone || outcome == core.OutcomeFailed || outcome == core.OutcomeRejected
}

// mayStillRun reports whether the target may still work on the request.
func mayStillRun(outcome core.Outcome) bool {
	return outcome == core.OutcomeCancelled || outcome == core.OutcomeTimedOut || outcome == core.OutcomeMismatched
}

func (dispatcher *Dispatcher) returnGrant(now time.Time, entry *entry) {
	target := entry.target
	delete(dispatcher.entries, entry.id)
	if _, held := target.grants[entry.id]; !held {
		return
	}
	delete(target.grants, entry.id)
	target.endedGrants = append(target.endedGrants, endedGrant{entry.grantedAt, now})
	if entry.exclusive {
		target.exclusive = false
	}
	dispatcher.updateSums(target)
}

// recordCompletion counts a completed request towards a higher limit; if its first-token time shows that the target went
// cold, it resets the limit instead.
func (dispatcher *Dispatcher) recordCompletion(now time.Time, entry *entry, release core.Release) {
	target := entry.target
	dispatcher.serviceTimes.observe(release.Took, entry.cost)
	if target.observeFirstToken(release.FirstToken) {
		dispatcher.resetLimit(target)
	} else {
		target.recordCompletion()
	}
	if dispatcher.service.Kind == config.Generate && !target.detached {
		for _, block := range entry.prefix {
			dispatcher.index.add(target, block)
		}
	}
	if entry.crashAttributed {
		// It completed on the target whose crash was attributed to it.
		dispatcher.crashTracker.clearMisattributed(now, entry.fingerprint)
	}
	dispatcher.updateSums(target)
}

func (dispatcher *Dispatcher) endExclusiveRun(now time.Time, entry *entry, outcome core.Outcome) {
	unexplained := outcome == core.OutcomeDisconnected && entry.target.incident != nil
	if !entry.exclusive || unexplained {
		return
	}
	dispatcher.crashTracker.endExclusive(entry.fingerprint, entry.id)
	if !entry.crashAttributed && (outcome == core.OutcomeDone || outcome == core.OutcomeFailed) {
		dispatcher.crashTracker.completedExclusively(now, entry.fingerprint)
	}
}

// resetLimit sets the limit of a target back to its cold limit.
func (dispatcher *Dispatcher) resetLimit(target *target) {
	target.resetLimit()
	dispatcher.counters.Resets++
	dispatcher.updateSums(target)
}

// connectionRefused opens an incident for the other requests on the target; a request that sent no byte cannot have crashed
// it.
func (dispatcher *Dispatcher) connectionRefused(now time.Time, entry *entry) {
	target := entry.target
	if entry.crashAttributed || target.detached {
		return
	}
	dispatcher.suspend(now, target)
	target.incident.affected = slices.DeleteFunc(target.incident.affected, func(request affectedRequest) bool {
		return request.grant == entry.id
	})
}

// disconnected opens an incident; the next load report shows whether the target crashed.
func (dispatcher *Dispatcher) disconnected(now time.Time, entry *entry) {
	target := entry.target
	if entry.crashAttributed || target.detached {
		return
	}
	dispatcher.suspend(now, target)
	if entry.exclusive {
		// No pool may run the request content until the next load report shows whether the target crashed, which can take
		// 100 ms: it reached a third target, in another pool, within a millisecond.
		dispatcher.crashTracker.quarantine(now, entry.fingerprint)
	} else {
		dispatcher.crashTracker.markSuspect(now, entry.fingerprint)
	}
}

// suspend makes a target unusable and opens an incident until the next load report shows whether it crashed.
func (dispatcher *Dispatcher) suspend(now time.Time, target *target) {
	dispatcher.resetLimit(target)
	target.requireProbe(now)
	dispatcher.updateSums(target)
	if target.incident == nil {
		target.incident = dispatcher.newIncident(now, target)
	}
}

func (dispatcher *Dispatcher) newIncident(now time.Time, target *target) *incident {
	opened := &incident{target: target.declared.Name, at: now}
	for _, entry := range target.grants {
		opened.affected = append(opened.affected, dispatcher.crashTracker.newAffected(entry))
	}
	return opened
}

// attributeCrash attributes a crash to the requests that were in flight on the target.
func (dispatcher *Dispatcher) attributeCrash(now time.Time, target *target) {
	crash := target.incident
	if crash == nil {
		crash = dispatcher.newIncident(now, target)
	}
	target.incident = nil
	target.crashAttributed = true
	for _, entry := range target.grants {
		entry.crashAttributed = true
	}
	dispatcher.counters.Crashes++
	dispatcher.counters.Quarantined += dispatcher.crashTracker.recordCrash(now, crash)
}

// dismissIncident reverts the suspect states that disconnects caused, because the target has not restarted.
func (dispatcher *Dispatcher) dismissIncident(now time.Time, target *target) {
	for _, request := range target.incident.affected {
		dispatcher.crashTracker.endExclusive(request.fingerprint, request.grant)
		dispatcher.crashTracker.restore(now, request)
	}
	target.incident = nil
}

// observeStartID handles a start ID from a response or a load report; the target had it at observedAt or later.
func (dispatcher *Dispatcher) observeStartID(now time.Time, target *target, startID string, observedAt time.Time) {
	if startID == "" || startID == target.startID || target.detached {
		return
	}
	if target.startID == "" {
		target.startID, target.startIDSeen = startID, now
		return
	}
	if !observedAt.After(target.startIDSeen) {
		// This start ID may be older than the known one.
		return
	}
	target.startID, target.startIDSeen = startID, now
	target.firstTokens = nil
	target.consecutiveFailures, target.ejected = 0, false
	dispatcher.index.clear(target)
	target.cache.sequence = 0
	dispatcher.resetLimit(target)
	if !target.crashAttributed {
		dispatcher.attributeCrash(now, target)
	}
	target.crashAttributed = false
}

// UnprobedTargets returns the targets that stay unusable until a load report succeeds and should be probed immediately.
func (dispatcher *Dispatcher) UnprobedTargets() []core.TargetName {
	var names []core.TargetName
	for _, target := range dispatcher.order {
		if !target.probed {
			names = append(names, target.declared.Name)
		}
	}
	return names
}

// ApplyLoadReport applies a load report of a target; now is when the report was received.
//
// For a distant target, the caller adds the transit time of the report to its age: grants that ended during the transit
// would otherwise count as external work.
func (dispatcher *Dispatcher) ApplyLoadReport(now time.Time, name core.TargetName, report core.LoadReport) {
	target := dispatcher.targets[name]
	reportedAt := now.Add(-report.Age)
	if target == nil || reportedAt.Before(target.lastReportedAt) {
		return
	}
	target.lastReportedAt = reportedAt
	target.reportFailures = 0
	dispatcher.observeStartID(now, target, report.StartID, reportedAt)
	target.crashAttributed = false
	if target.incident != nil && reportedAt.After(target.incident.at) {
		dispatcher.dismissIncident(now, target)
	}
	if report.Capacity > 0 {
		target.capacity = min(max(1, dispatcher.service.Capacity), report.Capacity)
		target.limit = min(target.limit, target.capacity)
	}
	target.observeExternal(reportedAt, report.Running+report.Waiting)
	if reportedAt.After(target.probeAfter) {
		target.seedLimit(report.Running)
		target.probed = true
		dispatcher.applyRestored(target)
	}
	dispatcher.updateSums(target)
}

// LoadReportFailed records that a target returned no load report.
func (dispatcher *Dispatcher) LoadReportFailed(now time.Time, name core.TargetName) {
	target := dispatcher.targets[name]
	if target == nil {
		return
	}
	target.reportFailures++
	if target.incident != nil {
		dispatcher.attributeCrash(now, target)
	}
	if target.reportFailures >= maxReportFailures && target.probed {
		target.requireProbe(now)
	}
	dispatcher.updateSums(target)
}

// LoadReportRefused records that a target refused or reset the connection for a load report: it is down or has restarted.
//
// It gets no work until a report shows which: a target that came back cold after two refused reports was sent as much as
// before its restart, and crashed.
func (dispatcher *Dispatcher) LoadReportRefused(now time.Time, name core.TargetName) {
	if target := dispatcher.targets[name]; target != nil && target.probed {
		target.requireProbe(now)
		dispatcher.resetLimit(target)
	}
	dispatcher.LoadReportFailed(now, name)
}

// ApplyCacheEvents applies events of a target's prompt cache to the prefix index.
func (dispatcher *Dispatcher) ApplyCacheEvents(_ time.Time, name core.TargetName, events []core.CacheEvent) {
	if target := dispatcher.targets[name]; target != nil {
		dispatcher.index.apply(target, events)
	}
}

// CacheSequence returns the sequence number of the last event applied for a target, from which to fetch the next ones; 0 if
// there is none.
func (dispatcher *Dispatcher) CacheSequence(name core.TargetName) int64 {
	if target := dispatcher.targets[name]; target != nil {
		return target.cache.sequence
	}
	return 0
}

// Suspects returns the suspect states to gossip in heartbeats.
func (dispatcher *Dispatcher) Suspects(now time.Time) []core.Suspect {
	return dispatcher.crashTracker.gossiped(now)
}

// MergeSuspects applies suspect states received from other pools and daemons.
func (dispatcher *Dispatcher) MergeSuspects(now time.Time, suspects []core.Suspect) {
	for _, suspect := range suspects {
		dispatcher.crashTracker.merge(now, suspect)
	}
}
