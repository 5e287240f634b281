package pool

import (
	"cmp"
	"slices"

	"catkincove/core"
)

// LearnedLimit is the concurrency limit that an owner learned for a target and that the next owner can restore.
type LearnedLimit struct {
	Target  core.TargetName
	StartID string // start ID of the target's run to which the limit applies
	Limit   int
}

// LearnedLimits returns the limits that are above the cold limit, sorted by target.
func (dispatcher *Dispatcher) LearnedLimits() []LearnedLimit {
	var list []LearnedLimit
	for name, target := range dispatcher.targets {
		if target.startID != "" && target.limit > target.cold {
			list = append(list, LearnedLimit{Target: name, StartID: target.startID, Limit: target.limit})
		}
	}
	slices.SortFunc(list, func(a, b LearnedLimit) int { return cmp.Compare(a.Target, b.Target) })
	return list
}

// RestoreLimits restores the limits that the former owner learned for targets that have not restarted or failed since.
//
// Work stops during the handover gap, so short requests have ended when the new owner first sees the load. Without the
// restored limits, a warm pool began at its cold limits after each change of owner and rejected most of its load.
func (dispatcher *Dispatcher) RestoreLimits(list []LearnedLimit) {
	for _, learned := range list {
		target := dispatcher.targets[learned.Target]
		if target == nil || !target.neverReset {
			continue
		}
		target.restored = learned
		dispatcher.applyRestored(target)
	}
}

// applyRestored raises the limit to the restored one once the target is known to be in the same run.
func (dispatcher *Dispatcher) applyRestored(target *target) {
	if !target.neverReset || target.startID == "" || target.startID != target.restored.StartID {
		return
	}
	target.limit = max(target.limit, min(target.restored.Limit, target.capacity))
	target.warmUpCompletions = target.warmAfter
	target.restored = LearnedLimit{}
	dispatcher.updateSums(target)
}
