package pool

import (
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Tick handles timeouts and expiries; Dispatch returns the resulting replies.
func (dispatcher *Dispatcher) Tick(now time.Time) {
	dispatcher.crashTracker.expire(now)
	for _, target := range dispatcher.order {
		if target.incident != nil && now.Sub(target.incident.at) > incidentTimeout {
			dispatcher.attributeCrash(now, target)
		}
	}
	dispatcher.endEjections(now)
	dispatcher.prechecked.expire(now)
	dispatcher.expireGrants(now)
	for _, entry := range dispatcher.waiting() {
		dispatcher.reviewWaiting(now, entry)
	}
}

func (dispatcher *Dispatcher) expireGrants(now time.Time) {
	for _, entry := range dispatcher.entries {
		if entry.target == nil || !now.After(entry.expires) {
			continue
		}
		dispatcher.returnGrant(now, entry)
		dispatcher.endExclusiveRun(now, entry, core.OutcomeUnsent)
		dispatcher.counters.Expired++
	}
}

func (dispatcher *Dispatcher) reviewWaiting(now time.Time, entry *entry) {
	switch {
	case now.Sub(entry.lastRequested) > queuePollTimeout:
		dispatcher.leaveQueue(entry)
		delete(dispatcher.entries, entry.id)
		dispatcher.counters.Abandoned++
	case dispatcher.isInfeasible(now, entry):
		dispatcher.drop(entry, dispatcher.infeasible(entry))
	default:
		if rejection := dispatcher.checkPool(now, entry); rejection != nil {
			dispatcher.drop(entry, rejection)
		}
	}
}

// mayRecover reports whether the target became unprobed so recently that a load report may make it usable again.
func (target *target) mayRecover(now time.Time) bool {
	return !target.probed && now.Sub(target.probeAfter) < recoveryTimeout && target.reportFailures < maxReportFailures &&
		!target.detached && target.declared.State == config.In
}
