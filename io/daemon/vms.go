package daemon

import (
	"context"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/member"
)

const (
	vmListInterval       = 2 * time.Second
	vmListReadsPerSecond = 50 // total over all daemons
)

// vmWatch tracks the platform's list of VMs; the list lags, but a VM that was on it and no longer is has terminated.
type vmWatch struct {
	listed map[string]bool // addresses seen on the list
	absent map[string]int  // consecutive reads without an address that was listed before
}

// terminatedAfterReads is the number of consecutive reads without an address after which its VM counts as terminated; one
// read may return an older copy of the list.
const terminatedAfterReads = 2

// observe applies one read of the list; a list without the daemon's own address is ignored.
func (watch *vmWatch) observe(addresses []string, ownAddress string) {
	if !slices.Contains(addresses, ownAddress) {
		return
	}
	if watch.listed == nil {
		watch.listed, watch.absent = map[string]bool{}, map[string]int{}
	}
	for address := range watch.listed {
		watch.absent[address]++
	}
	for _, address := range addresses {
		watch.listed[address] = true
		delete(watch.absent, address)
	}
}

func (watch *vmWatch) terminated(address string) bool {
	return watch.absent[address] >= terminatedAfterReads
}

// watchVMs removes members whose VMs have terminated. When half of the daemons crash at once, no store quorum is left to
// remove them, and missing heartbeats alone cannot tell a crash from a partition; the platform can.
func (daemon *Daemon) watchVMs(ctx context.Context) error {
	if daemon.options.VMList == "" {
		<-ctx.Done()
		return ctx.Err()
	}
	interval := vmListInterval
	for core.Sleep(ctx, daemon.clock, interval) {
		addresses, err := daemon.listVMs(ctx)
		if err != nil {
			daemon.log.Debug().Err(err).Msg("member: cannot read the list of VMs")
			continue
		}
		err = daemon.loop.Do(ctx, func() {
			daemon.control.onVMList(addresses)
			interval = max(vmListInterval, time.Duration(len(daemon.control.view.Known()))*time.Second/vmListReadsPerSecond)
		})
		if err != nil {
			return err
		}
	}
	return ctx.Err()
}

// onVMList removes members that are neither live in the store nor on the list.
func (control *control) onVMList(addresses []string) {
	control.vmWatch.observe(addresses, control.daemon.address)
	live := control.view.Live(control.now())
	var terminated []core.MemberID
	for _, id := range control.tracker.Members() {
		record, known := control.memberRecords[id]
		if known && !slices.Contains(live, id) && control.vmWatch.terminated(record.Address) {
			terminated = append(terminated, id)
		}
	}
	if len(terminated) == 0 {
		return
	}
	control.tracker.RemoveMembers(terminated)
	for _, id := range terminated {
		delete(control.memberRecords, id)
	}
	control.daemon.log.Info().Int("count", len(terminated)).Msg("member: removed members whose VMs terminated")
	control.reconcile()
}

// updateMemberRecords keeps the records of members that still count in quorums after the view has removed them.
func (control *control) updateMemberRecords() {
	if control.memberRecords == nil {
		control.memberRecords = map[core.MemberID]member.Record{}
	}
	for _, record := range control.view.Known() {
		control.memberRecords[record.ID] = record
	}
	counted := control.tracker.Members()
	for id := range control.memberRecords {
		if !slices.Contains(counted, id) {
			delete(control.memberRecords, id)
		}
	}
}
