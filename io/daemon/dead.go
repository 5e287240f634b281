package daemon

import (
	"slices"

	"catkincove/core"
)

// presumedDeadRefusals is the number of consecutive refused heartbeats after which the member's process is presumed dead.
// A daemon listens before it registers; the second refusal covers a listener that is just being replaced.
const presumedDeadRefusals = 2

// onConnectionRefused counts a heartbeat that the member's VM refused: the VM is up, but no process listens at the address.
func (control *control) onConnectionRefused(id core.MemberID) {
	if slices.Contains(control.tracker.Members(), id) {
		control.connectionRefusals[id]++
	}
}

// presumedDead returns the members whose processes have most likely terminated: their records have expired and their VMs
// refuse connections.
//
// The list of VMs alone is not enough: when half of the daemons are killed at once, their VMs stay on it. An unresponsive
// member, which may be isolated or stalled, is never presumed dead.
func (control *control) presumedDead(live []core.MemberID) []core.MemberID {
	var dead []core.MemberID
	for id, count := range control.connectionRefusals {
		switch {
		case !slices.Contains(control.tracker.Members(), id):
			delete(control.connectionRefusals, id)
		case count >= presumedDeadRefusals && !slices.Contains(live, id):
			dead = append(dead, id)
		}
	}
	return dead
}
