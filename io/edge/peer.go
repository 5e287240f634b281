package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"syscall"
	"time"

	"catkincove/core"
	"catkincove/core/batch"
	"catkincove/core/blame"
	"catkincove/core/hedge"
	"catkincove/io/shift"
)

const (
	peerDialTimeout        = 600 * time.Millisecond // below pingTimeout, so that a ping to a VM that is down fails as a dial
	maxIdlePeerConnections = 64                     // idle connections kept per daemon; each stage of a request uses one while it waits
	peerIdleTimeout        = 30 * time.Second       // limit on the idle time of a connection; pings come once a second at least
	statusTTL              = 50 * time.Millisecond  // lifetime of the cached status; forecasts change within a call of 200 ms and more
	copyTimeout            = 3 * time.Second        // limit on copying a whole configuration from a peer: 1 MB takes a second at 10 Mbit/s
	maxGossip              = 24                     // gossip entries in a status, about 1 KB
	maxPeerMessage         = 1 << 20                // limit in bytes on a message; the largest lists the handles of 4,096 pieces
	maxPeerCopy            = 16 << 20               // the same for a response that holds the whole configuration
)

var errPeerMessageTooLong = errors.New("a message of another daemon is too long")

// messageGeneration is the generation of the messages between daemons. It rises when a daemon has to treat those of older builds differently; builds
// before the first one state none.
const messageGeneration = 2

// originsGeneration is the first generation whose daemons keep copies of the records of origins.
const originsGeneration = 2

// Paths between daemons.
const (
	pathPing   = "/peer/ping"
	pathCopies = "/peer/copies"
	pathPieces = "/peer/pieces"
	pathPlace  = "/peer/place"
	pathRead   = "/peer/read"
	pathFree   = "/peer/free"
	pathPermit = "/peer/permit"
	pathReach  = "/peer/reach"

	pathRouting = "/peer/routing" // not known to builds of generation 0
	pathOrigins = "/peer/origins" // not known to builds before originsGeneration
	pathOrigin  = "/peer/origin"  // the same
)

// forecastAt is a forecast with the time at which it was received.
type forecastAt struct {
	batch.Forecast
	at time.Time
}

// peerStatus is what a daemon reports about itself, both in a ping and in the response to one.
type peerStatus struct {
	Record    record
	Leaving   bool
	Forecasts map[string]batch.Forecast // by service; for the services whose batches it sends
	Sends     []string                  // services whose batches it sends or whose prompts it places
	Losses    []blame.Crash             // crashes of targets that are being gossiped
	Sound     []core.Fingerprint        // parts of prompts, and contents, that were suspected of crashes and are sound
	Heard     []gossipEntry             // gossip about other daemons, in a large fleet
	PathsLost *bool                     // it reaches most targets no longer; nil from builds that do not forward requests of others
	Limits    []limitEntry              // limits that targets have named or name no longer
	Latencies []hedge.Latency           // of the routes, while second tries are allowed

	Generation     int   // of its messages
	RoutingVersion int64 // version of the routing in force; 0 means none
}

// gossipEntry says how long ago the daemon at an address was last seen by any daemon, and whether it was leaving then.
type gossipEntry struct {
	Peer    string
	Age     time.Duration
	Leaving bool
}

func (daemon *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+pathPing, daemon.servePing)
	mux.HandleFunc("POST "+pathCopies, daemon.serveCopies)
	mux.HandleFunc("POST "+pathPieces, daemon.servePieces)
	mux.HandleFunc("POST "+pathFree, daemon.serveFree)
	mux.HandleFunc("POST "+pathPlace, daemon.servePlace)
	mux.HandleFunc("POST "+pathRead, daemon.servePrefill)
	mux.HandleFunc("POST "+pathPermit, daemon.servePermit)
	mux.HandleFunc("POST "+pathReach, daemon.serveReach)
	mux.HandleFunc("POST "+pathRouting, daemon.serveRouting)
	mux.HandleFunc("POST "+pathOrigins, daemon.serveOrigins)
	mux.HandleFunc("POST "+pathOrigin, daemon.serveOrigin)
	mux.HandleFunc("POST "+shift.Path, daemon.serveRollout)
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if strings.HasPrefix(request.RequestURI, pathForward+"/") {
			daemon.serveForward(writer, request) // the mux would clean the caller's path
			return
		}
		memory := daemon.messageBudget.Memory()
		defer memory.Release()
		request.Body = memory.Body(request.Body)
		mux.ServeHTTP(writer, request)
	})
}

// status returns the status of this daemon, rebuilt at most every statusTTL and when the daemon starts to leave.
func (daemon *Daemon) status() peerStatus {
	var status peerStatus
	daemon.do(func() {
		now := daemon.clock.Now()
		control := &daemon.control
		if now.Sub(control.statusAt) > statusTTL || control.status.Leaving != daemon.leaving.Load() {
			control.status, control.statusAt = daemon.newStatus(now), now
		}
		status = control.status
	})
	return status
}

// newStatus builds the status of this daemon; it must run on the loop.
func (daemon *Daemon) newStatus(now time.Time) peerStatus {
	status := peerStatus{
		Record: daemon.self(), Leaving: daemon.leaving.Load(), PathsLost: new(daemon.paths.lost()), Losses: daemon.control.crashTracker.CrashesToGossip(now),
		Sound: daemon.control.crashTracker.SoundToGossip(now), Generation: messageGeneration, RoutingVersion: daemon.view.Load().routing.Version,
		Forecasts: map[string]batch.Forecast{}, Latencies: daemon.hedger().Report(now),
	}
	for service := range daemon.view.Load().routing.Services {
		if daemon.isSender(now, service) {
			status.Sends = append(status.Sends, service)
		}
	}
	status.Limits = daemon.limitsToGossip(now, len(status.Sends) > 0)
	for service, sender := range daemon.control.senders {
		if sender.inUse(now) {
			status.Forecasts[service] = sender.pool.RecentForecast(now, statusTTL)
		}
	}
	if len(daemon.control.peers) >= largeFleet {
		for address, known := range daemon.control.peers { // random order: each status covers other daemons
			if age := now.Sub(known.lastSeen); age < largeFleetDirectoryTimeout && len(status.Heard) < maxGossip {
				status.Heard = append(status.Heard, gossipEntry{Peer: address, Age: age, Leaving: known.leaving})
			}
		}
	}
	return status
}

func (daemon *Daemon) servePing(writer http.ResponseWriter, request *http.Request) {
	var status peerStatus
	if !readJSON(writer, request, &status) {
		return
	}
	daemon.loop.Post(func() { daemon.mergeStatus(status) })
	writeJSON(writer, daemon.status())
}

// mergeStatus merges the status that another daemon reported into the peers; it must run on the loop.
func (daemon *Daemon) mergeStatus(status peerStatus) {
	if status.Record.ID == daemon.id || status.Record.ID == "" || !status.Record.isValid() {
		return
	}
	now := daemon.clock.Now()
	known := daemon.addPeer(now, status.Record)
	if known.ID != status.Record.ID {
		// The daemon at the address has restarted: calls to the earlier run have failed.
		daemon.freeResultsOf(known.ID)
		known.cancelCalls()
		known.callContext, known.cancelCalls = context.WithCancel(context.Background())
		known.record, known.forecasts = status.Record, map[string]forecastAt{}
		daemon.control.peersBySize = nil
	}
	known.lastSeen, known.unansweredSince, known.callFailed, known.leaving = now, time.Time{}, false, status.Leaving
	pathsLost := status.PathsLost != nil && *status.PathsLost
	if pathsLost && !known.pathsLost {
		daemon.paths.warn()
	}
	known.pathsLost, known.forwards, known.routingVersion = pathsLost, status.PathsLost != nil, status.RoutingVersion
	known.lacksOrigins = status.Generation < originsGeneration
	daemon.control.peerLastSeen = now
	if !known.forwards { // builds that forward also record origins
		daemon.control.origins.unrecordedUntil = now.Add(daemon.originLifetime())
	}
	if known.unresponsive {
		known.unresponsive = false
		daemon.log.Info().Str(eventField, eventPeerReturned).Str("Peer", string(known.ID)).Msg("daemon responds again")
	}
	known.sendsFor = map[string]bool{}
	for _, service := range status.Sends {
		known.sendsFor[service] = true
	}
	for service, forecast := range status.Forecasts {
		known.forecasts[service] = forecastAt{Forecast: forecast, at: now}
	}
	daemon.hedger().Merge(now, status.Record.Peer, status.Latencies)
	daemon.mergeCrashes(now, status.Losses)
	for _, part := range status.Sound {
		daemon.control.crashTracker.AddSound(now, part)
	}
	for _, entry := range status.Limits {
		if evidence, _ := daemon.control.limits.Of(entry.Target); evidence.Brittle && !entry.Named && !known.forwards {
			continue // the build does not know brittle targets either
		}
		daemon.mergeLimit(now, entry, status.Record.ID)
	}
	for _, entry := range status.Heard {
		if other := daemon.control.peers[entry.Peer]; other != nil && entry.Age >= 0 && now.Add(-entry.Age).After(other.lastSeen) {
			other.lastSeen, other.leaving = now.Add(-entry.Age), entry.Leaving
		}
	}
}

// pingPeers pings the senders that this daemon depends on four times a second and the other daemons once a second. In a
// large fleet it pings the senders less often and only a few others, whose statuses carry gossip about the rest.
func (daemon *Daemon) pingPeers(ctx context.Context) error {
	for round := 0; core.Sleep(ctx, daemon.clock, pingInterval); round++ {
		daemon.observe()
		daemon.loop.Post(func() {
			for _, address := range daemon.peersToPing(round) {
				daemon.spawn("ping", func() { daemon.ping(address) })
			}
		})
	}
	return ctx.Err()
}

// peersToPing returns the addresses of the daemons to ping in a round; it must run on the loop.
func (daemon *Daemon) peersToPing(round int) []string {
	needed := map[string]bool{}
	for service := range daemon.view.Load().routing.Services {
		if known := daemon.senderOf(service); known != nil {
			needed[known.Peer] = true
		}
	}
	peers := daemon.sortedPeers()
	if len(peers) == 0 {
		return daemon.peerAddresses() // the seeds of the settings
	}
	now := daemon.clock.Now()
	fleetIsLarge := len(peers) >= largeFleet
	var addresses, suspects []string
	for i, known := range peers {
		rounds := roundsPerPing
		switch {
		case needed[known.Peer] && fleetIsLarge:
			rounds = largeFleetRoundsPerPing
		case needed[known.Peer]:
			rounds = 1
		case fleetIsLarge && !daemon.isSuspect(now, known):
			continue
		case fleetIsLarge && known.Cores < peers[0].Cores*largeVMShare:
			suspects = append(suspects, known.Peer)
			continue
		}
		if (round+i)%rounds == 0 {
			addresses = append(addresses, known.Peer)
		}
	}
	if fleetIsLarge {
		// Gossip about each daemon reaches all others within some rounds, since the choice is random.
		for range largeFleetOtherPings {
			addresses = append(addresses, peers[daemon.control.random.IntN(len(peers))].Peer)
		}
		for range min(largeFleetSuspectPings, len(suspects)) {
			addresses = append(addresses, suspects[daemon.control.random.IntN(len(suspects))])
		}
	}
	return addresses
}

func (daemon *Daemon) ping(address string) {
	daemon.do(func() {
		if known := daemon.control.peers[address]; known != nil && known.unansweredSince.IsZero() {
			known.unansweredSince = daemon.clock.Now()
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply peerStatus
	err := daemon.callPeer(ctx, address, pathPing, daemon.status(), &reply)
	daemon.loop.Post(func() {
		if err != nil {
			daemon.handlePingFailure(address, err)
			return
		}
		daemon.mergeStatus(reply)
	})
}

// checkPeer pings a daemon unless a ping is under way; it must run on the loop.
func (daemon *Daemon) checkPeer(address string) {
	if known := daemon.control.peers[address]; known != nil && (known.unansweredSince.IsZero() || daemon.clock.Now().Sub(known.unansweredSince) > pingTimeout) {
		daemon.spawn("ping", func() { daemon.ping(address) })
	}
}

// handlePingFailure records a failed ping and cancels the calls in progress to a daemon that is suspect; it must run on
// the loop.
func (daemon *Daemon) handlePingFailure(address string, err error) {
	now := daemon.clock.Now()
	daemon.metrics.peerErrors.Add(1)
	known := daemon.control.peers[address]
	if known != nil && errors.Is(err, syscall.ECONNREFUSED) {
		daemon.freeResultsOf(known.ID)
	}
	if known == nil || known.lastSeen.IsZero() || !daemon.isSuspect(now, known) {
		return
	}
	known.cancelCalls()
	known.callContext, known.cancelCalls = context.WithCancel(context.Background())
	if !known.unresponsive {
		known.unresponsive = true
		daemon.log.Warn().Str(eventField, eventPeerSilent).Str("Peer", string(known.ID)).Dur("SilentFor", known.unseenFor(now)).Err(err).Msg("daemon is unresponsive; passing it over")
	}
}

// markFailed passes over a daemon immediately, until it responds to a ping; it must run on the loop.
func (daemon *Daemon) markFailed(known *peer, err error) {
	if !known.callFailed {
		known.callFailed = true
		daemon.log.Warn().Str(eventField, eventPeerFailed).Str("Peer", string(known.ID)).Err(err).Msg("call failed; passing the daemon over until it responds to a ping")
	}
}

func (daemon *Daemon) callPeer(ctx context.Context, address, path string, message, reply any) error {
	body, err := json.Marshal(message)
	if err != nil {
		return err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	return daemon.doPeerRequest(request, reply)
}

// callPeerWithin is callPeer with a limit on the time to the first byte of the response, since a long response over a
// slow link shows that the other daemon is alive.
func (daemon *Daemon) callPeerWithin(ctx context.Context, firstByteTimeout time.Duration, address, path string, message, reply any) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := time.AfterFunc(firstByteTimeout, cancel)
	defer timer.Stop()
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { timer.Stop() }}
	return daemon.callPeer(httptrace.WithClientTrace(ctx, trace), address, path, message, reply)
}

func (daemon *Daemon) doPeerRequest(request *http.Request, reply any) error {
	response, err := daemon.peers.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	// Another process may answer at the address of a daemon that has left.
	limit := int64(maxPeerMessage)
	if path := request.URL.Path; path == pathCopies || path == pathRouting {
		limit = maxPeerCopy
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, limit+1))
	if err != nil {
		return err
	}
	if int64(len(data)) > limit {
		return errPeerMessageTooLong
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d", request.URL.Path, response.StatusCode)
	}
	return json.Unmarshal(data, reply)
}

// copiesRequest asks for the changes in a daemon's copies.
type copiesRequest struct {
	Generation int // of the requesting daemon's messages

	Since [3]core.Revision // revisions of the requesting daemon's copies
	Wait  time.Duration    // longest wait for a change
}

// knowsEpochs reports whether the revisions of the requesting daemon may carry epochs. Older builds take an epoch for a part of the number, believe their
// copies to be newer than all that the store holds from then on, and follow it no longer.
func (request copiesRequest) knowsEpochs() bool {
	return request.Generation > 0 || slices.ContainsFunc(request.Since[:], func(since core.Revision) bool { return since.Epoch() > 0 })
}

// copiesReply holds the changes, in the order of copies.
type copiesReply struct {
	Generation int // of the daemon's messages

	Age     time.Duration // time since the last successful store read
	Failing bool          // the store is unavailable to the daemon, so its copies only get older
	Parts   [3]copyPart
}

type copyPart struct {
	Revision core.Revision
	Whole    bool // Puts is the whole state, not a change
	Puts     []core.Entry
	Deletes  []string
}

// isUnordered reports whether the revisions lack the epoch that the revision of the reader's copies has.
func (reply copiesReply) isUnordered(own core.Revision) bool {
	return reply.Generation == 0 && reply.Parts[0].Revision.Epoch() == 0 && own.Epoch() > 0
}

// withoutEpochs returns the part with revisions as the store numbers them.
func (part copyPart) withoutEpochs() copyPart {
	part.Revision = part.Revision.InEpoch(0)
	part.Puts = slices.Clone(part.Puts)
	for i, entry := range part.Puts {
		part.Puts[i].ModRevision, part.Puts[i].CreateRevision = entry.ModRevision.InEpoch(0), entry.CreateRevision.InEpoch(0)
	}
	return part
}

func (daemon *Daemon) serveCopies(writer http.ResponseWriter, request *http.Request) {
	var message copiesRequest
	if !readJSON(writer, request, &message) {
		return
	}
	timeout := daemon.clock.After(min(message.Wait, relayPollWait))
	for {
		var reply copiesReply
		var changed chan struct{}
		anyChange := false
		daemon.do(func() {
			changed = daemon.control.copiesChanged
			reply.Generation = messageGeneration
			reply.Age, reply.Failing = daemon.clock.Now().Sub(daemon.control.storeReadAt), daemon.control.routes.Unavailable()
			for i, copy := range daemon.copies() {
				since := message.Since[i]
				if !message.knowsEpochs() {
					since = since.InEpoch(copy.Revision().Epoch())
				}
				event, whole := copy.Since(since)
				anyChange = anyChange || len(event.Puts)+len(event.Deletes) > 0
				reply.Parts[i] = copyPart{Revision: event.Revision, Whole: whole, Puts: event.Puts, Deletes: event.Deletes}
				if !message.knowsEpochs() {
					reply.Parts[i] = reply.Parts[i].withoutEpochs()
				}
			}
		})
		if anyChange || message.Wait <= 0 {
			writeJSON(writer, reply)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			message.Wait = 0
		case <-request.Context().Done():
			return
		}
	}
}

func readJSON(writer http.ResponseWriter, request *http.Request, message any) bool {
	data, err := io.ReadAll(io.LimitReader(request.Body, maxPeerMessage+1))
	if err == nil && len(data) > maxPeerMessage {
		err = errPeerMessageTooLong
	}
	if err == nil {
		err = json.Unmarshal(data, message)
	}
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(writer http.ResponseWriter, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(body)
}
