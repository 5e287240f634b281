package edge

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/flow"
	"catkincove/core/mirror"
	"catkincove/core/place"
	"catkincove/core/roster"
	"catkincove/io/shift"
)

const (
	storeRetryDelay      = 250 * time.Millisecond // delay between two attempts to reach the store
	largeFleetRetryDelay = time.Second            // storeRetryDelay of a daemon with relays, which retry more often
	allKeys              = ""                     // prefix of all keys
	peerCopyInterval     = 300 * time.Millisecond // interval of copies from peers while the store is unavailable
)

// followAll keeps the copies of the keys of the operator, the targets and the daemons up to date until ctx ends.
func (daemon *Daemon) followAll(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { daemon.follow(ctx) })
	group.Go(func() { daemon.copyFromPeers(ctx) })
	group.Wait()
	return ctx.Err()
}

// follow lists all keys and then watches them; a failed watch resumes at its last revision, unless the store has
// compacted that history. In a large fleet most daemons copy from a relay instead.
//
// One watch serves all prefixes: each open watch costs a call, and one without changes detects late that it has missed
// some.
func (daemon *Daemon) follow(ctx context.Context) {
	listed := false
	var listedAt time.Time
	relays := relays{daemon: daemon}
	for ctx.Err() == nil {
		if listed && relays.follow(ctx) {
			continue
		}
		if !listed {
			if !daemon.list(ctx) {
				continue
			}
			listed, listedAt = true, daemon.clock.Now()
			relays.await(ctx)
			continue
		}
		err := daemon.watch(ctx, &relays)
		switch {
		case err == nil || ctx.Err() != nil:
		case errors.Is(err, core.ErrCompacted):
			listed = false
			daemon.log.Warn().Str(eventField, eventHistoryLost).Err(err).Msg("history compacted by the store; listing all keys again")
			if daemon.clock.Now().Sub(listedAt) < storeRetryDelay {
				core.Sleep(ctx, daemon.clock, relays.retryDelay()) // the listing before did not help
			}
		default:
			daemon.markStoreUnavailable(err)
			core.Sleep(ctx, daemon.clock, relays.retryDelay())
		}
	}
}

// list replaces the copies by a listing of all keys and reports whether it did; after a failure it waits for a moment.
func (daemon *Daemon) list(ctx context.Context) bool {
	question := daemon.ask(ctx)
	snapshot, err := daemon.store.List(question.Context, allKeys)
	question.Cancel()
	if daemon.outdated(question) {
		return false
	}
	if err != nil {
		daemon.markStoreUnavailable(err)
		core.Sleep(ctx, daemon.clock, storeRetryDelay)
		return false
	}
	daemon.do(func() { daemon.replaceCopies(snapshot) })
	daemon.answered(question)
	return true
}

// prefixes returns the key prefixes of the copies, in the order of copies.
func (daemon *Daemon) prefixes() [3]string {
	return [3]string{daemon.dialect.RoutingPrefix(), daemon.dialect.TargetPrefix(), core.WatchPrefix}
}

// replaceCopies replaces the copies by a listing of all keys; it must run on the loop.
func (daemon *Daemon) replaceCopies(snapshot core.Snapshot) {
	daemon.control.storeReadAt, daemon.control.changesFrom = daemon.clock.Now(), fromStore
	daemon.markStoreAvailable()
	before := daemon.control.routes.Revision()
	for i, prefix := range daemon.prefixes() {
		part := core.Snapshot{Revision: snapshot.Revision, Entries: withPrefix(prefix, snapshot.Entries)}
		if copy := daemon.copies()[i]; !daemon.replaceCopy(copy, part) {
			daemon.logRevision(daemon.log.Warn(), snapshot.Revision).Str(eventField, eventListingIgnored).Str("Prefix", prefix).
				Int64("CopyRevision", copy.Revision().Number()).Int64("CopyEpoch", copy.Revision().Epoch()).Msg("the listing is older than the copy; the copy stays")
		}
	}
	if before == 0 || before.Epoch() == snapshot.Revision.Epoch() { // a backup may hold records of quarantines that have ended
		daemon.adoptQuarantines(daemon.clock.Now(), snapshot)
	}
	daemon.adoptOrigins(daemon.clock.Now(), snapshot.Entries)
	daemon.scheduleRebuild()
}

// replaceCopy replaces a copy by a listing and reports whether it did; it must run on the loop.
func (daemon *Daemon) replaceCopy(copy *mirror.Copy, snapshot core.Snapshot) bool {
	before := copy.Revision()
	if !copy.Replace(daemon.clock.Now(), snapshot) {
		return false
	}
	if copy == &daemon.control.routes && before != 0 && before.Epoch() != snapshot.Revision.Epoch() {
		daemon.logRevision(daemon.log.Warn(), snapshot.Revision).Str(eventField, eventStoreRestored).Int64("CopyRevision", before.Number()).Int64("CopyEpoch", before.Epoch()).
			Msg("the store has been restored from a backup; what was known before counts until it is written again")
		daemon.doubtRecords(daemon.clock.Now())
		daemon.requeueOrigins()
	}
	return true
}

// logRevision adds a revision of the store to a log line.
func (daemon *Daemon) logRevision(event *zerolog.Event, revision core.Revision) *zerolog.Event {
	return event.Int64("Revision", revision.Number()).Int64("Epoch", revision.Epoch())
}

// withPrefix returns the entries whose keys have the prefix.
func withPrefix(prefix string, entries []core.Entry) []core.Entry {
	return slices.DeleteFunc(slices.Clone(entries), func(entry core.Entry) bool { return !strings.HasPrefix(entry.Key, prefix) })
}

// apply merges the changes of a watch of all keys into the copies; it must run on the loop.
func (daemon *Daemon) apply(event core.WatchEvent) {
	daemon.control.storeReadAt, daemon.control.changesFrom = daemon.clock.Now(), fromStore
	daemon.markStoreAvailable()
	daemon.adoptOrigins(daemon.clock.Now(), event.Puts)
	changed := false
	for i, prefix := range daemon.prefixes() {
		part := core.WatchEvent{Revision: event.Revision, Puts: withPrefix(prefix, event.Puts)}
		for _, key := range event.Deletes {
			if strings.HasPrefix(key, prefix) {
				part.Deletes = append(part.Deletes, key)
			}
		}
		changed = daemon.copies()[i].Apply(daemon.clock.Now(), part) || changed
	}
	if changed {
		daemon.scheduleRebuild()
	}
}

// watch applies changes of the store until a call fails, a relay takes over or the process was paused.
func (daemon *Daemon) watch(ctx context.Context, relays *relays) error {
	question := daemon.ask(ctx)
	defer question.Cancel()
	var after core.Revision
	daemon.do(func() { after = daemon.control.routes.Revision() })
	daemon.setWatchPace()
	events, err := daemon.store.Watch(question.Context, allKeys, after)
	if err != nil {
		return err
	}
	for event := range events {
		if daemon.outdated(question) {
			return ctx.Err()
		}
		if event.Err != nil {
			return event.Err
		}
		daemon.do(func() { daemon.apply(event) })
		daemon.answered(question)
		if relays.next() != nil {
			return nil
		}
		daemon.setWatchPace()
	}
	return ctx.Err()
}

// setWatchPace shortens the watches of a daemon that others may copy from, so that these know how fresh its copies are, and
// the first watch after a pause, for whose response requests wait. A daemon without a usable relay asks less often, since
// many may be without one.
func (daemon *Daemon) setWatchPace() {
	pacer, ok := daemon.store.(core.WatchPacer)
	if !ok {
		return
	}
	pace := core.WatchPace{}
	daemon.do(func() {
		if daemon.writesOrigins(daemon.clock.Now()) {
			pace.Interval = recordsWatchPause
		}
		if len(daemon.control.peers) < largeFleet {
			return
		}
		pace.Wait = relayWatchWait
		if len(daemon.relayCandidates()) > 0 {
			pace = core.WatchPace{Interval: directWatchInterval}
		}
	})
	if daemon.pauses.Unchecked() != nil {
		pace.Wait = time.Millisecond
	}
	pacer.SetWatchPace(pace)
}

// copyFrom merges the changes since the local copies from another daemon and returns the age of the result. If there
// are no changes, the other daemon waits up to wait before it responds; firstByteTimeout limits the time to its first
// byte.
func (daemon *Daemon) copyFrom(ctx context.Context, address string, wait, firstByteTimeout time.Duration) (copied, error) {
	request := copiesRequest{Generation: messageGeneration, Wait: wait}
	daemon.do(func() {
		for i, copy := range daemon.copies() {
			request.Since[i] = copy.Revision()
		}
	})
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	sentAt := daemon.clock.Now()
	var reply copiesReply
	if err := daemon.callPeerWithin(ctx, firstByteTimeout, address, pathCopies, request, &reply); err != nil {
		return copied{}, err
	}
	result := copied{age: reply.Age, failing: reply.Failing}
	daemon.do(func() {
		now := daemon.clock.Now()
		if result.unordered = reply.isUnordered(daemon.control.routes.Revision()); result.unordered {
			return
		}
		daemon.control.comparedAt = now
		if wait > 0 && !result.areStale() {
			daemon.markStoreAvailable()
		}
		if at := now.Add(-reply.Age); at.After(daemon.control.storeReadAt) {
			daemon.control.storeReadAt = at
		}
		daemon.control.changesFrom = source{daemon: address, generation: reply.Generation}
		for i, copy := range daemon.copies() {
			daemon.mergePart(now, copy, reply.Parts[i])
		}
	})
	if result.unordered {
		return result, nil
	}
	result.age += max(daemon.clock.Now().Sub(sentAt)-wait, 0) // the transit at least, since the other daemon may have waited less
	return result, nil
}

// copied describes the copies of another daemon.
type copied struct {
	age     time.Duration
	failing bool // the store is unavailable to the other daemon

	unordered bool // they are from before a restore of the store, or of a build that does not know epochs, and were left out
}

// areStale reports whether the copies are too old to rely on. The limit is lower for those that only get older, or a daemon that cannot
// reach the store would be left too late.
func (copied copied) areStale() bool {
	return copied.age > maxRelayAge || copied.failing && copied.age > maxFailingRelayAge
}

// mergePart merges a part of another daemon's copies into a local copy; it must run on the loop.
func (daemon *Daemon) mergePart(now time.Time, copy *mirror.Copy, part copyPart) {
	switch {
	case part.Revision <= copy.Revision():
	case part.Whole:
		if daemon.replaceCopy(copy, core.Snapshot{Revision: part.Revision, Entries: part.Puts}) {
			daemon.scheduleRebuild()
		}
	default:
		if copy.Apply(now, core.WatchEvent{Revision: part.Revision, Puts: part.Puts, Deletes: part.Deletes}) {
			daemon.scheduleRebuild()
		}
	}
}

func (daemon *Daemon) markStoreUnavailable(err error) {
	daemon.do(func() {
		if !daemon.control.routes.Unavailable() {
			daemon.metrics.storeOutages.Add(1)
			daemon.logRevision(daemon.log.Warn(), daemon.control.routes.Revision()).Str(eventField, eventStoreLost).Err(err).Msg("store unavailable; the copies are not updated")
		}
		for _, copy := range daemon.copies() {
			copy.MarkUnavailable()
		}
	})
	daemon.pauses.Check(daemon.clock.Now()) // the copies may be used while the store is unavailable
}

// markStoreAvailable marks all copies as kept up to date; it must run on the loop.
func (daemon *Daemon) markStoreAvailable() {
	if daemon.control.routes.Unavailable() {
		daemon.logRevision(daemon.log.Info(), daemon.control.routes.Revision()).Str(eventField, eventStoreReturned).Msg("store available again; the copies are updated")
		daemon.doubtRecords(daemon.clock.Now())
	}
	for _, copy := range daemon.copies() {
		copy.MarkAvailable(daemon.clock.Now())
	}
}

// copyFromPeers copies the routing from a daemon that has had a newer one for a while, and all keys from other daemons while the store is unavailable to this one: the store may reject single VMs
// while operators go on changing its keys.
func (daemon *Daemon) copyFromPeers(ctx context.Context) {
	for core.Sleep(ctx, daemon.clock, peerCopyInterval) {
		daemon.catchUp(ctx)
		var unavailable bool
		var addresses []string
		daemon.do(func() {
			for _, copy := range daemon.copies() {
				unavailable = unavailable || copy.Unavailable()
			}
			addresses = daemon.peerAddresses()
		})
		if !unavailable || len(addresses) == 0 {
			continue
		}
		copied, err := daemon.copyFrom(ctx, addresses[0], 0, relayResponseTimeout)
		switch {
		case err != nil:
			daemon.metrics.peerErrors.Add(1)
		case copied.unordered:
			daemon.copyRoutingInCopies(ctx, addresses[0])
		}
	}
}

// copyList returns the copies as a list; it must run on the loop.
func (daemon *Daemon) copyList() []*mirror.Copy {
	copies := daemon.copies()
	return copies[:]
}

// copies returns the copies in the order in which peers exchange them; it must run on the loop.
func (daemon *Daemon) copies() [3]*mirror.Copy {
	return [3]*mirror.Copy{&daemon.control.routes, &daemon.control.registrations, &daemon.control.live}
}

// scheduleRebuild queues one rebuild of the view for any number of changes, and wakes the requests of other daemons
// that wait for changes; it must run on the loop.
func (daemon *Daemon) scheduleRebuild() {
	if daemon.control.rebuildPosted {
		return
	}
	daemon.control.rebuildPosted = true
	close(daemon.control.copiesChanged)
	daemon.control.copiesChanged = make(chan struct{})
	daemon.loop.Post(func() {
		daemon.control.rebuildPosted = false
		daemon.rebuildView()
	})
}

func (daemon *Daemon) rebuildView() {
	now := daemon.clock.Now()
	previous := daemon.view.Load()
	next := &view{
		routing: previous.routing, routingFrom: previous.routingFrom, targets: map[string][]place.Target{}, addresses: map[string]bool{}, byID: map[string]string{}, services: map[string]string{}, dataCentres: map[string]string{}, runs: map[string]flow.TargetRun{},
	}
	evacuated := map[string]bool{}
	var orders []shift.Order
	for _, entry := range daemon.control.routes.Entries(now) {
		if dataCentre, ok := daemon.dialect.EvacuatedDataCentre(entry.Key); ok {
			evacuated[dataCentre] = true
			continue
		}
		if order, is := daemon.decodeRollout(entry); is {
			orders = append(orders, order)
			continue
		}
		if entry.ModRevision <= daemon.control.routingRevision {
			continue
		}
		routing, is, err := daemon.dialect.DecodeRouting(entry.Key, entry.Value)
		switch {
		case !is:
		case err != nil:
			daemon.logRevision(daemon.log.Error(), entry.ModRevision).Str(eventField, eventRoutingRejected).Err(err).Msg("cannot decode the routing; the one in force stays")
		case routing.Version > previous.routing.Version || !previous.routing.Known():
			daemon.control.routingRevision = entry.ModRevision
			next.routing, next.routingFrom, daemon.control.routingEntry = routing, daemon.control.changesFrom, entry
			next.routingFrom.log(daemon.logRevision(daemon.log.Info(), entry.ModRevision)).Str(eventField, eventRoutingChanged).Int64("Version", routing.Version).
				Dur("CopyAge", now.Sub(daemon.control.storeReadAt)).Msg("new routing in force")
		default:
			// A store that is restored from a backup holds an older version until the operator writes again.
			daemon.control.routingRevision = entry.ModRevision
			daemon.logRevision(daemon.log.Info(), entry.ModRevision).Str(eventField, eventRoutingIgnored).Int64("Version", routing.Version).Int64("VersionInForce", previous.routing.Version).
				Msg("the routing is no newer than the one in force, which stays")
		}
	}
	if offered := daemon.control.offered; offered.routing.Version > next.routing.Version {
		next.routing, next.routingFrom, daemon.control.routingEntry = offered.routing, offered.from, offered.entry
		next.routingFrom.log(daemon.log.Warn()).Str(eventField, eventRoutingChanged).Int64("Version", offered.routing.Version).
			Dur("CopyAge", now.Sub(daemon.control.storeReadAt)).Msg("another daemon has a newer routing than the copies of this one; it is in force")
	}
	daemon.shift.Follow(orders)
	daemon.rebuildTargets(now, next, evacuated)
	daemon.shift.SetTargets(next.targets)
	daemon.view.Store(next)
	daemon.rebuildMembers(now)
	daemon.refreshSenders(next)
}

func (daemon *Daemon) rebuildTargets(now time.Time, next *view, evacuated map[string]bool) {
	present := map[string]bool{}
	daemon.adoptBaselines(now)
	missing := map[string][]place.Target{} // usable targets by service that are no longer registered, perhaps because their leases lapsed
	entries := daemon.control.registrations.Entries(now)
	registrations := make([]roster.Registration, 0, len(entries))
	slices.SortFunc(entries, func(a, b core.Entry) int { return strings.Compare(a.Key, b.Key) })
	for _, entry := range entries {
		target, err := daemon.decodeTarget(entry)
		if err != nil {
			continue
		}
		present[target.ID] = true
		wasDraining := daemon.control.registry.Run(target.ID).Draining
		run, current := daemon.control.registry.Merge(now, target)
		if !current {
			continue
		}
		daemon.control.limits.StartRun(target.ID, run.StartedAt)
		if run.Draining && !wasDraining {
			daemon.logRevision(daemon.log.Info(), entry.ModRevision).Str(eventField, eventTargetLeaves).Str("Target", target.ID).Str("Service", target.Service).
				Dur("CopyAge", now.Sub(daemon.control.storeReadAt)).Msg("the target leaves and gets no new requests")
		}
		registrations = append(registrations, roster.Registration{
			Target: target, Run: run, Created: entry.CreateRevision, Changed: entry.ModRevision, Relayed: daemon.control.registrations.ChangedAt(entry.Key),
			Retained: daemon.control.registrations.Retains(entry.Key),
		})
	}
	daemon.control.registry.RemoveAbsent(now, present)
	before := daemon.view.Load().superseded
	next.superseded, next.contested = roster.Superseded(registrations, before)
	daemon.logSuperseded(before, next.superseded)
	registered := make([]core.TargetEntry, 0, len(registrations))
	for _, registration := range registrations {
		target, run := registration.Target, registration.Run
		registered = append(registered, target)
		if next.superseded[target.ID] != "" {
			continue
		}
		next.services[target.Address] = target.Service
		next.addresses[target.Address] = true
		next.byID[target.ID] = target.Address
		next.dataCentres[target.Address] = target.DataCentre
		next.runs[target.Address] = flow.TargetRun{Target: target.ID, StartedAt: run.StartedAt}
		if run.Draining || evacuated[target.DataCentre] {
			continue
		}
		service := next.routing.Services[target.Service]
		usable := place.Target{
			ID: target.ID, Address: target.Address, DataCentre: target.DataCentre, Version: target.Version, StartedAt: run.StartedAt,
			ColdUntil: run.ColdUntil, ColdRate: service.ColdRate, MaxConnections: service.MaxConnections,
		}
		if registration.Retained {
			missing[target.Service] = append(missing[target.Service], usable)
		} else {
			next.targets[target.Service] = append(next.targets[target.Service], usable)
		}
	}
	for service, targets := range missing {
		// Leases that lapse with the store take most targets of a service. If fewer are missing, they may have left, and the others can serve.
		if len(targets) > len(next.targets[service]) {
			next.targets[service] = append(next.targets[service], targets...)
		}
	}
	for service, targets := range next.targets {
		next.targets[service] = daemon.shift.Usable(service, targets)
	}
	daemon.noteVersions(now, registered)
}

// logSuperseded logs which targets are known to have ended since the view before, and which are used again.
func (daemon *Daemon) logSuperseded(before, now map[string]string) {
	for id, by := range now {
		if before[id] == "" {
			daemon.log.Info().Str(eventField, eventTargetSuperseded).Str("Target", id).Str("By", by).Msg("another target has started at the address of this one, which gets no new requests")
		}
	}
	for id, by := range before {
		if now[id] == "" && daemon.control.registry.Has(id) {
			daemon.log.Warn().Str(eventField, eventTargetReinstated).Str("Target", id).Str("By", by).Msg("the target may be the one at its address after all and gets requests again")
		}
	}
}

// markMisdirected records that the target at the address of a registered one has said that it is another one; it must run on the loop.
func (daemon *Daemon) markMisdirected(id string) {
	if !daemon.control.registry.Misdirect(id) {
		return
	}
	for _, by := range daemon.view.Load().superseded {
		if by == id {
			daemon.rebuildView()
			return
		}
	}
}

// markLeaving records that a target leaves, as its response says; it must run on the loop. The other daemons learn it from the store, or from the target.
func (daemon *Daemon) markLeaving(id string, startedAt time.Time) {
	if !daemon.control.registry.Leave(id, startedAt) {
		return
	}
	daemon.log.Info().Str(eventField, eventTargetLeaves).Str("Target", id).Str("From", "Response").Msg("the target leaves and gets no new requests")
	daemon.rebuildView()
}

// equivalentTarget reports whether two registrations of a target differ at most in their sequence. A write of a target that this daemon, or one that copies from it, counts as superseded says
// that it lives.
func (daemon *Daemon) equivalentTarget(before, after core.Entry) bool {
	known, errBefore := daemon.decodeTarget(before)
	next, errAfter := daemon.decodeTarget(after)
	known.Sequence = next.Sequence
	return errBefore == nil && errAfter == nil && known == next && !daemon.view.Load().contested[next.ID]
}

// decodeTarget decodes a registration once for each of its revisions.
func (daemon *Daemon) decodeTarget(entry core.Entry) (core.TargetEntry, error) {
	if known, found := daemon.control.decoded[entry.Key]; found && known.revision == entry.ModRevision {
		return known.target, known.err
	}
	target, err := daemon.dialect.DecodeTarget(entry.Key, entry.Value)
	if err != nil {
		daemon.logRevision(daemon.log.Warn(), entry.ModRevision).Str(eventField, eventRegistrationIgnored).Str("Key", entry.Key).Err(err).Msg("cannot decode a target's registration; ignoring it")
	}
	if daemon.control.decoded == nil || len(daemon.control.decoded) > 4*len(daemon.view.Load().services)+1000 {
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
