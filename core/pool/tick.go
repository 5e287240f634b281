package pool

import (
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Tick handles what happens by the passing of time; Dispatch returns the resulting answers.
func (dispatcher *Dispatcher) Tick(now time.Time) {
	dispatcher.blame.expire(now)
	for _, target := range dispatcher.order {
		if target.incident != nil && now.Sub(target.incident.at) > resolveWithin {
			dispatcher.crash(now, target)
		}
	}
	dispatcher.endRests(now)
	dispatcher.announced.expire(now)
	dispatcher.expireGrants(now)
	for _, entry := range dispatcher.waiting() {
		dispatcher.reviewWaiting(now, entry)
	}
}

func (dispatcher *Dispatcher) expireGrants(now time.Time) {
	for _, entry := range dispatcher.entries {
		if entry.target == nil || !now.After(entry.until) {
			continue
		}
		dispatcher.returnGrant(now, entry)
		dispatcher.clearAlone(now, entry, core.OutcomeUnsent)
		dispatcher.counters.Expired++
	}
}

func (dispatcher *Dispatcher) reviewWaiting(now time.Time, entry *entry) {
	switch {
	case now.Sub(entry.seen) > queuePatience:
		dispatcher.leaveQueue(entry)
		delete(dispatcher.entries, entry.id)
		dispatcher.counters.Abandoned++
	case dispatcher.isLate(now, entry):
		dispatcher.drop(entry, dispatcher.late(entry))
	default:
		if refusal := dispatcher.judgePool(now, entry); refusal != nil {
			dispatcher.drop(entry, refusal)
		}
	}
}

// mayRecover reports whether the target was put out of use so recently that a load report may bring it back.
func (target *target) mayRecover(now time.Time) bool {
	return !target.probed && now.Sub(target.probeAfter) < hopeFor && target.failures < mostReportFailures &&
		!target.detached && target.declared.State == config.In
}
