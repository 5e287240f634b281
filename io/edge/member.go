package edge

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/member"
)

const (
	memberTTL                  = 12 * time.Second        // TTL of a daemon's lease; other daemons learn from pings and gossip that it was killed
	renewInterval              = 4 * time.Second         // a third of memberTTL, so that two renewals may fail
	minRenewRetry              = 300 * time.Millisecond  // delay after a failed lease renewal, doubled with each consecutive one
	maxRenewRetry              = 2 * time.Second         // upper bound of the delay: the store bills rejected calls as well
	pingInterval               = 250 * time.Millisecond  // interval of pings to senders; a stall of a sender delays every request
	roundsPerPing              = 4                       // other daemons are pinged in one of this many rounds
	pingTimeout                = 800 * time.Millisecond  // limit on one ping; a healthy daemon responds within some milliseconds
	largeVMShare               = 0.75                    // share of the cores of the largest VM from which on a daemon sends for others
	largeFleet                 = 16                      // number of other daemons from which on a fleet is large: relays, gossip, longer leases and less frequent pings
	largeFleetRoundsPerPing    = 3                       // senders of a large fleet are pinged in one of this many rounds
	largeFleetSuspectPings     = 2                       // suspect daemons on small VMs that are pinged in each round
	largeFleetOtherPings       = 1                       // daemons of a large fleet that are pinged in each round beside the senders
	largeFleetSuspectAfter     = 2 * time.Second         // suspectAfter in a large fleet, where moving a service costs more
	suspectAfter               = 700 * time.Millisecond  // time since the first unanswered ping after which a daemon is suspect
	directoryTimeout           = 2500 * time.Millisecond // the directory omits a daemon that has not been seen for this long
	largeFleetDirectoryTimeout = 4 * time.Second         // directoryTimeout in a large fleet, where gossip about a daemon takes about a second
	removeAfter                = 30 * time.Second        // a daemon not seen for this long is removed, even if the store lists it
	directoryTTL               = 2 * time.Second         // time for which callers keep addresses: short enough to follow changes, long enough to avoid churn
	maxAddresses               = 64                      // addresses that callers accept from one response
)

// record is what a daemon publishes about itself in the store and in pings.
type record struct {
	ID         core.MemberID
	Front      string
	Peer       string
	DataCentre string
	Cores      float64 // CPU cores of its VM
}

// maxCores is the largest number of cores of a VM that a record may state.
const maxCores = 1024

// isValid reports whether the record may be that of a daemon; another writer may have written it.
func (record record) isValid() bool {
	host, port, err := net.SplitHostPort(record.Peer)
	number, portErr := strconv.ParseUint(port, 10, 16)
	return err == nil && portErr == nil && host != "" && number > 0 && record.Cores >= 0 && record.Cores <= maxCores
}

// peer is what this daemon knows about the daemon at one address.
type peer struct {
	record
	revision        core.Revision // revision of the record in the store
	listed          bool          // the store lists the daemon
	leaving         bool
	pathsLost       bool  // it reaches most targets no longer
	forwards        bool  // its build knows requests that another daemon passes on, and questions about its paths
	lacksOrigins    bool  // its build keeps no copies of the records of origins
	routingVersion  int64 // version of the routing in force there; 0 if it states none
	addedAt         time.Time
	lastSeen        time.Time // time of the newest ping that it responded to or sent, or of gossip about it; zero means never
	unansweredSince time.Time // time of the first unanswered ping; zero if there is none
	callFailed      bool      // the newest call failed; cleared by the next ping
	unresponsive    bool      // logged as unresponsive
	forecasts       map[string]forecastAt
	sendsFor        map[string]bool    // services whose batches it sends or whose prompts it places
	cancelCalls     context.CancelFunc // cancels callContext
	callContext     context.Context    // context of the calls in progress to it
}

func newMemberID(name string, random *rand.Rand) core.MemberID {
	return core.MemberID(fmt.Sprintf("%s-%08x", name, random.Uint32()))
}

func (daemon *Daemon) self() record {
	settings := daemon.options.Settings
	return record{ID: daemon.id, Front: settings.AdvertiseFront, Peer: settings.AdvertisePeer, DataCentre: settings.DataCentre, Cores: settings.Cores}
}

// maintainMembership keeps this daemon's record in the store under a lease until the daemon leaves.
func (daemon *Daemon) maintainMembership(ctx context.Context) error {
	value, err := json.Marshal(daemon.self())
	if err != nil {
		return err
	}
	var registered registration
	retryDelay := minRenewRetry
	for ctx.Err() == nil {
		if daemon.leaving.Load() {
			if registered.lease != 0 && registered.epoch == daemon.storeEpoch() {
				if err := daemon.store.RevokeLease(ctx, registered.lease); err != nil {
					daemon.log.Warn().Str(eventField, eventLeaseNotRevoked).Err(err).Msg("lease not revoked; the record expires with it")
				}
			}
			<-ctx.Done()
			return ctx.Err()
		}
		interval := renewInterval
		if registered, err = daemon.renew(ctx, registered, value); err != nil {
			interval, retryDelay = retryDelay, min(2*retryDelay, maxRenewRetry)
			daemon.metrics.storeErrors.Add(1)
		} else {
			retryDelay = minRenewRetry
		}
		select {
		case <-daemon.clock.After(interval):
		case <-daemon.leaveStarted:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// registration is this daemon's record in the store.
type registration struct {
	lease core.LeaseID // 0 if there is none
	epoch int64        // of the store when the record was written
}

// renew renews the lease of the record, or writes the record again if its lease has expired or the store has been restored since.
func (daemon *Daemon) renew(ctx context.Context, registered registration, value []byte) (registration, error) {
	switch {
	case registered.lease == 0:
	case daemon.storeEpoch() > registered.epoch:
		// The store may have lost the record alone, or have given the lease's ID to another daemon.
		daemon.log.Info().Str(eventField, eventLeaseLapsed).Int64("Lease", int64(registered.lease)).Msg("store restored; writing the record again")
	default:
		_, err := daemon.store.KeepAlive(ctx, registered.lease)
		if !errors.Is(err, core.ErrLeaseNotFound) {
			return registered, err
		}
		daemon.log.Warn().Str(eventField, eventLeaseLapsed).Int64("Lease", int64(registered.lease)).Msg("lease expired; writing the record again")
	}
	granted, err := daemon.store.GrantLease(ctx, memberTTL)
	if err != nil {
		return registration{}, err
	}
	put := core.Put{Key: core.MemberPrefix + string(daemon.id), Value: value, Lease: granted}
	result, err := daemon.store.Commit(ctx, core.Txn{Puts: []core.Put{put}})
	if err != nil {
		return registration{}, err
	}
	return registration{lease: granted, epoch: result.Revision.Epoch()}, nil
}

// storeEpoch returns the epoch of the store as of the copies.
func (daemon *Daemon) storeEpoch() int64 {
	var epoch int64
	daemon.do(func() { epoch = daemon.control.routes.Revision().Epoch() })
	return epoch
}

// rebuildMembers merges the store's list of daemons into the peers; it must run on the loop.
func (daemon *Daemon) rebuildMembers(now time.Time) {
	for _, known := range daemon.control.peers {
		known.listed = false
	}
	for _, entry := range daemon.control.live.Entries(now) {
		if !strings.HasPrefix(entry.Key, core.MemberPrefix) {
			continue
		}
		listed, ok := daemon.decodeMember(entry)
		if !ok || listed.Peer == daemon.options.Settings.AdvertisePeer {
			continue
		}
		known := daemon.addPeer(now, listed)
		known.listed = true
		// Records of earlier runs at the address stay until their leases expire.
		if known.lastSeen.IsZero() && entry.CreateRevision > known.revision {
			known.record, known.revision = listed, entry.CreateRevision
			daemon.control.peersBySize = nil
		}
	}
	daemon.control.chooser.Daemons = max(daemon.control.chooser.Daemons, len(daemon.control.peers)+1)
	settings := daemon.settings.Load()
	daemon.control.chooser.ColdOver, daemon.control.chooser.ColdSlack = settings.Bounds.ColdOver, settings.Bounds.ColdSlack
}

// decodeMember decodes the record of a daemon once for each of its revisions, and reports whether it is valid.
func (daemon *Daemon) decodeMember(entry core.Entry) (record, bool) {
	if known, found := daemon.control.decodedMembers[entry.Key]; found && known.revision == entry.ModRevision {
		return known.record, known.valid
	}
	decoded := decodedMember{revision: entry.ModRevision}
	err := json.Unmarshal(entry.Value, &decoded.record)
	decoded.valid = err == nil && decoded.record.isValid()
	if !decoded.valid {
		daemon.log.Warn().Str(eventField, eventMemberIgnored).Str("Key", entry.Key).AnErr("Cause", err).Msg("cannot decode a daemon's record; ignoring it")
	}
	if daemon.control.decodedMembers == nil || len(daemon.control.decodedMembers) > 4*len(daemon.control.peers)+1000 {
		daemon.control.decodedMembers = map[string]decodedMember{}
	}
	daemon.control.decodedMembers[entry.Key] = decoded
	return decoded.record, decoded.valid
}

type decodedMember struct {
	revision core.Revision
	record   record
	valid    bool
}

// addPeer returns the daemon at an address and adds it if it is new. The daemon is not used before it has responded to
// a ping: after a power failure the store lists daemons that no longer run.
func (daemon *Daemon) addPeer(now time.Time, listed record) *peer {
	if known := daemon.control.peers[listed.Peer]; known != nil {
		return known
	}
	calls, cancel := context.WithCancel(context.Background())
	added := &peer{record: listed, addedAt: now, callContext: calls, cancelCalls: cancel, forecasts: map[string]forecastAt{}}
	daemon.control.peers[listed.Peer], daemon.control.peersBySize = added, nil
	daemon.log.Info().Str(eventField, eventPeerMet).Str("Peer", string(listed.ID)).Msg("daemon added")
	daemon.control.largestCores = max(daemon.control.largestCores, listed.Cores)
	if len(daemon.control.peers) <= largeFleet || listed.Cores >= daemon.control.largestCores*largeVMShare {
		// In a large fleet only the daemons that may be senders and relays are pinged at once; gossip tells of the others.
		// With 295 daemons the pings of a daemon that starts took most of a second of its processor.
		daemon.spawn("ping", func() { daemon.ping(listed.Peer) })
	}
	return added
}

// removePeers removes daemons that the store does not list and that do not respond, and those not seen for removeAfter;
// it must run on the loop.
func (daemon *Daemon) removePeers(now time.Time) {
	for address, known := range daemon.control.peers {
		unseen := known.unseenFor(now)
		if !known.listed && !daemon.control.live.Unavailable() && unseen > daemon.directoryTimeout() || unseen > removeAfter {
			known.cancelCalls()
			delete(daemon.control.peers, address)
			daemon.control.peersBySize = nil
			daemon.log.Info().Str(eventField, eventPeerForgotten).Str("Peer", string(known.ID)).Dur("SilentFor", unseen).Msg("daemon removed")
		}
	}
	// This daemon's share of the limits grows only after a removal, since a daemon that has just disappeared may come
	// back.
	daemon.control.chooser.Daemons = len(daemon.control.peers) + 1
}

// unseenFor returns the time since the daemon was last seen, or since it was added if it never was.
func (known *peer) unseenFor(now time.Time) time.Duration {
	if known.lastSeen.IsZero() {
		return now.Sub(known.addedAt)
	}
	return now.Sub(known.lastSeen)
}

// isSuspect reports whether the daemon is passed over while there are others; it must run on the loop.
//
// The age of a daemon that is not pinged counts up to the newest contact with any daemon, not up to now: after a
// process stall of this daemon, the contacts with all of them are old.
func (daemon *Daemon) isSuspect(now time.Time, known *peer) bool {
	return known.callFailed || known.lastSeen.IsZero() || !known.unansweredSince.IsZero() && now.Sub(known.unansweredSince) > daemon.suspectAfter() ||
		daemon.control.peerLastSeen.Sub(known.lastSeen) > largeFleetDirectoryTimeout
}

// senderOf returns the daemon that sends the batches of the service, or nil if it is this one; it must run on the loop.
//
// Only daemons on large VMs are senders while there are any: one sender works for all daemons, and a small VM that
// falls behind delays every request of the service.
func (daemon *Daemon) senderOf(service string) *peer {
	now := daemon.clock.Now()
	var eligible, current []core.MemberID
	for _, candidate := range daemon.largePeers(now, "") {
		eligible = append(eligible, core.MemberID(candidate.Peer))
		if candidate.isSelf() && daemon.isSender(now, service) || candidate.sendsFor[service] {
			current = append(current, core.MemberID(candidate.Peer))
		}
	}
	// A current sender keeps the role: a daemon that comes back after a restart would have to learn all its estimates
	// again.
	if len(current) > 0 {
		eligible = current
	}
	return daemon.control.peers[string(member.PreferredOwner(eligible, core.PoolID{Service: service}))]
}

// largePeers returns the usable daemons on the largest VMs of a data centre, or of the whole fleet if it is empty, with
// this daemon among them; it must run on the loop.
func (daemon *Daemon) largePeers(now time.Time, dataCentre string) []*peer {
	var large []*peer
	largest := 0.0
	if self := daemon.self(); !daemon.leaving.Load() && !daemon.othersReachTargets(now) && (dataCentre == "" || dataCentre == self.DataCentre) {
		large, largest = append(large, &peer{record: self}), self.Cores
	}
	for _, known := range daemon.sortedPeers() {
		if known.Cores < largest*largeVMShare {
			break
		}
		if known.leaving || known.pathsLost || dataCentre != "" && known.DataCentre != dataCentre || daemon.isSuspect(now, known) {
			continue
		}
		large, largest = append(large, known), max(largest, known.Cores)
	}
	if len(large) > 0 && large[0].isSelf() && large[0].Cores < largest*largeVMShare {
		large = large[1:]
	}
	return large
}

// othersReachTargets reports whether this daemon has lost its paths to the targets while another one has not; it must run on the loop.
func (daemon *Daemon) othersReachTargets(now time.Time) bool {
	return daemon.paths.lost() && slices.ContainsFunc(daemon.sortedPeers(), func(known *peer) bool {
		return !known.pathsLost && !known.leaving && !daemon.isSuspect(now, known)
	})
}

// isSelf reports whether the daemon is this one, which is none of its own peers.
func (known *peer) isSelf() bool { return known.callContext == nil }

// sortedPeers returns the other daemons, those on the largest VMs first; it must run on the loop.
func (daemon *Daemon) sortedPeers() []*peer {
	control := &daemon.control
	if control.peersBySize == nil {
		control.peersBySize = slices.SortedFunc(maps.Values(control.peers), func(a, b *peer) int {
			return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(a.Peer, b.Peer))
		})
	}
	return control.peersBySize
}

// directoryTimeout returns the time without contact after which the directory omits a daemon; it must run on the loop.
func (daemon *Daemon) directoryTimeout() time.Duration {
	if len(daemon.control.peers) >= largeFleet {
		return largeFleetDirectoryTimeout
	}
	return directoryTimeout
}

// suspectAfter returns how long a ping may be unanswered before the daemon is suspect; it must run on the loop.
func (daemon *Daemon) suspectAfter() time.Duration {
	if len(daemon.control.peers) >= largeFleet {
		return largeFleetSuspectAfter
	}
	return suspectAfter
}

// isSender reports whether this daemon has recently sent batches or placed prompts of the service; it must run on the
// loop.
func (daemon *Daemon) isSender(now time.Time, service string) bool {
	if sender := daemon.control.senders[service]; sender != nil && sender.inUse(now) {
		return true
	}
	return now.Sub(daemon.control.lastPlacement[service]) < senderIdleTimeout
}

// peerAddresses returns the addresses of the other daemons in random order with suspects last, or the seeds of the
// settings if no daemon is known; it must run on the loop.
func (daemon *Daemon) peerAddresses() []string {
	now := daemon.clock.Now()
	var addresses, suspects []string
	for _, known := range daemon.control.peers {
		if daemon.isSuspect(now, known) {
			suspects = append(suspects, known.Peer)
		} else {
			addresses = append(addresses, known.Peer)
		}
	}
	shuffle := func(list []string) {
		daemon.control.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	shuffle(addresses)
	shuffle(suspects)
	addresses = append(addresses, suspects...)
	if len(addresses) == 0 {
		for _, seed := range daemon.settings.Load().Seeds {
			if seed != daemon.options.Settings.AdvertisePeer {
				addresses = append(addresses, seed)
			}
		}
		shuffle(addresses)
	}
	return addresses
}

// serveDirectory lists the daemons that callers may connect to.
func (daemon *Daemon) serveDirectory(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path != daemon.dialect.DirectoryPath() {
		http.NotFound(writer, request)
		return
	}
	var addresses []string
	caller, _, _ := net.SplitHostPort(request.RemoteAddr) // RemoteAddr always has a port
	daemon.do(func() { addresses = daemon.frontAddresses(caller) })
	if len(addresses) == 0 || !daemon.view.Load().routing.Known() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	ttl := min(directoryTTL, daemon.settings.Load().Bounds.DirectoryKeep)
	writer.Header().Set("Content-Type", "application/json")
	_, _ = writer.Write(daemon.dialect.AddressResponse(addresses, ttl))
}

// frontAddresses returns the addresses of up to maxAddresses live daemons of the caller's subset in random order; it
// must run on the loop.
func (daemon *Daemon) frontAddresses(caller string) []string {
	now := daemon.clock.Now()
	var live []member.WeightedDaemon
	// Daemons that have lost their paths to the targets are named only if all have.
	reaches := !daemon.paths.lost() || daemon.othersReachTargets(now)
	if self := daemon.self(); !daemon.leaving.Load() && !daemon.othersReachTargets(now) {
		live = append(live, member.WeightedDaemon{Address: self.Front, Weight: self.Cores})
	}
	for _, known := range daemon.control.peers {
		if !known.leaving && !(known.pathsLost && reaches) && !known.lastSeen.IsZero() && now.Sub(known.lastSeen) <= daemon.directoryTimeout() && !known.callFailed {
			live = append(live, member.WeightedDaemon{Address: known.Front, Weight: known.Cores})
		}
	}
	addresses := member.Subset(caller, live)
	daemon.control.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return slices.Clip(addresses[:min(len(addresses), maxAddresses)])
}

// serveReady responds to the platform's readiness check.
func (daemon *Daemon) serveReady(writer http.ResponseWriter, request *http.Request) {
	if !strings.HasPrefix(request.URL.Path, daemon.dialect.ReadyPath()) {
		http.NotFound(writer, request)
		return
	}
	if daemon.leaving.Load() || !daemon.view.Load().routing.Known() {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
}
