package order

import (
	"maps"
	"slices"
	"time"

	"catkincove/core"
)

// Plan returns the orders to send now; leaseUntil is when the lease of this owner may end.
//
// The caller checks MaySend immediately before it writes the first byte of each.
func (planner *Planner) Plan(now, leaseUntil time.Time) []Command {
	if !planner.mayOrder(now, leaseUntil) {
		return nil
	}
	planner.bucket.fill(now, planner.settings)
	var commands []Command
	for _, name := range slices.Sorted(maps.Keys(planner.targets)) {
		target := planner.targets[name]
		if target.pending != nil && !now.Before(target.quietTo) {
			target.giveUp(target.quietTo)
		}
		if !target.isReady(now) {
			continue
		}
		order, found := planner.next(now, target)
		if !found {
			continue
		}
		command := Command{Target: name, Order: order}
		target.pending = &command
		target.quietTo = now.Add(order.Timeout)
		commands = append(commands, command)
	}
	return commands
}

// MaySend reports whether a planned command may still be sent; a daemon that was paused finds that it may not.
func (planner *Planner) MaySend(now, leaseUntil time.Time, command Command) bool {
	return command.Order.Fencing == planner.fencing && planner.mayOrder(now, leaseUntil)
}

func (planner *Planner) mayOrder(now, leaseUntil time.Time) bool {
	if !planner.owned || core.Elapsed(now, planner.first()) > 0 {
		return false
	}
	needed := time.Duration(0)
	if !planner.settings.ChecksFencing {
		// The order arrives within the lease; the next holder waits for the time that the target may work on it.
		needed = planner.settings.transit()
	}
	return remaining(now, leaseUntil) > needed
}

// first is the time of the first order.
func (planner *Planner) first() time.Time {
	if planner.settings.ChecksFencing {
		return planner.opened
	}
	return planner.opened.Add(planner.settings.longest())
}

// remaining returns the smaller of the monotonic and the wall-clock time left.
func remaining(now, until time.Time) time.Duration {
	return -core.Elapsed(until, now)
}

// isReady reports whether the target is known by a fresh report and has no order in progress.
func (target *target) isReady(now time.Time) bool {
	if target.taken.IsZero() || now.Sub(target.taken) > copyFresh {
		return false
	}
	return target.pending == nil && !now.Before(target.quietTo)
}

// next returns the next order for a target: unloads first, since they make room.
func (planner *Planner) next(now time.Time, target *target) (core.Order, bool) {
	for _, label := range target.reported {
		if target.known[label] && !target.wants(label) && planner.mayUnload(now, label) {
			name, version := splitLabel(label)
			action := core.UnloadModel
			if target.adapters[label] {
				action = core.UnloadAdapter
			}
			return planner.order(action, name, version), true
		}
	}
	for _, model := range target.wanted {
		if slices.Contains(target.reported, model.Label()) || !planner.bucket.take(model.Bytes, planner.settings) {
			continue
		}
		action := core.LoadModel
		if model.Adapter {
			action = core.LoadAdapter
		}
		return planner.order(action, model.Name, model.Version), true
	}
	return core.Order{}, false
}

func (planner *Planner) order(action core.OrderAction, name, version string) core.Order {
	return core.Order{
		Action: action, Name: name, Version: version,
		Fencing: planner.fencing, Timeout: planner.settings.longest(),
	}
}

func (target *target) wants(label string) bool {
	return slices.ContainsFunc(target.wanted, func(model Model) bool { return model.Label() == label })
}

// mayUnload reports whether another copy is left, or the model is not in use.
func (planner *Planner) mayUnload(now time.Time, label string) bool {
	if !planner.inUse[label] {
		return true
	}
	copies := 0
	for _, target := range planner.targets {
		if target.holds(now, label) {
			copies++
		}
	}
	return copies > 1
}

// holds reports whether a fresh report shows the model and no order that may remove it is in progress.
func (target *target) holds(now time.Time, label string) bool {
	if now.Sub(target.taken) > copyFresh || !slices.Contains(target.reported, label) {
		return false
	}
	unloading := target.pending != nil && labelOf(target.pending.Order) == label
	return !unloading && target.taken.After(target.unsure[label])
}

func labelOf(order core.Order) string {
	return Model{Name: order.Name, Version: order.Version}.Label()
}
