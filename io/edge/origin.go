package edge

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/origin"
	"catkincove/core/place"
)

const (
	originBatch         = 32                     // records in a transaction; the store accepts no more
	originRecordTimeout = 500 * time.Millisecond // longest wait for a record before the first event is forwarded without it
	originLookupTimeout = 400 * time.Millisecond // limit on reading a record
	originRetryDelay    = 250 * time.Millisecond // delay after a transaction that failed
	originFailureMemory = 2 * time.Second        // time after a failure in which records are not expected to be written
	originSlack         = 5 * time.Second        // time beyond the longest time limit for which an origin is remembered
	originRetryAfter    = 500 * time.Millisecond // Retry-After of a resumed stream whose version is unknown or has no target
	baselineInterval    = time.Second            // period in which the baselines are compared with the targets
	recordsWatchPause   = 250 * time.Millisecond // interval of watches while records are written, each of which ends a watch
	maxComparisonAge    = time.Second            // time since copies were compared with another daemon's after which a daemon without the store is out of step; it asks three times in that
	maxPendingOrigins   = 2000                   // records that wait to be written
)

// origins is what this daemon knows about the software versions that began streams; it is used on the loop only.
type origins struct {
	table       origin.Table
	baselines   map[string]knownBaseline // by service
	invalid     map[string]core.Revision // revisions of the baselines that cannot be decoded, by key
	mixedAt     map[string]time.Time     // time at which a target of another version than the baseline was last registered, by service
	pending     map[string]*originRecord // records to be written, by attempt
	order       []string                 // their attempts, oldest first
	lastFailure time.Time                // of a write

	lateAt          time.Time       // time at which a stream last had to wait too long for its record
	unrecordedUntil time.Time       // streams may go on until then that daemons of builds that write no records have begun
	doubtUntil      time.Time       // streams may go on until then the records of which the store has not accepted, or has lost in a restore
	wake            chan struct{}   // has an element if records are pending
	untold          []*originRecord // records that the holders are not told yet
	tellWake        chan struct{}   // has an element if there are any
	sequence        int64           // of the newest record; above those of the daemons that have passed requests on to this one
}

// knownBaseline is a baseline with the time since which this daemon has known it.
type knownBaseline struct {
	origin.Baseline
	since    time.Time
	revision core.Revision // of its key in the store; 0 if the store does not hold it
}

// originRecord is a record that is to be written.
type originRecord struct {
	attempt string
	origin  origin.Origin
	sent    bool          // the store may have it
	written chan struct{} // closed when the store has it
	told    chan struct{} // closed when its holders have answered, or are not waited for any longer
	copies  int           // holders that have it

	sequence int64 // orders what holders are told of an attempt

	replacesSent bool // the store may have the record of another version, at which the stream did not begin
}

func newOrigins() origins {
	return origins{baselines: map[string]knownBaseline{}, invalid: map[string]core.Revision{}, mixedAt: map[string]time.Time{}, pending: map[string]*originRecord{}, wake: make(chan struct{}, 1), tellWake: make(chan struct{}, 1)}
}

// isResumable reports whether the request is for a stream that may go on at another target.
func (request *request) isResumable() bool { return request.route.Stream && request.route.Resumable }

// originLifetime returns the time for which the origin of a stream is needed: the longest time limit, and some more.
func (daemon *Daemon) originLifetime() time.Duration {
	return max(daemon.view.Load().routing.LongestResumable(), defaultTimeout) + originSlack
}

// queueOrigin remembers the origin of the stream that an attempt begins, and queues a record of it unless the baseline covers it, in which case it
// returns nil. It must run on the loop.
func (daemon *Daemon) queueOrigin(now time.Time, attempt string, began origin.Origin) *originRecord {
	origins := &daemon.control.origins
	before, found := origins.table.Find(now, attempt)
	origins.table.Add(attempt, began, now.Add(daemon.originLifetime()), true)
	replaces := found && before != began // the record for a target that was tried before must not stay
	if !replaces && daemon.coversOrigin(now, began) {
		return nil
	}
	if record := origins.pending[attempt]; record != nil && record.origin == began {
		return record
	}
	return daemon.addPendingOrigin(attempt, began, replaces)
}

// addPendingOrigin queues a record for the store and for its holders; it must run on the loop.
func (daemon *Daemon) addPendingOrigin(attempt string, began origin.Origin, replaces bool) *originRecord {
	origins := &daemon.control.origins
	before := origins.pending[attempt]
	if before == nil {
		if len(origins.order) >= maxPendingOrigins {
			delete(origins.pending, origins.order[0])
			origins.order = origins.order[1:]
		}
		origins.order = append(origins.order, attempt)
	}
	origins.sequence++
	record := &originRecord{
		attempt: attempt, origin: began, sequence: origins.sequence, written: make(chan struct{}), told: make(chan struct{}),
		replacesSent: replaces && (before == nil || before.sent || before.replacesSent),
	}
	origins.pending[attempt] = record
	origins.untold = append(origins.untold, record)
	for _, wake := range []chan struct{}{origins.wake, origins.tellWake} {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	return record
}

// coversOrigin reports whether a stream needs no record of its origin; it must run on the loop.
func (daemon *Daemon) coversOrigin(now time.Time, began origin.Origin) bool {
	if now.Before(daemon.control.origins.unrecordedUntil) {
		return false // a missing record names no version then
	}
	known, epoch := daemon.control.origins.baselines[began.Service], daemon.control.routes.Revision().Epoch()
	return known.Covers(began.Version, epoch, now.Sub(known.since))
}

// origin returns the origin of a stream that begins at the target of the relay, by the newest registration.
func (relay *relay) origin() origin.Origin {
	target := relay.attempt.target
	for _, current := range relay.daemon.view.Load().targets[relay.service.Name] {
		if current.ID == target.ID {
			target = current
		}
	}
	return origin.Origin{Service: relay.service.Name, Version: target.Version}
}

// recordOrigin begins to record the origin of a stream before its request is sent, so that its first event need not wait.
func (relay *relay) recordOrigin() {
	request, daemon := relay.request, relay.daemon
	if !request.isResumable() || request.origin.Known() || request.caller.Attempt == "" {
		return
	}
	began := relay.origin()
	daemon.do(func() {
		relay.record = daemon.queueOrigin(daemon.clock.Now(), origin.ID(request.caller.Attempt), began)
	})
}

var (
	errOriginUnrecorded = errors.New("the software version of the target cannot be recorded")
	errBeginsAtBaseline = errors.New("the software version of the target cannot be recorded; the stream begins at the baseline")
)

// fixOrigin fixes the origin of the stream, whose first event is about to be forwarded, once its record outlives this daemon. It returns an error if the
// stream must not begin at this target.
func (relay *relay) fixOrigin(ctx context.Context) error {
	request := relay.request
	if relay.attempt.through != nil && !request.origin.Known() {
		if err := relay.correctRecord(ctx); err != nil {
			return err
		}
		request.origin = relay.toldOrigin
	}
	defer func() {
		if request.forwarded {
			relay.writer.Header().Set(headerOrigin, request.origin.Encode())
		}
	}()
	if !request.isResumable() || request.origin.Known() {
		return nil
	}
	began := relay.origin()
	if request.caller.Attempt != "" {
		if err := relay.awaitRecord(ctx, began); err != nil {
			return err
		}
	}
	request.origin = began
	return nil
}

// correctRecord replaces the record of a target that this daemon tried before it passed the request on, if the stream began at another version. The write of
// that record may have come after the one of the daemon that forwards the request.
func (relay *relay) correctRecord(ctx context.Context) error {
	request, daemon := relay.request, relay.daemon
	if !request.isResumable() || request.caller.Attempt == "" || !relay.toldOrigin.Known() {
		return nil
	}
	differs := false
	daemon.do(func() {
		known, found := daemon.control.origins.table.Find(daemon.clock.Now(), origin.ID(request.caller.Attempt))
		differs = found && known != relay.toldOrigin
	})
	if !differs {
		return nil
	}
	return relay.awaitRecord(ctx, relay.toldOrigin)
}

// originSequence returns the sequence of the newest record of this daemon.
func (daemon *Daemon) originSequence() int64 {
	sequence := int64(0)
	daemon.do(func() { sequence = daemon.control.origins.sequence })
	return sequence
}

// raiseOriginSequence lets what this daemon tells from now on replace what the daemon has told that passes a request on.
func (daemon *Daemon) raiseOriginSequence(sequence int64) {
	daemon.do(func() { daemon.control.origins.sequence = max(daemon.control.origins.sequence, sequence) })
}

// awaitRecord waits until the record of a stream's origin lies in the store. If the store does not answer in time, the stream begins at the version that
// a missing record stands for, at another target if need be, and otherwise once other daemons keep a copy of the record.
func (relay *relay) awaitRecord(ctx context.Context, began origin.Origin) error {
	request, daemon := relay.request, relay.daemon
	attempt := origin.ID(request.caller.Attempt)
	record := relay.record // also if it was dropped from a full queue
	failing := false
	daemon.do(func() {
		now := daemon.clock.Now()
		if known, found := daemon.control.origins.table.Find(now, attempt); !found || known != began || record != nil && record.origin != began {
			record = daemon.queueOrigin(now, attempt, began)
		}
		failing = daemon.originsFail(now)
	})
	if record == nil || isClosed(record.written) {
		return nil
	}
	if !failing {
		select {
		case <-record.written:
			return nil
		case <-ctx.Done():
			return nil
		case <-daemon.clock.After(originRecordTimeout):
		}
	}
	var decision unrecorded
	copies := 0
	daemon.do(func() {
		now := daemon.clock.Now()
		if !failing {
			daemon.control.origins.lateAt = now
		}
		decision = daemon.decideUnrecorded(now, request, record)
	})
	if decision == awaitCopies {
		select {
		case <-record.told:
		case <-record.written:
			return nil
		case <-ctx.Done():
			return nil
		}
		daemon.do(func() { copies = record.copies })
		if copies > 0 {
			decision = beginKept
		}
	}
	daemon.metrics.originsUnrecorded.Add(1)
	daemon.log.Warn().Str(eventField, eventOriginUnrecorded).Str("Request", request.logID()).Str("Version", began.Version).Str("Decision", string(decision)).Int("Copies", copies).
		Msg("the store has not accepted the record of a stream's software version in time")
	switch decision {
	case beginElsewhere:
		return errBeginsAtBaseline
	case awaitCopies:
		return errOriginUnrecorded
	}
	return nil
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// unrecorded is what to do with a stream whose record the store has not accepted in time.
type unrecorded string

const (
	beginAnyway    unrecorded = "Begin"      // a missing record stands for this version, or for one without targets
	beginElsewhere unrecorded = "Elsewhere"  // a target of the version that a missing record stands for takes its place
	awaitCopies    unrecorded = "Refused"    // only copies of the record at other daemons let it begin; without one it ends
	beginKept      unrecorded = "KeptByPeer" // other daemons keep a copy of the record
)

// decideUnrecorded decides about a stream at its first event; it must run on the loop.
func (daemon *Daemon) decideUnrecorded(now time.Time, request *request, record *originRecord) unrecorded {
	service := record.origin.Service
	baseline := daemon.control.origins.baselines[service].Version
	switch {
	case record.replacesSent:
		return awaitCopies // the store may name the other version
	case record.origin.Version == baseline:
		return beginAnyway
	case baseline == "":
		return awaitCopies
	}
	targets, _ := daemon.unpausedTargets(now, service, place.Versions{Only: baseline})
	if request.route.Repeat == core.Idempotent && request.attempts < request.route.MaxTargets && daemon.control.chooser.HasUsable(now, targets, request.triedTargets) &&
		daemon.retryWindow(service).Allow(now) {
		return beginElsewhere
	}
	if !slices.ContainsFunc(daemon.view.Load().targets[service], func(target place.Target) bool { return target.Version == baseline }) {
		return beginAnyway
	}
	return awaitCopies
}

// originsFail reports whether records are not expected to be written now; it must run on the loop.
func (daemon *Daemon) originsFail(now time.Time) bool {
	origins := &daemon.control.origins
	recent := func(at time.Time) bool { return !at.IsZero() && now.Sub(at) < originFailureMemory }
	return daemon.control.routes.Unavailable() || recent(origins.lastFailure) || recent(origins.lateAt)
}

// versionsFor returns the versions that a target may have to get the request. While records cannot be written, streams
// begin at the version that needs none, as long as a target of it is usable and a rollout does not forbid it.
func (daemon *Daemon) versionsFor(request *request, service string) place.Versions {
	if request.origin.Known() {
		return place.Versions{Only: request.origin.Version}
	}
	versions := daemon.shift.Versions(service, request.route.Name, &request.choice, request.attempts > 0)
	if !request.isResumable() {
		return versions
	}
	daemon.do(func() {
		now := daemon.clock.Now()
		known := daemon.control.origins.baselines[service]
		if known.Version == "" || known.Version == versions.Except || !daemon.originsFail(now) {
			return
		}
		baseline := place.Versions{Only: known.Version}
		if targets, _ := daemon.unpausedTargets(now, service, baseline); daemon.control.chooser.HasUsable(now, targets, request.triedTargets) {
			versions = baseline
		}
	})
	return versions
}

// versionHasLeft reports whether targets of other versions serve, but none that the stream may still go on at; a service of one version
// may have a target again soon.
func (daemon *Daemon) versionHasLeft(request *request, service string, rejectedBy []string) bool {
	if !request.origin.Known() {
		return false
	}
	others := false
	for _, target := range daemon.view.Load().targets[service] {
		if target.Version != request.origin.Version {
			others = true
		} else if !slices.Contains(request.triedTargets, target.ID) || slices.Contains(rejectedBy, target.ID) {
			return false
		}
	}
	return others
}

// resolveOrigin finds out which version began the stream that the caller resumes. It returns an error if nothing tells, because a stream
// joined from two versions looks sound to its caller, and if no target of that version serves.
func (daemon *Daemon) resolveOrigin(ctx context.Context, request *request) error {
	if !request.isResumable() || request.caller.LastEvent == "" || request.origin.Known() {
		return nil
	}
	service := daemon.chooseService(request).Name
	resumed := origin.ID(request.caller.Resumes)
	began, found := origin.Origin{}, false
	daemon.do(func() {
		now := daemon.clock.Now()
		began, found = daemon.control.origins.table.Find(now, resumed)
	})
	if found {
		daemon.logOrigin(resumed, began, originFromMemory)
	} else {
		began, found = daemon.lookUpOrigin(ctx, service, resumed)
	}
	if !found {
		return core.Errorf(core.Unavailable, "the software version that began the stream is not known").WithRetryAfter(originRetryAfter)
	}
	request.origin = began
	daemon.do(func() {
		expires := daemon.clock.Now().Add(daemon.originLifetime())
		daemon.control.origins.table.Add(resumed, began, expires, false)
		// A caller may name this attempt when it resumes once more.
		daemon.control.origins.table.Add(origin.ID(request.caller.Attempt), began, expires, false)
	})
	if !slices.ContainsFunc(request.route.Services, func(share core.ServiceShare) bool { return share.Service == began.Service }) ||
		daemon.versionHasLeft(request, began.Service, nil) {
		return core.Errorf(core.Unavailable, "no target of service %s has version %s, which began the stream", began.Service, began.Version).WithRetryAfter(originRetryAfter)
	}
	return nil
}

// hasOneVersion reports whether all streams that may be resumed began at the baseline of the service; it must run on the loop. A daemon that is out of
// step does not know: targets of another version may have joined and begun streams meanwhile.
func (daemon *Daemon) hasOneVersion(now time.Time, service string) bool {
	known := daemon.control.origins.baselines[service]
	lifetime := daemon.originLifetime()
	return daemon.inStep(now) && known.Version != "" && known.Next == "" && now.Sub(known.since) > lifetime && now.Sub(daemon.control.origins.mixedAt[service]) > lifetime
}

// inStep reports whether the copies are followed, or were compared with another daemon's a moment ago; it must run on the loop.
func (daemon *Daemon) inStep(now time.Time) bool {
	if daemon.pauses.Unchecked() != nil {
		return false
	}
	return !daemon.control.routes.Unavailable() || now.Sub(daemon.control.comparedAt) < maxComparisonAge
}

// hasSeveralVersions reports whether targets of several versions serve, or the baseline changes; it must run on the loop.
func (daemon *Daemon) hasSeveralVersions(service string) bool {
	known := daemon.control.origins.baselines[service]
	return known.Next != "" || slices.ContainsFunc(daemon.view.Load().targets[service], func(target place.Target) bool { return target.Version != known.Version })
}

// lookUpOrigin finds out at which version the stream of an attempt began that is not known here; false means that nothing tells.
//
// The daemon that began the stream has told its holders last, so what they have from it goes before a record. A missing record stands for the baseline,
// unless the store may have lost it and a holder has not answered. If the store does not answer, only a service of one version needs no record, and other
// daemons must say so too: this one may be cut off, which it notices late.
func (daemon *Daemon) lookUpOrigin(ctx context.Context, service, attempt string) (began origin.Origin, found bool) {
	from := originFromNothing
	defer func() { daemon.logOrigin(attempt, began, from) }()
	var record origin.Origin
	read, recorded, epoch := false, false, int64(0)
	var kept kept
	var group sync.WaitGroup
	group.Go(func() { kept = daemon.askHolders(ctx, service, attempt) })
	if attempt != "" {
		record, epoch, recorded, read = daemon.readOrigin(ctx, attempt)
	}
	group.Wait()
	if kept.told || kept.began.Known() && !recorded {
		from = originFromHolder
		return kept.began, true
	}
	if recorded {
		from = originFromRecord
		return record, record.Known()
	}
	daemon.do(func() {
		now := daemon.clock.Now()
		unrecorded := daemon.originWithoutRecord(now, service, epoch)
		switch {
		case read && kept.silent && daemon.originsMayBeLost(now):
		case read && unrecorded.Known():
			from, began = originFromBaseline, unrecorded
		case !read && daemon.hasOneVersion(now, service) && !kept.several && (kept.asked == 0 || kept.oneVersion > 0):
			from, began = originFromOneVersion, origin.Origin{Service: service, Version: daemon.control.origins.baselines[service].Version}
		}
	})
	return began, began.Known()
}

// logOrigin logs what tells at which version a resumed stream began. It comes before the request ends, which a killed daemon does not log.
func (daemon *Daemon) logOrigin(attempt string, began origin.Origin, from string) {
	daemon.log.Info().Str(eventField, eventOriginResolved).Str("Resumes", attempt).Bool("Found", began.Known()).Str("Version", began.Version).Str("From", from).Msg("looked up which software version began a stream")
}

// What tells the software version that began a stream, for the log.
const (
	originFromMemory     = "Memory"     // this daemon began the stream, keeps a copy of its record, or has read it before
	originFromRecord     = "Record"     // the record in the store
	originFromHolder     = "Holder"     // another daemon that keeps a copy of the record
	originFromBaseline   = "Baseline"   // there is no record, so the stream began at the baseline
	originFromOneVersion = "OneVersion" // the store does not answer, and the service has had one version only
	originFromNothing    = "Nothing"
)

// readOrigin reads the record of an attempt, and the epoch of the store. It returns false for read if the store does not answer, and a zero origin if the
// record cannot be decoded.
func (daemon *Daemon) readOrigin(ctx context.Context, attempt string) (record origin.Origin, epoch int64, recorded, read bool) {
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	snapshot, err := daemon.store.Get(ctx, core.OriginPrefix+attempt)
	if err != nil {
		daemon.metrics.storeErrors.Add(1)
		daemon.log.Warn().Str(eventField, eventOriginUnknown).Str("Resumes", attempt).Err(err).Msg("cannot read which software version began a stream")
		return origin.Origin{}, 0, false, false
	}
	if len(snapshot.Entries) == 0 {
		return origin.Origin{}, snapshot.Revision.Epoch(), false, true
	}
	record, _ = decodeOrigin(snapshot.Entries[0].Value)
	return record, snapshot.Revision.Epoch(), true, true
}

// originWithoutRecord returns the origin of a stream without a record in an epoch of the store, its service's baseline, or the zero value if that is not
// known; it must run on the loop.
func (daemon *Daemon) originWithoutRecord(now time.Time, service string, epoch int64) origin.Origin {
	known := daemon.control.origins.baselines[service]
	baseline := known.Unrecorded(max(epoch, daemon.control.routes.Revision().Epoch()))
	if daemon.hasOneVersion(now, service) {
		baseline = known.Version
	} else if now.Before(daemon.control.origins.unrecordedUntil) {
		return origin.Origin{}
	}
	if baseline == "" || daemon.pauses.Unchecked() != nil || daemon.copiesAreStale(now) {
		return origin.Origin{}
	}
	return origin.Origin{Service: service, Version: baseline}
}

// copiesAreStale reports whether a change of a baseline may not be known here; it must run on the loop.
func (daemon *Daemon) copiesAreStale(now time.Time) bool {
	return now.Sub(daemon.control.storeReadAt) > originSlack
}

func decodeOrigin(value []byte) (origin.Origin, error) {
	var began origin.Origin
	err := json.Unmarshal(value, &began)
	if err == nil && !began.Known() {
		err = errors.New("empty")
	}
	return began, err
}

// adoptOrigins remembers the records among the entries of a listing or a watch; it must run on the loop.
func (daemon *Daemon) adoptOrigins(now time.Time, entries []core.Entry) {
	for _, entry := range entries {
		attempt, is := strings.CutPrefix(entry.Key, core.OriginPrefix)
		if !is {
			continue
		}
		began, err := decodeOrigin(entry.Value)
		if err != nil {
			daemon.log.Warn().Str(eventField, eventOriginUnknown).Str("Resumes", attempt).Err(err).Msg("cannot decode which software version began a stream")
			continue
		}
		daemon.control.origins.table.Add(attempt, began, now.Add(daemon.originLifetime()), false)
	}
}

// recordOrigins writes the records of origins until ctx ends, all that are pending in one transaction.
func (daemon *Daemon) recordOrigins(ctx context.Context) error {
	var lease core.LeaseID
	var grantedAt time.Time
	var epoch int64
	for ctx.Err() == nil {
		select {
		case <-daemon.control.origins.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if current := daemon.storeEpoch(); current != epoch {
			lease, epoch = 0, current // a store that was restored may not know the lease
		}
		for ctx.Err() == nil {
			batch := daemon.pendingOrigins()
			if len(batch) == 0 {
				break
			}
			lifetime := daemon.originLifetime()
			err := error(nil)
			if lease == 0 || daemon.clock.Now().Sub(grantedAt) > lifetime {
				// The records of one lease end together, each after the time for which it is needed.
				grantedAt = daemon.clock.Now()
				lease, err = daemon.store.GrantLease(ctx, 2*lifetime)
			}
			if err == nil {
				err = daemon.writeOrigins(ctx, lease, batch)
			}
			if err != nil {
				lease = 0
				daemon.metrics.storeErrors.Add(1)
				daemon.log.Warn().Str(eventField, eventOriginNotWritten).Int("Records", len(batch)).Err(err).Msg("cannot write which software versions began streams")
				daemon.do(func() { daemon.control.origins.lastFailure = daemon.clock.Now() })
				core.Sleep(ctx, daemon.clock, originRetryDelay)
			}
		}
	}
	return ctx.Err()
}

// pendingOrigins returns the oldest pending records; those whose streams can no longer be resumed are dropped.
func (daemon *Daemon) pendingOrigins() map[string]*originRecord {
	batch := map[string]*originRecord{}
	daemon.do(func() {
		now, origins := daemon.clock.Now(), &daemon.control.origins
		origins.order = slices.DeleteFunc(origins.order, func(attempt string) bool {
			if _, needed := origins.table.Find(now, attempt); needed && origins.pending[attempt] != nil {
				return false
			}
			delete(origins.pending, attempt)
			return true
		})
		count := min(len(origins.order), originBatch)
		if !origins.lastFailure.IsZero() {
			count = min(count, 1) // one record that the store refuses must not keep the others from being written
		}
		next := origins.order[:count]
		origins.order = append(origins.order[count:len(origins.order):len(origins.order)], next...)
		for _, attempt := range next {
			batch[attempt] = origins.pending[attempt]
			batch[attempt].sent = true
		}
	})
	return batch
}

func (daemon *Daemon) writeOrigins(ctx context.Context, lease core.LeaseID, batch map[string]*originRecord) error {
	var txn core.Txn
	for _, attempt := range slices.Sorted(maps.Keys(batch)) {
		value, err := json.Marshal(batch[attempt].origin)
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, core.Put{Key: core.OriginPrefix + attempt, Value: value, Lease: lease})
	}
	if _, err := daemon.store.Commit(ctx, txn); err != nil {
		return err
	}
	daemon.do(func() {
		origins := &daemon.control.origins
		origins.lastFailure, origins.lateAt = time.Time{}, time.Time{}
		for attempt, record := range batch {
			close(record.written)
			if origins.pending[attempt] == record { // it was not replaced meanwhile
				delete(origins.pending, attempt)
			}
		}
		origins.order = slices.DeleteFunc(origins.order, func(attempt string) bool { return origins.pending[attempt] == nil })
	})
	return nil
}

// adoptBaselines adopts the baselines of the store, and notes which services have targets of other versions; it must run on the loop.
// A baseline of an earlier generation comes from a store that was restored.
func (daemon *Daemon) adoptBaselines(now time.Time) {
	origins := &daemon.control.origins
	for _, entry := range daemon.control.live.Entries(now) {
		service, is := strings.CutPrefix(entry.Key, core.BaselinePrefix)
		if !is {
			continue
		}
		baseline, valid := daemon.decodeBaseline(entry)
		if !valid {
			continue
		}
		known := origins.baselines[service]
		switch {
		case baseline.Replaces(known.Baseline):
			daemon.log.Info().Str(eventField, eventBaseline).Str("Service", service).Str("Version", baseline.Version).Str("Next", baseline.Next).Int64("Epoch", baseline.Epoch).Msg("streams at this software version need no record")
			origins.baselines[service] = knownBaseline{Baseline: baseline, since: now, revision: entry.ModRevision}
			origins.mixedAt[service] = now
		case baseline == known.Baseline:
			known.revision = entry.ModRevision
			origins.baselines[service] = known
		}
	}
}

// maxBaselineGeneration is far above the number of changes of a baseline; a larger one is of another writer, and could not be counted up.
const maxBaselineGeneration = 1 << 40

// decodeBaseline decodes a baseline and reports whether it is valid; it logs an invalid one once for each of its revisions. It must run on the loop.
func (daemon *Daemon) decodeBaseline(entry core.Entry) (origin.Baseline, bool) {
	baseline := origin.Baseline{Epoch: origin.AnyEpoch}
	err := json.Unmarshal(entry.Value, &baseline)
	if err == nil && (baseline.Generation < 0 || baseline.Generation > maxBaselineGeneration) {
		err = errors.New("generation out of range")
	}
	if err == nil {
		return baseline, true
	}
	origins := &daemon.control.origins
	if origins.invalid[entry.Key] != entry.ModRevision {
		origins.invalid[entry.Key] = entry.ModRevision
		daemon.log.Warn().Str(eventField, eventOriginUnknown).Str("Key", entry.Key).Err(err).Msg("cannot decode a baseline; ignoring it")
	}
	return origin.Baseline{}, false
}

// noteVersions notes the services with targets of other versions than their baseline; it must run on the loop.
func (daemon *Daemon) noteVersions(now time.Time, targets []core.TargetEntry) {
	for _, target := range targets {
		if target.Version != daemon.control.origins.baselines[target.Service].Version {
			daemon.control.origins.mixedAt[target.Service] = now
		}
	}
}

// writesOrigins reports whether this daemon or others write records of origins; it must run on the loop.
func (daemon *Daemon) writesOrigins(now time.Time) bool {
	for service, spec := range daemon.view.Load().routing.Services {
		if known, found := daemon.control.origins.baselines[service]; found && spec.Batch == nil {
			if known.Next != "" || now.Sub(daemon.control.origins.mixedAt[service]) < originSlack {
				return true
			}
		}
	}
	return false
}

// maintainBaselines keeps the baselines of the services in the store until ctx ends. The daemon that sends for a service writes its baseline.
func (daemon *Daemon) maintainBaselines(ctx context.Context) error {
	for core.Sleep(ctx, daemon.clock, baselineInterval) {
		for service, change := range daemon.baselineChanges() {
			value, err := json.Marshal(change.Baseline)
			if err != nil {
				return err
			}
			put := core.Put{Key: core.BaselinePrefix + service, Value: value}
			if _, err := daemon.store.Commit(ctx, core.Txn{
				Compares: []core.Compare{{Key: put.Key, ModRevision: &change.revision}}, Puts: []core.Put{put},
			}); err != nil {
				daemon.metrics.storeErrors.Add(1) // tried again in the next period
			}
		}
	}
	return ctx.Err()
}

// requeueOrigins queues the records of this daemon again, which a restore of the store may have taken; it must run on the loop.
func (daemon *Daemon) requeueOrigins() {
	now := daemon.clock.Now()
	for attempt, began := range daemon.control.origins.table.Own(now) {
		if !daemon.coversOrigin(now, began) && daemon.control.origins.pending[attempt] == nil {
			daemon.addPendingOrigin(attempt, began, false)
		}
	}
}

// baselineChanges returns the baselines to write, by service.
func (daemon *Daemon) baselineChanges() map[string]knownBaseline {
	changes := map[string]knownBaseline{}
	daemon.do(func() {
		now, view := daemon.clock.Now(), daemon.view.Load()
		if daemon.control.routes.Unavailable() || daemon.copiesAreStale(now) || daemon.leaving.Load() {
			return
		}
		for _, service := range view.routing.ResumableServices() {
			if daemon.senderOf(service) != nil {
				continue
			}
			versions := map[string]int{}
			for _, target := range view.targets[service] {
				versions[target.Version]++
			}
			known := daemon.control.origins.baselines[service]
			next := known.Baseline.Advance(origin.State{
				Targets: versions, UnchangedFor: now.Sub(known.since), Longest: daemon.originLifetime(),
				Epoch: daemon.control.routes.Revision().Epoch(), OneVersion: daemon.hasOneVersion(now, service),
			})
			stored := daemon.storedBaseline(now, service)
			if stored.Replaces(known.Baseline) {
				continue // it is about to be adopted
			}
			if next != known.Baseline || stored.Baseline != known.Baseline {
				changes[service] = knownBaseline{Baseline: next, revision: stored.revision}
			}
		}
	})
	return changes
}

// storedBaseline returns the baseline that the store holds; it must run on the loop.
func (daemon *Daemon) storedBaseline(now time.Time, service string) knownBaseline {
	var stored knownBaseline
	for _, entry := range daemon.control.live.Entries(now) {
		if entry.Key == core.BaselinePrefix+service {
			stored.Baseline, _ = daemon.decodeBaseline(entry) // an invalid one is replaced
			stored.revision = entry.ModRevision
		}
	}
	return stored
}
