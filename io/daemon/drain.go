package daemon

import (
	"context"
	"errors"
	"net/http"
	"time"

	"catkincove/core"
)

const (
	// shutdownTimeout bounds requests in progress after the listener is closed; deadlines of pipelines are shorter.
	shutdownTimeout = 2 * time.Minute
	revokeTimeout   = 2 * time.Second
)

var errDrained = errors.New("daemon has drained")

// Drain begins the graceful shutdown; further calls have no effect.
func (daemon *Daemon) Drain() {
	daemon.drainOnce.Do(func() { close(daemon.draining) })
}

// drain waits for Drain, serves for KeepFor while callers may still use this address, and ends when all requests are done.
func (daemon *Daemon) drain(ctx context.Context, server *http.Server) error {
	select {
	case <-daemon.draining:
	case <-ctx.Done():
		return ctx.Err()
	}
	daemon.log.Info().Dur("keepFor", daemon.options.KeepFor).Msg("daemon: leaving")
	if err := daemon.loop.Do(ctx, daemon.control.leave); err != nil {
		return err
	}
	daemon.triggerHeartbeat()
	if !core.Sleep(ctx, daemon.clock, daemon.options.KeepFor) {
		return ctx.Err()
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		daemon.log.Error().Err(err).Msg("daemon: shutdown with requests in progress")
	}
	daemon.runner.Wait()
	daemon.releases.Wait()
	revokeCtx, cancelRevoke := context.WithTimeout(ctx, revokeTimeout)
	defer cancelRevoke()
	if err := daemon.lease.Revoke(revokeCtx); err != nil {
		daemon.log.Warn().Err(err).Msg("lease: cannot revoke; it expires by itself")
	}
	daemon.log.Info().Msg("daemon: drained")
	return errDrained
}

func (control *control) leave() {
	control.leaving = true
	control.view.Self = control.view.Self.WithLeaving(true)
	control.publish()
}
