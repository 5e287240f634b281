package order

import (
	"maps"
	"slices"
	"time"

	"catkincove/core"
)

// Plan returns the commands to send now; leaseUntil is the earliest time at which the lease of this owner may expire.
//
// The caller checks MaySend immediately before it writes the first byte of each command.
func (planner *Planner) Plan(now, leaseUntil time.Time) []Command {
	if !planner.canSend(now, leaseUntil) {
		return nil
	}
	planner.bucket.fill(now, planner.settings)
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(planner.targets)) {
		target := planner.targets[name]
		if target.pending != nil && !now.Before(target.blockedUntil) {
			target.abandonPending(target.blockedUntil)
		}
		if !target.isReady(now) {
			continue
		}
		order, found := planner.nextOrder(now, target)
		if !found {
			continue
		}
		planner.commands++
		command := Command{Target: name, Order: order, number: planner.commands}
		target.pending = &command
		target.blockedUntil = now.Add(order.Timeout)
		commands = append(commands, command)
	}
	return commands
}

// MaySend reports whether a planned command may still be sent, which is false when the process stalled past the lease.
func (planner *Planner) MaySend(now, leaseUntil time.Time, command Command) bool {
	return command.Order.Fencing == planner.fencing && planner.canSend(now, leaseUntil)
}

func (planner *Planner) canSend(now, leaseUntil time.Time) bool {
	if !planner.owned || core.Elapsed(now, planner.firstSendTime()) > 0 {
		return false
	}
	required := time.Duration(0)
	if !planner.settings.ChecksFencing {
		// The order must arrive before the lease expires; the next owner waits for the time that the target may execute it.
		required = planner.settings.maxTransit()
	}
	return remaining(now, leaseUntil) > required
}

// firstSendTime returns the time from which this owner may send orders.
func (planner *Planner) firstSendTime() time.Time {
	if planner.settings.ChecksFencing {
		return planner.ownedSince
	}
	return planner.ownedSince.Add(planner.settings.maxDuration())
}

// remaining returns the time left until the given time, by the monotonic or the wall clock, whichever is smaller.
func remaining(now, until time.Time) time.Duration {
	return -core.Elapsed(until, now)
}

// isReady reports whether the target has a recent load report and no order that it may still be executing.
func (target *target) isReady(now time.Time) bool {
	if target.reportedAt.IsZero() || now.Sub(target.reportedAt) > maxReportAge {
		return false
	}
	return target.pending == nil && !now.Before(target.blockedUntil)
}

// nextOrder returns the next order for a target: unloads first, since they free memory for loads.
func (planner *Planner) nextOrder(now time.Time, target *target) (core.Order, bool) {
	for _, label := range target.reported {
		if target.managed[label] && !target.isDesired(label) && planner.mayUnload(now, label) {
			name, version := splitLabel(label)
			action := core.UnloadModel
			if target.adapters[label] {
				action = core.UnloadAdapter
			}
			return planner.newOrder(action, name, version), true
		}
	}
	for _, model := range target.desired {
		if slices.Contains(target.reported, model.Label()) || !planner.bucket.take(model.Bytes, planner.settings) {
			continue
		}
		action := core.LoadModel
		if model.Adapter {
			action = core.LoadAdapter
		}
		return planner.newOrder(action, model.Name, model.Version), true
	}
	return core.Order{}, false
}

func (planner *Planner) newOrder(action core.OrderAction, name, version string) core.Order {
	return core.Order{
		Action: action, Name: name, Version: version,
		Fencing: planner.fencing, Timeout: planner.settings.maxDuration(),
	}
}

func (target *target) isDesired(label string) bool {
	return slices.ContainsFunc(target.desired, func(model Model) bool { return model.Label() == label })
}

// mayUnload reports whether the model is not in use or another copy of it remains.
func (planner *Planner) mayUnload(now time.Time, label string) bool {
	if !planner.inUse[label] {
		return true
	}
	copies := 0
	for _, target := range planner.targets {
		if target.hasCopy(now, label) {
			copies++
		}
	}
	return copies > 1
}

// hasCopy reports whether a recent load report lists the model and no order that may unload it is in progress.
func (target *target) hasCopy(now time.Time, label string) bool {
	if now.Sub(target.reportedAt) > maxReportAge || !slices.Contains(target.reported, label) {
		return false
	}
	unloading := target.pending != nil && labelOf(target.pending.Order) == label
	return !unloading && target.reportedAt.After(target.uncertainUntil[label])
}

func labelOf(order core.Order) string {
	return Model{Name: order.Name, Version: order.Version}.Label()
}
