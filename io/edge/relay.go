package edge

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/member"
)

// Limits of relays, the daemons that follow the store for the others of a large fleet.
const (
	rootRelays           = 2                      // daemons of a fleet that follow the store; the relays of the data centres copy from them
	relaysPerDataCentre  = 2                      // daemons of each data centre that the others there copy from
	relayWatchWait       = 550 * time.Millisecond // longest wait of a store watch of a daemon that others may copy from
	relayPollWait        = 400 * time.Millisecond // longest wait of a request to a relay that has no changes
	relayResponseTimeout = 800 * time.Millisecond // limit on the time to a relay's first byte; an unresponsive relay takes this much of the time until a new configuration must be in force
	relayProbeTimeout    = 300 * time.Millisecond // the same for the first request to a relay, which does not wait for changes
	maxRelayAge          = 2 * time.Second        // maximum age of a relay's copies before it is passed over: a watch, a poll, and the time until a relay has found that its own relays fail
	maxFailingRelayAge   = 800 * time.Millisecond // the same for a relay to which the store is unavailable; more than a watch takes
	maxRelayFailures     = 2                      // consecutive relays that fail before the store is followed: further ones may depend on the same daemons
	relayBackoff         = 3 * time.Second        // time for which a relay that failed is passed over, and for which the store is followed then
	directWatchInterval  = 700 * time.Millisecond // time between store watches that return changes, for a daemon without a usable relay
	staleBackoff         = time.Second            // time for which a relay with old copies is passed over
	relayAwait           = 500 * time.Millisecond // longest wait for a relay after the listing at the start
	relayAwaitStep       = 50 * time.Millisecond  // interval of looking for a relay meanwhile
	maxFleetProbes       = 20.0                   // probes of the store a second by all daemons while the relays say that it is unavailable
)

// errStaleCopies reports that the copies of a relay are old: the store is unavailable to it.
var errStaleCopies = errors.New("copies are old")

// errUnorderedCopies reports that the copies of a relay cannot be compared with this daemon's.
var errUnorderedCopies = errors.New("copies are from before a restore of the store, or of a build that does not know epochs")

// relays chooses the daemon that this one copies from instead of following the store, as all do in a small fleet: with 71
// daemons their watches were the largest cost of a day, and each read all heartbeats of 200 targets.
//
// Load pattern: relays that fail, or lose the store, while hundreds of daemons depend on them. These turn to the next relay
// and not all to the store.
type relays struct {
	daemon      *Daemon
	passedOver  map[string]passedOver // by peer address
	failures    int                   // consecutive relays that have failed
	directUntil time.Time             // the store is followed until then
}

type passedOver struct {
	until time.Time
	stale bool // the relay responds, but its copies are old
}

// candidates returns the relays of this daemon in order of preference, or none if it follows the store itself; it must run
// on the loop.
func (daemon *Daemon) relayCandidates() []*peer {
	control, self := &daemon.control, daemon.self()
	if len(control.peers) < largeFleet || daemon.leaving.Load() {
		return nil
	}
	now := daemon.clock.Now()
	roots := daemon.topRelays(now, "", rootRelays)
	if slices.ContainsFunc(roots, (*peer).isSelf) {
		return nil
	}
	local := daemon.topRelays(now, self.DataCentre, relaysPerDataCentre)
	if slices.ContainsFunc(local, (*peer).isSelf) {
		local = nil
	}
	return slices.Concat(byPreference(self.Peer, local), byPreference(self.Peer, roots))
}

// topRelays returns the relays of a data centre, or those that follow the store for the whole fleet if it is empty.
func (daemon *Daemon) topRelays(now time.Time, dataCentre string, count int) []*peer {
	large := daemon.largePeers(now, dataCentre)
	ranked := byPreference("relay "+dataCentre, large)
	return ranked[:min(len(ranked), count)]
}

// byPreference orders daemons by rendezvous hashing, so that all agree on the relays and followers spread over them.
func byPreference(key string, daemons []*peer) []*peer {
	byAddress := map[core.MemberID]*peer{}
	var addresses []core.MemberID
	for _, known := range daemons {
		byAddress[core.MemberID(known.Peer)] = known
		addresses = append(addresses, core.MemberID(known.Peer))
	}
	var ordered []*peer
	for _, address := range member.RankOwners(addresses, core.PoolID{Service: key}) {
		ordered = append(ordered, byAddress[address])
	}
	return ordered
}

// next returns the relay to copy from, or nil if the store has to be followed.
func (relays *relays) next() *peer {
	chosen, _ := relays.choose()
	return chosen
}

// choose returns the relay to copy from, and whether all relays are passed over and one of them is stale.
func (relays *relays) choose() (chosen *peer, stale bool) {
	daemon := relays.daemon
	daemon.do(func() {
		now := daemon.clock.Now()
		if now.Before(relays.directUntil) {
			return
		}
		for _, candidate := range daemon.relayCandidates() {
			passed := relays.passedOver[candidate.Peer]
			if !now.Before(passed.until) {
				chosen = candidate
				return
			}
			stale = stale || passed.stale
		}
	})
	return chosen, stale
}

// await waits for a moment after the listing at the start until a relay has responded to a ping; following the store
// meanwhile would cost several calls.
func (relays *relays) await(ctx context.Context) {
	for waited := time.Duration(0); waited < relayAwait && relays.next() == nil; waited += relayAwaitStep {
		fleetIsLarge := false
		relays.daemon.do(func() { fleetIsLarge = len(relays.daemon.control.peers) >= largeFleet })
		if !fleetIsLarge || !core.Sleep(ctx, relays.daemon.clock, relayAwaitStep) {
			return
		}
	}
}

// follow copies from a relay as long as it is usable; it returns false if the store has to be followed.
func (relays *relays) follow(ctx context.Context) bool {
	daemon := relays.daemon
	relay, stale := relays.choose()
	switch {
	case relay == nil && stale && !relays.probes():
		daemon.markStoreUnavailable(errStaleCopies)
		core.Sleep(ctx, daemon.clock, staleBackoff)
		return true
	case relay == nil && stale:
		relays.directUntil = daemon.clock.Now().Add(relayBackoff)
		return false // the store may be unavailable to the relays only
	case relay == nil:
		return false
	}
	if err := relays.followOne(ctx, relay); err != nil && ctx.Err() == nil {
		relays.passOver(relay, err)
	}
	return true
}

// probes decides whether this daemon is one of those that ask the store while the relays say that it is unavailable: it may
// be unavailable to the relays only.
func (relays *relays) probes() bool {
	daemon := relays.daemon
	probes := false
	daemon.do(func() {
		share := maxFleetProbes * staleBackoff.Seconds() / float64(len(daemon.control.peers)+1)
		probes = daemon.control.random.Float64() < share
	})
	return probes
}

func (relays *relays) passOver(relay *peer, err error) {
	if relays.passedOver == nil {
		relays.passedOver = map[string]passedOver{}
	}
	now := relays.daemon.clock.Now()
	for address, passed := range relays.passedOver {
		if now.After(passed.until) {
			delete(relays.passedOver, address)
		}
	}
	passed := passedOver{until: now.Add(relayBackoff)}
	if errors.Is(err, errStaleCopies) {
		passed = passedOver{until: now.Add(staleBackoff), stale: true}
	}
	relays.passedOver[relay.Peer] = passed
	if !passed.stale {
		relays.failures++
	}
	if relays.failures >= maxRelayFailures {
		relays.failures, relays.directUntil = 0, now.Add(relayBackoff)
	}
	relays.daemon.log.Warn().Str(eventField, eventRelayPassedOver).Str("Peer", string(relay.ID)).Err(err).Msg("relay failed or is out of date; passing it over")
}

// retryDelay returns the time between two attempts to reach the store, which bills rejected calls as well.
func (relays *relays) retryDelay() time.Duration {
	candidates := 0
	relays.daemon.do(func() { candidates = len(relays.daemon.relayCandidates()) })
	if candidates > 0 {
		return largeFleetRetryDelay
	}
	return storeRetryDelay
}

// followOne copies from a relay until this daemon prefers another one or none; it returns an error if the relay fails or its
// copies are too old.
func (relays *relays) followOne(ctx context.Context, relay *peer) error {
	daemon := relays.daemon
	daemon.log.Info().Str(eventField, eventRelayFollowed).Str("Peer", string(relay.ID)).Msg("copying from a relay instead of the store")
	for wait, timeout := time.Duration(0), relayProbeTimeout; ctx.Err() == nil && relays.next() == relay; wait, timeout = relayPollWait, relayResponseTimeout {
		if daemon.pauses.Unchecked() != nil {
			wait = 0
		}
		question := daemon.ask(ctx)
		copied, err := daemon.copyFrom(question.Context, relay.Peer, wait, timeout)
		question.Cancel()
		switch {
		case daemon.outdated(question):
			continue
		case err != nil:
			daemon.do(func() { daemon.markFailed(relay, err) })
			return err
		case copied.unordered:
			return errUnorderedCopies
		case copied.areStale():
			return fmt.Errorf("%w: %v", errStaleCopies, copied.age.Round(time.Millisecond))
		}
		relays.failures = 0
		daemon.answered(question)
	}
	return nil
}
