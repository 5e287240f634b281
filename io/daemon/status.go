package daemon

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/fresh"
)

// Status is a daemon's view of the fleet, encoded as JSON under the names of the fields.
type Status struct {
	Daemon      string
	Member      string
	Address     string
	DataCentre  string
	Leaving     bool
	Revision    int64
	Confirmed   bool
	StoreOutage bool // two thirds of the daemons report that the store does not respond
	Active      int64
	Members     []MemberStatus
	DataCentres []DataCentreStatus
	Pools       []PoolStatus // pools that this daemon owns

	ServiceLevels []ServiceLevelStatus
}

// ServiceLevelStatus is a service level as declared.
type ServiceLevelStatus struct {
	Pipeline  string
	Objective float64
	PeriodMs  int64
}

// MemberStatus is a daemon as another one sees it.
type MemberStatus struct {
	Member     string
	Address    string
	DataCentre string
	Leaving    bool
	Live       bool
}

// DataCentreStatus is a data centre as declared.
type DataCentreStatus struct {
	Name   string
	Region string
	State  string
}

// PoolStatus is a pool as its owner sees it.
type PoolStatus struct {
	Pool    string
	Free    int
	Waiting int
	WaitMs  int64
	Targets []TargetStatus
}

// TargetStatus is a target as the owner of its pool sees it; Foreign counts work that the owner did not grant.
type TargetStatus struct {
	Target   string
	State    string
	Usable   bool
	Cold     bool
	Limit    int
	Capacity int
	Running  int
	Foreign  int
}

// Status implements entry.Daemon.
func (daemon *Daemon) Status(ctx context.Context) (any, error) {
	var status Status
	err := daemon.loop.Do(ctx, func() { status = daemon.control.status() })
	return status, err
}

func (control *control) status() Status {
	now := control.now()
	daemon := control.daemon
	status := Status{
		Daemon:      daemon.options.Name,
		Member:      string(daemon.id),
		Address:     daemon.address,
		DataCentre:  daemon.options.DataCentre,
		Leaving:     control.leaving,
		Revision:    int64(control.config.Revision()),
		Confirmed:   control.tracker.Confirmed(now, control.config.Revision()),
		StoreOutage: fresh.Unexpired(control.tracker.OutageUntil(now), now),
		Active:      daemon.activeRequests.Load(),
		Members:     control.memberStatus(now),
	}
	for _, object := range control.config.Objects() {
		if dataCentre := object.DataCentre; dataCentre != nil {
			row := DataCentreStatus{Name: dataCentre.Name, Region: dataCentre.Region, State: dataCentre.State.String()}
			status.DataCentres = append(status.DataCentres, row)
		}
	}
	for _, id := range control.config.Pools() {
		if owned := control.pools[id]; owned != nil {
			status.Pools = append(status.Pools, control.poolStatus(now, owned))
		}
	}
	for _, level := range serviceLevels(control.config) {
		row := ServiceLevelStatus{Pipeline: level.Pipeline, Objective: level.Objective, PeriodMs: level.Period.Milliseconds()}
		status.ServiceLevels = append(status.ServiceLevels, row)
	}
	return status
}

func (control *control) memberStatus(now time.Time) []MemberStatus {
	live := map[core.MemberID]bool{}
	for _, id := range control.view.Live(now) {
		live[id] = true
	}
	var rows []MemberStatus
	for _, record := range control.view.Known() {
		rows = append(rows, MemberStatus{
			Member:     string(record.ID),
			Address:    record.Address,
			DataCentre: record.DataCentre,
			Leaving:    control.view.Leaving(record.ID),
			Live:       live[record.ID],
		})
	}
	return rows
}

func (control *control) poolStatus(now time.Time, owned *ownedPool) PoolStatus {
	summary := owned.dispatcher.Summary(now)
	row := PoolStatus{
		Pool:    owned.id.String(),
		Free:    summary.Free,
		Waiting: summary.Waiting,
		WaitMs:  summary.ExpectedWait.Milliseconds(),
	}
	for _, target := range owned.dispatcher.Status(now) {
		declared, _ := control.config.Target(target.Name)
		row.Targets = append(row.Targets, TargetStatus{
			Target:   string(target.Name),
			State:    declared.State.String(),
			Usable:   target.Usable,
			Cold:     target.Cold,
			Limit:    target.Limit,
			Capacity: target.Capacity,
			Running:  target.Running,
			Foreign:  target.External,
		})
	}
	return row
}

// Ready implements entry.Daemon.
func (daemon *Daemon) Ready() error {
	snapshot := daemon.snapshot.Load()
	if snapshot.leaving {
		return core.Errorf(core.Unavailable, "daemon is leaving").WithRetryAfter(time.Second)
	}
	return snapshot.confirmed(daemon.clock.Now())
}
