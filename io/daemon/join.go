package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"catkincove/core"
)

const (
	joinInterval = time.Second
	joinTimeout  = 2 * time.Second
	maxListBytes = 4 << 20
)

// join copies the configuration, the members and the owners from a peer if the store cannot be read at startup.
//
// VMs are replaced at any time, also while the store is down. A peer's data may be stale: the outage quorum or the store
// has to confirm it before work is granted.
func (daemon *Daemon) join(ctx context.Context) error {
	for {
		if !core.Sleep(ctx, daemon.clock, joinInterval) {
			return ctx.Err()
		}
		membersRead := false
		if err := daemon.loop.Do(ctx, func() { membersRead = daemon.control.membersRead }); err != nil {
			return err
		}
		if membersRead {
			<-ctx.Done()
			return ctx.Err()
		}
		daemon.learnFromPeers(ctx, daemon.bootstrapPeers(ctx))
	}
}

func (daemon *Daemon) learnFromPeers(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		callCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		reply, err := daemon.peers.Config(callCtx, address, core.ConfigRequest{})
		cancel()
		if err != nil {
			daemon.log.Debug().Err(err).Str("address", address).Msg("join: no response from peer")
			continue
		}
		if daemon.feed.Apply(reply) {
			daemon.log.Info().Str("address", address).Int64("revision", int64(reply.Revision)).Msg("join: copied state from peer")
			return
		}
	}
}

// bootstrapPeers returns the seeds and the VMs on the platform's list, which may be stale: both are only candidates to ask.
func (daemon *Daemon) bootstrapPeers(ctx context.Context) []string {
	addresses := append([]string{}, daemon.options.Seeds...)
	if daemon.options.VMList == "" {
		return addresses
	}
	listed, err := daemon.listVMs(ctx)
	if err != nil {
		daemon.log.Warn().Err(err).Msg("join: cannot read the list of VMs")
	}
	for _, address := range listed {
		if address != daemon.address {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

func (daemon *Daemon) listVMs(ctx context.Context) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, daemon.options.VMList, nil)
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	return decodeVMs(data, daemon.address)
}

// decodeVMs decodes the platform's list, {"vms": [{"address", ...}]}; an address without a port gets this daemon's port.
func decodeVMs(data []byte, ownAddress string) ([]string, error) {
	var list struct{ VMs []struct{ Address string } }
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, fmt.Errorf("list of VMs: %w", err)
	}
	_, port, err := net.SplitHostPort(ownAddress)
	if err != nil {
		return nil, fmt.Errorf("own address %q: %w", ownAddress, err)
	}
	var addresses []string
	for _, vm := range list.VMs {
		if _, _, err := net.SplitHostPort(vm.Address); err != nil {
			vm.Address = net.JoinHostPort(vm.Address, port)
		}
		addresses = append(addresses, vm.Address)
	}
	return addresses, nil
}
