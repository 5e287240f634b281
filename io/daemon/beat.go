package daemon

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/member"
)

const (
	beatInterval  = 500 * time.Millisecond
	beatTimeout   = time.Second
	configTimeout = 2 * time.Second
)

// beat sends heartbeats at a fixed pace, and at once after a change of the configuration.
func (daemon *Daemon) beat(ctx context.Context) error {
	for {
		var heartbeat core.Heartbeat
		var peers []member.Record
		err := daemon.loop.Do(ctx, func() { heartbeat, peers = daemon.control.nextBeat() })
		if err != nil {
			return err
		}
		for _, record := range peers {
			go daemon.beatPeer(ctx, record, heartbeat)
		}
		select {
		case <-daemon.clock.After(beatInterval):
		case <-daemon.beatNow:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beatSoon asks for heartbeats without waiting for the interval.
func (daemon *Daemon) beatSoon() {
	select {
	case daemon.beatNow <- struct{}{}:
	default:
	}
}

func (daemon *Daemon) beatPeer(ctx context.Context, record member.Record, heartbeat core.Heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	sentAt := daemon.clock.Now()
	answer, err := daemon.peers.Heartbeat(ctx, record.Address, heartbeat)
	// An address can have passed to another run of a daemon; its answer is not the one of the member that was asked.
	if err != nil || answer.From != record.ID {
		daemon.log.Debug().Err(err).Str("peer", string(record.ID)).Msg("member: heartbeat not answered")
		return
	}
	daemon.loop.Post(func() { daemon.control.onHeartbeat(sentAt, answer) })
}

// Heartbeat implements peer.Service.
func (daemon *Daemon) Heartbeat(ctx context.Context, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	var answer core.Heartbeat
	err := daemon.loop.Do(ctx, func() {
		daemon.control.onHeartbeat(time.Time{}, heartbeat)
		answer = daemon.control.heartbeat()
	})
	return answer, err
}

// Config implements peer.Service.
func (daemon *Daemon) Config(_ context.Context, request core.ConfigRequest) (core.ConfigReply, error) {
	if request.Since == 0 {
		return daemon.feed.Whole(), nil
	}
	return daemon.feed.Since(request.Since), nil
}

func (control *control) nextBeat() (core.Heartbeat, []member.Record) {
	control.beats++
	return control.heartbeat(), control.view.HeartbeatPeers(control.now(), control.seed+control.beats)
}

func (control *control) heartbeat() core.Heartbeat {
	now := control.now()
	_, settled := control.keeper.Lease(now)
	heartbeat := core.Heartbeat{
		From:       control.daemon.id,
		Address:    control.daemon.address,
		DataCentre: control.daemon.options.DataCentre,
		Leaving:    control.leaving,
		Revision:   control.config.Revision(),
		Settled:    settled,
		Suspects:   control.suspects.list(now),
	}
	control.tracker.Fill(now, &heartbeat)
	return heartbeat
}

// onHeartbeat takes an answer to a heartbeat sent at sentAt, or with a zero time one that a peer sent by itself.
func (control *control) onHeartbeat(sentAt time.Time, heartbeat core.Heartbeat) {
	now := control.now()
	control.view.ObserveHeartbeat(now, heartbeat)
	control.tracker.ObserveHeartbeat(now, sentAt, heartbeat)
	control.learn(now, heartbeat.Suspects)
	if heartbeat.Revision > control.config.Revision() {
		control.daemon.fetchConfig(heartbeat.Address)
	}
	control.publish()
}

// fetchConfig gets the newer configuration of a peer, one fetch at a time.
func (daemon *Daemon) fetchConfig(address string) {
	if !daemon.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer daemon.fetching.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), configTimeout)
		defer cancel()
		reply, err := daemon.peers.Config(ctx, address, core.ConfigRequest{Since: daemon.feed.Revision()})
		if err != nil {
			daemon.log.Debug().Err(err).Str("address", address).Msg("config: peer gave no answer")
			return
		}
		daemon.feed.Apply(reply)
	}()
}
