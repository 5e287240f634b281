package pool

import (
	"time"

	"catkincove/core"
)

// TargetStatus is the state of one target as its pool's owner sees it.
type TargetStatus struct {
	Name     core.TargetName
	Usable   bool
	Cold     bool // at the cold limit, below its capacity
	Limit    int
	Capacity int
	Running  int // grants in use
	External int // external work, which this owner did not grant
	StartID  string
}

// Status returns the state of all targets, sorted by name.
func (dispatcher *Dispatcher) Status(_ time.Time) []TargetStatus {
	status := make([]TargetStatus, 0, len(dispatcher.order))
	for _, target := range dispatcher.order {
		status = append(status, TargetStatus{
			Name:     target.declared.Name,
			Usable:   target.usable,
			Cold:     target.limit == target.cold && target.limit < target.capacity,
			Limit:    target.limit,
			Capacity: target.capacity,
			Running:  len(target.grants),
			External: target.external,
			StartID:  target.startID,
		})
	}
	return status
}

// Summary returns the free slots, queue length and expected wait of the pool for senders.
func (dispatcher *Dispatcher) Summary(_ time.Time) core.PoolSummary { return dispatcher.summary() }

func (dispatcher *Dispatcher) summary() core.PoolSummary {
	waiting := dispatcher.queue.length + len(dispatcher.isolationQueue)
	summary := core.PoolSummary{Free: max(0, dispatcher.freeSlots-waiting), Waiting: waiting}
	if summary.Free > 0 {
		return summary
	}
	summary.ExpectedWait = dispatcher.waitBehind(dispatcher.queue.work)
	return summary
}

// Counters returns the counts of decisions since the Dispatcher was created.
func (dispatcher *Dispatcher) Counters() Counters { return dispatcher.counters }
