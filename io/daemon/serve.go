package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core/config"
	"catkincove/core/flow"
	"catkincove/io/entry"
)

const maxAddresses = 4

func timeoutContext(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), timeout)
}

// InForce implements entry.Daemon.
func (daemon *Daemon) InForce() config.Config { return daemon.snapshot.Load().config }

// Request implements entry.Daemon.
func (daemon *Daemon) Request(ctx context.Context, request flow.Request, emit func(flow.Event) error) (flow.Result, error) {
	daemon.activeRequests.Add(1)
	defer daemon.activeRequests.Add(-1)
	if err := daemon.snapshot.Load().confirmed(daemon.clock.Now()); err != nil {
		return flow.Result{}, err
	}
	return daemon.runner.Run(ctx, request, emit)
}

// Addresses implements entry.Daemon.
func (daemon *Daemon) Addresses(caller string) entry.AddressBody {
	body := entry.AddressBody{KeepForMs: daemon.options.KeepFor.Milliseconds()}
	ctx, cancel := timeoutContext(time.Second)
	defer cancel()
	_ = daemon.loop.Do(ctx, func() {
		view := &daemon.control.view
		body.Addresses = view.Addresses(daemon.control.now(), xxhash.Sum64String(caller), daemon.options.DataCentre, maxAddresses)
	})
	return body
}
