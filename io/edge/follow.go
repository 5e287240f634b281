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
	allKeys       = ""                     // the prefix of all keys
	peerCopyEvery = 300 * time.Millisecond // between two copies from peers while the store is away
)

// followAll keeps the copies of the operator's, the targets' and the daemons' keys.
func (daemon *Daemon) followAll(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { daemon.follow(ctx) })
	group.Go(func() { daemon.copyFromPeers(ctx) })
	group.Wait()
	return ctx.Err()
}

// follow lists all keys and then watches them; a watch that fails goes on from where it was, unless the store has
// forgotten that history.
//
// One watch serves all prefixes: a waiting watch costs a call, and a quiet one learns late that it has missed changes.
func (daemon *Daemon) follow(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		if !listed {
			snapshot, err := daemon.store.List(ctx, allKeys)
			if err != nil {
				daemon.lost(err)
				core.Pause(ctx, daemon.clock, followRetry)
				continue
			}
			listed = true
			daemon.do(func() { daemon.replace(snapshot) })
		}
		err := daemon.watch(ctx)
		switch {
		case err == nil || ctx.Err() != nil:
		case errors.Is(err, core.ErrCompacted):
			listed = false
			daemon.log.Warn().Str(eventField, eventHistoryLost).Err(err).Msg("all keys are listed again")
		default:
			daemon.lost(err)
			core.Pause(ctx, daemon.clock, followRetry)
		}
	}
}

// prefixes returns the prefixes of the copies, in the order of copies.
func (daemon *Daemon) prefixes() [3]string {
	return [3]string{daemon.dialect.RoutingPrefix(), daemon.dialect.TargetPrefix(), core.MemberPrefix}
}

// replace takes over a listing of all keys; it must run on the loop.
func (daemon *Daemon) replace(snapshot core.Snapshot) {
	daemon.returned()
	for i, prefix := range daemon.prefixes() {
		part := core.Snapshot{Revision: snapshot.Revision}
		for _, entry := range snapshot.Entries {
			if strings.HasPrefix(entry.Key, prefix) {
				part.Entries = append(part.Entries, entry)
			}
		}
		daemon.copies()[i].Replace(daemon.clock.Now(), part)
	}
	daemon.changed()
}

// apply takes over the changes of a watch of all keys; it must run on the loop.
func (daemon *Daemon) apply(event core.WatchEvent) {
	daemon.returned()
	for i, prefix := range daemon.prefixes() {
		part := core.WatchEvent{Revision: event.Revision}
		for _, entry := range event.Puts {
			if strings.HasPrefix(entry.Key, prefix) {
				part.Puts = append(part.Puts, entry)
			}
		}
		for _, key := range event.Deletes {
			if strings.HasPrefix(key, prefix) {
				part.Deletes = append(part.Deletes, key)
			}
		}
		daemon.copies()[i].Apply(daemon.clock.Now(), part)
	}
	if len(event.Puts)+len(event.Deletes) > 0 {
		daemon.changed()
	}
}

func (daemon *Daemon) watch(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var after core.Revision
	daemon.do(func() { after = daemon.control.routes.Revision() })
	events, err := daemon.store.Watch(ctx, allKeys, after)
	if err != nil {
		return err
	}
	for event := range events {
		if event.Err != nil {
			return event.Err
		}
		daemon.do(func() { daemon.apply(event) })
	}
	return ctx.Err()
}

func (daemon *Daemon) lost(err error) {
	daemon.do(func() {
		if !daemon.control.routes.Out() {
			daemon.metrics.storeLost.Add(1)
			daemon.log.Warn().Str(eventField, eventStoreLost).Int64("Revision", int64(daemon.control.routes.Revision())).Err(err).Msg("the copies age")
		}
		for _, copy := range daemon.copies() {
			copy.Lost()
		}
	})
}

// returned must run on the loop.
func (daemon *Daemon) returned() {
	if daemon.control.routes.Out() {
		daemon.log.Info().Str(eventField, eventStoreReturned).Int64("Revision", int64(daemon.control.routes.Revision())).Msg("the copies are kept current again")
	}
	for _, copy := range daemon.copies() {
		copy.Returned(daemon.clock.Now())
	}
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
			daemon.log.Error().Str(eventField, eventRoutingRejected).Int64("Revision", int64(entry.ModRevision)).Err(err).Msg("the routing in force stays")
		case routing.Version > before.routing.Version || !before.routing.Known():
			daemon.control.routingRevision = entry.ModRevision
			next.routing = routing
			daemon.log.Info().Str(eventField, eventRoutingChanged).Int64("Version", routing.Version).Int64("Revision", int64(entry.ModRevision)).Msg("routing in force")
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
		run, current := daemon.control.registry.note(now, target)
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
		daemon.log.Warn().Str(eventField, eventRegistrationIgnored).Str("Key", entry.Key).Int64("Revision", int64(entry.ModRevision)).Err(err).Msg("names no target to use")
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
