package batch

import (
	"cmp"
	"slices"
	"time"
)

// TargetLoad is what occupies a target, as the pool accounts for it.
type TargetLoad struct {
	ID               string
	Calls            int
	FreeBytes        int64 // of its result capacity
	ReservedBytes    int64 // for the results of its calls
	RetainedBytes    int64 // of results that it retains
	UnaccountedBytes int64 // of results that the pool does not know
	Slowdown         float64
	ToldPace         float64 // how long work takes at the target, as it has told; 0 means that it has told nothing that still holds
	ToldMilliseconds int64   // age of what it has told
	ExternalCalls    int     // calls of others that it had then
	Usable           bool
}

// Load returns the number of queued pieces and the load of the first targets by ID, for the log.
func (pool *Pool) Load(now time.Time, maxTargets int) (queued int, targets []TargetLoad) {
	for _, worker := range pool.workers {
		told, age, fresh := worker.told.Told(now)
		external := worker.told.Others()
		if !fresh {
			told.Pace, age, external = 0, 0, 0
		}
		targets = append(targets, TargetLoad{
			ID: worker.ID, Calls: worker.inFlight, FreeBytes: worker.freeResultBytes(now, pool.spec), ReservedBytes: worker.reservedBytes,
			RetainedBytes: worker.retainedBytes, UnaccountedBytes: worker.unaccounted.at(now),
			Slowdown: worker.currentSlowdown(now), ToldPace: told.Pace, ToldMilliseconds: age.Milliseconds(), ExternalCalls: external, Usable: worker.usable(now) && pool.paceWait(now, worker) == 0,
		})
	}
	slices.SortFunc(targets, func(a, b TargetLoad) int { return cmp.Compare(a.ID, b.ID) })
	return len(pool.queue), targets[:min(len(targets), maxTargets)]
}
