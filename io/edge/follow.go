package edge

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/mirror"
	"catkincove/core/place"
)

const (
	followRetry   = 250 * time.Millisecond // between two tries to reach the store
	peerCopyEvery = 300 * time.Millisecond // between two copies from peers while the store is away
)

// follower keeps the copy of the keys under one prefix.
type follower struct {
	prefix string
	copy   *mirror.Copy

	mutex  sync.Mutex
	stale  bool               // the keys have to be listed before they are watched
	cancel context.CancelFunc // ends the present watch
}

// distrust makes the follower list its keys again.
func (follower *follower) distrust() {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	follower.stale = true
	if follower.cancel != nil {
		follower.cancel()
	}
}

// followAll keeps the copies of the operator's, the targets' and the daemons' keys.
func (daemon *Daemon) followAll(ctx context.Context) error {
	control := &daemon.control
	followers := []*follower{
		{prefix: daemon.dialect.RoutingPrefix(), copy: &control.routes, stale: true},
		{prefix: daemon.dialect.TargetPrefix(), copy: &control.entries, stale: true},
		{prefix: core.MemberPrefix, copy: &control.members, stale: true},
	}
	// What one watch has missed, the others may have missed as well: they wait longer for their next change.
	distrustAll := func() {
		for _, follower := range followers {
			follower.distrust()
		}
	}
	var group sync.WaitGroup
	for _, follower := range followers {
		group.Go(func() { daemon.follow(ctx, follower, distrustAll) })
	}
	group.Go(func() { daemon.copyFromPeers(ctx) })
	group.Wait()
	return ctx.Err()
}

// follow lists the keys and then watches them; a watch that fails goes on from where it was, unless the store has
// forgotten that history.
func (daemon *Daemon) follow(ctx context.Context, follower *follower, distrustAll func()) {
	for ctx.Err() == nil {
		watchCtx, stale := follower.begin(ctx)
		if stale {
			if err := daemon.list(ctx, follower); err != nil {
				follower.distrust()
				daemon.lost(follower.prefix, follower.copy, err)
				core.Pause(ctx, daemon.clock, followRetry)
				continue
			}
		}
		err := daemon.watch(watchCtx, follower)
		switch {
		case watchCtx.Err() != nil: // the daemon ends, or the keys are to be listed again
		case errors.Is(err, core.ErrCompacted):
			daemon.log.Warn().Str("Event", "HistoryLost").Str("Prefix", follower.prefix).Err(err).Msg("all keys are listed again")
			distrustAll()
		case err != nil:
			daemon.lost(follower.prefix, follower.copy, err)
			core.Pause(ctx, daemon.clock, followRetry)
		}
	}
}

// begin returns the context of the next watch, and whether the keys have to be listed before.
func (follower *follower) begin(ctx context.Context) (context.Context, bool) {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	if follower.cancel != nil {
		follower.cancel()
	}
	watchCtx, cancel := context.WithCancel(ctx)
	stale := follower.stale
	follower.cancel, follower.stale = cancel, false
	return watchCtx, stale
}

func (daemon *Daemon) list(ctx context.Context, follower *follower) error {
	snapshot, err := daemon.store.List(ctx, follower.prefix)
	if err != nil {
		return err
	}
	daemon.do(func() {
		daemon.returned(follower.prefix, follower.copy)
		follower.copy.Replace(daemon.clock.Now(), snapshot)
		daemon.changed()
	})
	return nil
}

func (daemon *Daemon) watch(ctx context.Context, follower *follower) error {
	var after core.Revision
	daemon.do(func() { after = follower.copy.Revision() })
	events, err := daemon.store.Watch(ctx, follower.prefix, after)
	if err != nil {
		return err
	}
	for event := range events {
		if event.Err != nil {
			return event.Err
		}
		daemon.do(func() {
			daemon.returned(follower.prefix, follower.copy)
			follower.copy.Apply(daemon.clock.Now(), event)
			if len(event.Puts)+len(event.Deletes) > 0 {
				daemon.changed()
			}
		})
	}
	return ctx.Err()
}

func (daemon *Daemon) lost(prefix string, copy *mirror.Copy, err error) {
	daemon.do(func() {
		if !copy.Out() {
			daemon.metrics.storeLost.Add(1)
			daemon.log.Warn().Str("Event", "StoreLost").Str("Prefix", prefix).Int64("Revision", int64(copy.Revision())).Err(err).Msg("the copy ages")
		}
		copy.Lost()
	})
}

// returned must run on the loop.
func (daemon *Daemon) returned(prefix string, copy *mirror.Copy) {
	if copy.Out() {
		daemon.log.Info().Str("Event", "StoreReturned").Str("Prefix", prefix).Int64("Revision", int64(copy.Revision())).Msg("the copy is kept current again")
	}
	copy.Returned(daemon.clock.Now())
}

// copyFromPeers asks other daemons for their copies while the store does not answer this one: the store may turn single
// machines away while operators go on changing what it holds.
func (daemon *Daemon) copyFromPeers(ctx context.Context) {
	for core.Pause(ctx, daemon.clock, peerCopyEvery) {
		var out bool
		var since [3]core.Revision
		var addresses []string
		daemon.do(func() {
			copies := daemon.copies()
			for i, copy := range copies {
				out = out || copy.Out()
				since[i] = copy.Revision()
			}
			addresses = daemon.peerAddresses()
		})
		if !out || len(addresses) == 0 {
			continue
		}
		snapshots, err := daemon.fetchCopies(ctx, addresses[0], since)
		if err != nil {
			daemon.metrics.peerErrors.Add(1)
			continue
		}
		daemon.do(func() {
			for i, copy := range daemon.copies() {
				if copy.Out() && snapshots[i].Revision > copy.Revision() && copy.Replace(daemon.clock.Now(), snapshots[i]) {
					daemon.changed()
				}
			}
		})
	}
}

// copies returns the copies in the order in which peers exchange them; it must run on the loop.
func (daemon *Daemon) copies() [3]*mirror.Copy {
	return [3]*mirror.Copy{&daemon.control.routes, &daemon.control.entries, &daemon.control.members}
}

// changed posts one rebuild of the view for any number of changes; it must run on the loop.
func (daemon *Daemon) changed() {
	if daemon.control.rebuild {
		return
	}
	daemon.control.rebuild = true
	daemon.loop.Post(func() {
		daemon.control.rebuild = false
		daemon.rebuildView()
	})
}

func (daemon *Daemon) rebuildView() {
	now := daemon.clock.Now()
	before := daemon.view.Load()
	next := &view{
		routing: before.routing, targets: map[string][]place.Target{}, addresses: map[string]bool{}, known: map[string]string{}, zones: map[string]string{},
	}
	evacuated := map[string]bool{}
	for _, entry := range daemon.control.routes.Entries(now) {
		if zone, is := daemon.dialect.EvacuatedZone(entry.Key); is {
			evacuated[zone] = true
			continue
		}
		if entry.ModRevision <= daemon.control.routingRevision {
			continue
		}
		routing, is, err := daemon.dialect.DecodeRouting(entry.Key, entry.Value)
		switch {
		case !is:
		case err != nil:
			daemon.log.Error().Str("Event", "RoutingRejected").Int64("Revision", int64(entry.ModRevision)).Err(err).Msg("the routing in force stays")
		case routing.Version > before.routing.Version || !before.routing.Known():
			daemon.control.routingRevision = entry.ModRevision
			next.routing = routing
			daemon.log.Info().Str("Event", "RoutingChanged").Int64("Version", routing.Version).Int64("Revision", int64(entry.ModRevision)).Msg("routing in force")
		}
	}
	daemon.rebuildTargets(now, next, evacuated)
	daemon.view.Store(next)
	daemon.rebuildMembers(now)
	daemon.refreshPools(next)
}

func (daemon *Daemon) rebuildTargets(now time.Time, next *view, evacuated map[string]bool) {
	present := map[string]bool{}
	entries := daemon.control.entries.Entries(now)
	slices.SortFunc(entries, func(a, b core.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, entry := range entries {
		target, err := daemon.decodeTarget(entry)
		if err != nil {
			continue
		}
		present[target.ID] = true
		run, current := daemon.control.registry.note(now, target, entry.ModRevision)
		if !current {
			continue
		}
		next.known[target.ID] = target.Service
		next.addresses[target.Address] = true
		next.zones[target.Address] = target.Zone
		if run.draining || evacuated[target.Zone] {
			continue
		}
		service := next.routing.Services[target.Service]
		next.targets[target.Service] = append(next.targets[target.Service], place.Target{
			ID: target.ID, Address: target.Address, Zone: target.Zone, Born: run.born,
			ColdUntil: run.cold, ColdRate: service.ColdRate, MaxConnections: service.MaxConnections,
		})
	}
	daemon.control.registry.forget(present)
}

// decodeTarget decodes a registration once for each revision.
func (daemon *Daemon) decodeTarget(entry core.Entry) (core.TargetEntry, error) {
	if known, found := daemon.control.decoded[entry.Key]; found && known.revision == entry.ModRevision {
		return known.target, known.err
	}
	target, err := daemon.dialect.DecodeTarget(entry.Key, entry.Value)
	if err != nil {
		daemon.log.Warn().Str("Event", "RegistrationIgnored").Str("Key", entry.Key).Int64("Revision", int64(entry.ModRevision)).Err(err).Msg("names no target to use")
	}
	if daemon.control.decoded == nil || len(daemon.control.decoded) > 4*len(daemon.view.Load().known)+1000 {
		daemon.control.decoded = map[string]decodedTarget{}
	}
	daemon.control.decoded[entry.Key] = decodedTarget{revision: entry.ModRevision, target: target, err: err}
	return target, err
}

type decodedTarget struct {
	revision core.Revision
	target   core.TargetEntry
	err      error
}
