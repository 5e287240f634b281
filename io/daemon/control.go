package daemon

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/fresh"
	"catkincove/core/lease"
	"catkincove/core/member"
	"catkincove/core/route"
	"catkincove/io/codec"
)

const (
	tickInterval = 100 * time.Millisecond
	// memberCheckTicks is the number of ticks between checks for expired members; with 390 members one check takes 0.4 ms,
	// and changes in the store are applied at once.
	memberCheckTicks = 5
)

// control is the control state; all methods run on the control goroutine.
type control struct {
	daemon      *Daemon
	seed        uint64
	config      config.Config
	tracker     fresh.Tracker
	view        member.View
	keeper      lease.Keeper
	pools       map[core.PoolID]*ownedPool
	owners      map[core.PoolID]owner // immutable, shared with the last snapshot
	membersRead bool                  // the member records have been read from the store or a peer
	leaving     bool
	heartbeats  uint64
	ticks       uint64
	polls       polls

	configChangedAt time.Time // when the configuration last changed
	outage          bool      // an outage quorum existed at the last tick
	hasUnownedPool  bool      // a declared pool has no owner
	hasDeparted     bool      // a member that is no longer live still counts in quorums

	suspects           suspects
	vmWatch            vmWatch
	memberRecords      map[core.MemberID]member.Record // records of all members that count in quorums
	connectionRefusals map[core.MemberID]int           // consecutive heartbeats that found no listener at the address
}

func newControl(daemon *Daemon, seed uint64) control {
	return control{
		daemon:  daemon,
		seed:    seed,
		tracker: fresh.Tracker{Self: daemon.id},
		view: member.View{Self: member.Record{
			ID:         daemon.id,
			Address:    daemon.address,
			DataCentre: daemon.options.DataCentre,
		}},
		keeper:             lease.Keeper{Self: daemon.id, Address: daemon.address},
		pools:              map[core.PoolID]*ownedPool{},
		connectionRefusals: map[core.MemberID]int{},
	}
}

func (control *control) now() time.Time { return control.daemon.clock.Now() }

// onConfig applies changed configuration objects; an object that cannot be decoded keeps its previous state.
func (control *control) onConfig(entries []core.Entry, _ []string, revision core.Revision) {
	objects := make([]config.Object, 0, len(entries))
	for _, entry := range entries {
		object, err := codec.DecodeObject(entry.Value)
		if err != nil {
			control.daemon.log.Error().Err(err).Str("key", entry.Key).Msg("config: cannot decode object")
			continue
		}
		objects = append(objects, object)
	}
	control.config = control.config.With(objects, revision)
	control.configChangedAt = control.now()
	control.tracker.SetRevision(control.config.Revision())
	control.keeper.SetPools(control.now(), control.config.Pools())
	control.updateRoutes()
	control.configurePools()
	control.updateOwners()
	control.publish()
	control.daemon.triggerHeartbeat()
	control.daemon.log.Info().Int("objects", len(objects)).Int64("revision", int64(revision)).Msg("config: in force")
}

func (control *control) onMembers(entries []core.Entry, _ core.Revision) {
	for _, err := range control.view.ObserveRecords(control.now(), entries) {
		control.daemon.log.Error().Err(err).Msg("member: cannot decode record")
	}
	control.membersRead = true
	control.refreshMembers()
	control.updateMemberRecords()
	control.publish()
}

func (control *control) refreshMembers() {
	if !control.membersRead {
		return
	}
	live := control.view.Live(control.now())
	control.tracker.SetPresumedDead(control.presumedDead(live))
	control.tracker.SetMembers(control.now(), live)
	control.tracker.RemoveMembers(control.view.TakeReplaced())
	control.daemon.feed.SetMemberCount(len(live))
	control.hasDeparted = len(control.tracker.Members()) > len(live)
}

func (control *control) onOwners(entries []core.Entry, revision core.Revision) {
	for _, err := range control.keeper.ObserveOwners(control.now(), revision, entries) {
		control.daemon.log.Error().Err(err).Msg("lease: cannot decode owner record")
	}
	control.reconcile()
}

func (control *control) onHeadRead(sentAt time.Time, ok bool, revision core.Revision) {
	if ok {
		control.tracker.ObserveStore(sentAt, control.now(), revision)
	} else {
		control.tracker.ObserveStoreFailure(control.now())
	}
	control.publish()
}

// record returns the member record to publish in the store.
func (control *control) record() core.Put {
	record := control.view.Self.WithLeaving(control.leaving)
	return core.Put{Key: record.Key(), Value: record.Encode()}
}

func (control *control) fleetState(now time.Time) (lease.FleetState, bool) {
	return lease.FleetState{
		Members:          control.view.OwnerCandidates(now),
		OutageUntil:      control.tracker.OutageUntil(now),
		StoreQuorumSince: control.tracker.StoreQuorumSince(now),
		Leaving:          control.leaving,
	}, control.membersRead
}

// tick runs the time-driven work of the control goroutine every tickInterval.
func (daemon *Daemon) tick(ctx context.Context) error {
	for core.Sleep(ctx, daemon.clock, tickInterval) {
		if err := daemon.loop.Do(ctx, daemon.control.onTick); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func (control *control) onTick() {
	now := control.now()
	var outageUntil time.Time
	if control.membersRead {
		outageUntil = control.tracker.OutageUntil(now)
	}
	control.keeper.ObserveOutage(now, outageUntil)
	outage := fresh.Unexpired(outageUntil, now)
	control.view.SetOutage(now, outage)
	control.ticks++
	if outage != control.outage || control.ticks%memberCheckTicks == 0 {
		control.refreshMembers()
	}
	if outage != control.outage {
		control.outage = outage
		control.updateOwners()
	}
	control.updateOwnedPools()
	control.publish()
	for _, pool := range control.pools {
		pool.dispatcher.Tick(now)
		control.dispatch(pool)
		control.collectSuspects(now, pool)
		control.sendOrders(now, pool)
		control.saveLearnedLimits(now, pool)
	}
}

// reconcile applies a change of ownership or members and publishes it.
func (control *control) reconcile() {
	control.updateOwnedPools()
	control.updateOwners()
	control.publish()
}

// updateOwnedPools opens the pools whose ownership has begun and closes those whose ownership has ended.
func (control *control) updateOwnedPools() {
	now := control.now()
	owned := map[core.PoolID]bool{}
	for _, pool := range control.keeper.OwnedPools(now) {
		if token, may := control.keeper.MayGrant(now, pool.Pool); may {
			owned[pool.Pool] = true
			control.openPool(now, pool.Pool, token)
		}
	}
	for id, pool := range control.pools {
		if !owned[id] {
			control.closePool(now, pool)
		}
	}
}

// updateOwners rebuilds the map of owners for the next snapshots.
//
// Rebuilding it for each heartbeat and tick took 9% of the samples of bench.BenchmarkIdleFleet with 525 pools.
func (control *control) updateOwners() {
	owners := make(map[core.PoolID]owner, len(control.config.Pools()))
	for _, pool := range control.config.Pools() {
		if id, address := control.keeper.OwnerOf(pool); id != "" {
			owners[pool] = owner{member: id, address: address}
		}
	}
	control.owners = owners
	control.hasUnownedPool = len(owners) < len(control.config.Pools())
}

// publish replaces the snapshot that the request path reads.
func (control *control) publish() {
	now := control.now()
	// A daemon that does not know the other members would form a quorum by itself.
	var confirmedUntil time.Time
	if control.membersRead {
		confirmedUntil = control.tracker.ConfirmedUntil(now, control.config.Revision())
	}
	control.daemon.snapshot.Store(&snapshot{
		config:         control.config,
		confirmedUntil: confirmedUntil,
		owners:         control.owners,
		leaving:        control.leaving,
	})
}

func (control *control) updateRoutes() {
	limits := control.config.Limits()
	locality := route.Locality{
		DataCentre:       control.daemon.options.DataCentre,
		SameRegionDelay:  limits.SameRegionDelay,
		OtherRegionDelay: limits.OtherRegionDelay,
	}
	if own, found := control.config.DataCentre(locality.DataCentre); found {
		locality.Region = own.Region
	}
	ids := control.config.Pools()
	pools := make([]route.PoolInfo, 0, len(ids))
	for _, id := range ids {
		pools = append(pools, control.poolInfo(id))
	}
	control.daemon.router.Update(locality, pools)
}

func (control *control) poolInfo(id core.PoolID) route.PoolInfo {
	info := route.PoolInfo{ID: id}
	if dataCentre, found := control.config.DataCentre(id.DataCentre); found {
		info.Region = dataCentre.Region
		info.InService = dataCentre.State == config.In
	}
	for _, target := range control.config.PoolTargets(id) {
		if control.config.InService(id, target.Name) {
			info.ReadyTargets++
		}
	}
	return info
}
