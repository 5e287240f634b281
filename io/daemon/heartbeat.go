package daemon

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"catkincove/core"
	"catkincove/core/fresh"
	"catkincove/core/member"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	heartbeatTimeout  = time.Second
	configTimeout     = 2 * time.Second

	// gossipDuration is how long heartbeat responses carry gossip after a configuration change, while its confirmations
	// are counted.
	gossipDuration = 5 * time.Second

	idlePeers          = 2  // peers of one heartbeat in a fleet too large for a full mesh while no gossip is needed
	idlePeerHeartbeats = 60 // heartbeats until other idle peers are chosen; 30 s
)

// sendHeartbeats sends heartbeats every heartbeatInterval, and at once after triggerHeartbeat.
func (daemon *Daemon) sendHeartbeats(ctx context.Context) error {
	for {
		var heartbeat core.Heartbeat
		var peers []member.Record
		err := daemon.loop.Do(ctx, func() { heartbeat, peers = daemon.control.nextHeartbeat() })
		if err != nil {
			return err
		}
		for _, record := range peers {
			go daemon.sendHeartbeat(ctx, record, heartbeat)
		}
		select {
		case <-daemon.clock.After(heartbeatInterval):
		case <-daemon.heartbeatNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// triggerHeartbeat makes sendHeartbeats send without waiting for the interval.
func (daemon *Daemon) triggerHeartbeat() {
	select {
	case daemon.heartbeatNow <- struct{}{}:
	default:
	}
}

func (daemon *Daemon) sendHeartbeat(ctx context.Context, record member.Record, heartbeat core.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	sentAt := daemon.clock.Now()
	response, err := daemon.peers.Heartbeat(ctx, record.Address, heartbeat)
	if errors.Is(err, syscall.ECONNREFUSED) {
		daemon.loop.Post(func() { daemon.control.onConnectionRefused(record.ID) })
	}
	// A restarted daemon may use the same address; its response must not count for the member that was asked.
	if err != nil || response.From != record.ID {
		daemon.log.Debug().Err(err).Str("peer", string(record.ID)).Msg("member: no valid response to heartbeat")
		return
	}
	daemon.loop.Post(func() { daemon.control.onHeartbeat(sentAt, response) })
}

// Heartbeat implements peer.Service.
func (daemon *Daemon) Heartbeat(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	var response core.Heartbeat
	err := daemon.loop.Do(ctx, func() {
		daemon.control.onHeartbeat(time.Time{}, heartbeat)
		response = daemon.control.heartbeatResponse()
	})
	return response, err
}

// Config implements peer.Service.
func (daemon *Daemon) Config(_ context.Context, request core.ConfigRequest) (core.ConfigReply, error) {
	if request.Since == 0 {
		return daemon.feed.FullReply(), nil
	}
	return daemon.feed.Since(request.Since), nil
}

// nextHeartbeat returns the next heartbeat to send and its peers.
//
// Only responses carry gossip: the receiver of a request cannot date the entries, and they are most of its bytes.
func (control *control) nextHeartbeat() (core.Heartbeat, []member.Record) {
	control.heartbeats++
	heartbeat := control.heartbeat()
	peers := control.heartbeatPeers(control.needsGossip(heartbeat))
	heartbeat.Gossip = nil
	return heartbeat, peers
}

func (control *control) heartbeatResponse() core.Heartbeat {
	heartbeat := control.heartbeat()
	if !control.needsGossip(heartbeat) {
		heartbeat.Gossip = nil
	}
	return heartbeat
}

// heartbeatPeers returns all peers of a small fleet; in a larger one it returns a new subset for each heartbeat while
// gossip is needed, and few peers otherwise.
//
// Each open connection costs HTTP/2 pings from both ends every second, so an idle daemon of a large fleet keeps the same
// peers for a while.
func (control *control) heartbeatPeers(gossip bool) []member.Record {
	now := control.now()
	peers := control.view.HeartbeatPeers(now, control.seed+control.heartbeats)
	if gossip || len(peers)+1 >= len(control.view.Known()) {
		return peers
	}
	return control.view.HeartbeatPeers(now, control.seed+control.heartbeats/idlePeerHeartbeats)[:idlePeers]
}

func (control *control) heartbeat() core.Heartbeat {
	now := control.now()
	_, holdsLease := control.keeper.Lease(now)
	heartbeat := core.Heartbeat{
		From:       control.daemon.id,
		Address:    control.daemon.address,
		DataCentre: control.daemon.options.DataCentre,
		Leaving:    control.leaving,
		Revision:   control.config.Revision(),
		HoldsLease: holdsLease,
		Suspects:   control.suspects.list(now),
	}
	control.tracker.FillHeartbeat(now, &heartbeat)
	return heartbeat
}

// needsGossip reports whether some state has to reach all daemons; only then do responses carry entries of other members.
//
// All daemons see the causes: a new revision, a pool without owner, a departed member, a store that does not respond, or
// a new suspect. With gossip in all heartbeats, 64 daemons exchanged 220 KB/s each; the limit is 18 KB/s.
func (control *control) needsGossip(heartbeat core.Heartbeat) bool {
	if control.hasUnownedPool || control.hasDeparted || core.Elapsed(control.configChangedAt, control.now()) < gossipDuration {
		return true
	}
	if heartbeat.StoreAge < 0 || heartbeat.StoreAge > fresh.OutageAfter || recentOutage(heartbeat.OutageAge) {
		return true
	}
	newSuspect := func(suspect core.Suspect) bool { return suspect.Age < gossipDuration }
	outageReport := func(entry core.GossipEntry) bool { return recentOutage(entry.OutageAge) }
	return slices.ContainsFunc(heartbeat.Suspects, newSuspect) || slices.ContainsFunc(heartbeat.Gossip, outageReport)
}

// recentOutage reports whether an outage report of that age may still affect a quorum.
func recentOutage(age time.Duration) bool { return age >= 0 && age < 2*fresh.RecoveryTime }

// onHeartbeat handles the response to a heartbeat sent at sentAt, or a peer's own heartbeat if sentAt is zero.
func (control *control) onHeartbeat(sentAt time.Time, heartbeat core.Heartbeat) {
	now := control.now()
	delete(control.connectionRefusals, heartbeat.From)
	control.view.ObserveHeartbeat(now, heartbeat)
	control.tracker.ObserveHeartbeat(now, sentAt, heartbeat)
	control.mergeSuspects(now, heartbeat.Suspects)
	if heartbeat.Revision > control.config.Revision() {
		control.daemon.fetchConfig(heartbeat.Address)
	}
	control.publish()
}

// fetchConfig fetches a newer configuration from a peer; only one fetch runs at a time.
func (daemon *Daemon) fetchConfig(address string) {
	if !daemon.fetchingConfig.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer daemon.fetchingConfig.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
		defer cancel()
		reply, err := daemon.peers.Config(ctx, address, core.ConfigRequest{Since: daemon.feed.Revision()})
		if err != nil {
			daemon.log.Debug().Err(err).Str("address", address).Msg("config: no response from peer")
			return
		}
		daemon.feed.Apply(reply)
	}()
}
