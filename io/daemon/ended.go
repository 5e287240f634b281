package daemon

import (
	"slices"

	"catkincove/core"
)

// endedRefusals is how many heartbeats in a row must find nothing listening before the member's process counts as ended.
// A daemon listens before it registers; the second one covers a listener that is just being replaced.
const endedRefusals = 2

// onRefused notes a heartbeat that the member's VM refused: the VM lives, and no process listens at the address.
func (control *control) onRefused(id core.MemberID) {
	if slices.Contains(control.tracker.Members(), id) {
		control.refusals[id]++
	}
}

// refused returns the members whose processes have most likely ended: their records have lapsed and their VMs refuse
// connections. When half of the daemons are killed at once, their VMs stay on the platform's list. A silent member, which
// may be cut off or paused, is never among them.
func (control *control) refused(live []core.MemberID) []core.MemberID {
	var refused []core.MemberID
	for id, count := range control.refusals {
		switch {
		case !slices.Contains(control.tracker.Members(), id):
			delete(control.refusals, id)
		case count >= endedRefusals && !slices.Contains(live, id):
			refused = append(refused, id)
		}
	}
	return refused
}
