package edge

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"catkincove/core"
)

const (
	shutdownReserve    = 1500 * time.Millisecond // time before the end of the grace period when new requests are no longer accepted and the last ones end
	cutoffReserve      = 400 * time.Millisecond  // time before the end of the grace period when requests still running are cut off
	idleBeforeExit     = time.Second             // time without requests that allows an exit before the end of the grace period
	streamAcceptPeriod = 3 * time.Second         // time after SIGTERM in which streams are still accepted: most end within the rest of the grace period
	minDrain           = 3500 * time.Millisecond // minimum drain, since callers may still use the address: the directory's TTL is 2 s, and a look-up takes up to 1 s
	exitReserve        = 100 * time.Millisecond  // time before the end of the grace period when the process exits
	exitPollInterval   = 20 * time.Millisecond   // interval of looking for the end of the last requests

	frontService = 0 // index of the service for callers
)

// drain ends the requests of a leaving daemon in two steps: from startsEnded on no target gets a request that would be cut off, and from requestsEnded on
// those in progress end with a response that says what is known, since a connection that closes without one says nothing.
type drain struct {
	startsEnded   context.Context
	endStarts     context.CancelFunc
	requestsEnded context.Context
	endRequests   context.CancelFunc
}

func newDrain() drain {
	var drain drain
	drain.startsEnded, drain.endStarts = context.WithCancel(context.Background())
	drain.requestsEnded, drain.endRequests = context.WithCancel(context.Background())
	return drain
}

// untilCut returns a context that ends with ctx, or when the requests in progress are cut off.
func (daemon *Daemon) untilCut(ctx context.Context) (context.Context, context.CancelFunc) {
	return endedBy(ctx, daemon.drain.requestsEnded, func() bool { return true })
}

// whileStartable returns a context that ends with ctx, or when no target may get the request any longer.
func (daemon *Daemon) whileStartable(ctx context.Context, request *request) (context.Context, context.CancelFunc) {
	return endedBy(ctx, daemon.drain.startsEnded, func() bool { return daemon.wouldOutlast(request) })
}

// endedBy returns a context that ends with ctx, or with cause if it applies then.
func endedBy(ctx, cause context.Context, applies func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(cause, func() {
		if applies() {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// wouldOutlast reports whether the request, which no target has got yet, may still be running when a leaving daemon cuts off requests.
func (daemon *Daemon) wouldOutlast(request *request) bool {
	began := daemon.leavingSince.Load()
	return began != nil && (request.route.Stream || request.deadline.After(began.Add(daemon.settings.Load().Grace-cutoffReserve)))
}

// endedByDrain reports whether a leaving daemon has ended the request.
func (daemon *Daemon) endedByDrain(request *request) bool {
	if daemon.leavingSince.Load() == nil {
		return false
	}
	return daemon.drain.requestsEnded.Err() != nil || daemon.drain.startsEnded.Err() != nil && !request.mayHaveRun && !request.responseStarted && daemon.wouldOutlast(request)
}

// wouldBeCut reports whether the request may still be running when a leaving daemon cuts off requests. Callers with a
// cached address connect until shortly before the end: a rejected caller goes to another daemon, while one that is cut
// off loses what it has received.
func (daemon *Daemon) wouldBeCut(request *request) bool {
	began := daemon.leavingSince.Load()
	if began == nil {
		return false
	}
	if request.route.Stream {
		return daemon.clock.Now().Sub(*began) > min(streamAcceptPeriod, daemon.settings.Load().Grace/2)
	}
	return daemon.wouldOutlast(request)
}

type drained struct{}

func (drained) Error() string { return "drained" }

var errDrained error = drained{}

// drainOnSignal waits for SIGTERM or an interrupt, leaves the directory, goes on serving callers that still use the
// address, and returns errDrained when no request has come for a while or the grace period is nearly over.
func (daemon *Daemon) drainOnSignal(ctx context.Context, services []service) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case received := <-signals:
			if received == syscall.SIGHUP {
				daemon.reload("SIGHUP")
				continue
			}
		}
		break
	}
	began := daemon.clock.Now()
	grace := daemon.settings.Load().Grace
	daemon.leaveOnce.Do(func() {
		daemon.leavingSince.Store(&began)
		daemon.leaving.Store(true)
		close(daemon.leaveStarted)
	})
	daemon.loop.Post(daemon.handOverJobs)
	daemon.log.Info().Str(eventField, eventDrain).Dur("Grace", grace).Int64("Active", daemon.activeRequests.Load()).Msg("draining before exit")
	for {
		if !core.Sleep(ctx, daemon.clock, 100*time.Millisecond) {
			return ctx.Err()
		}
		elapsed := daemon.clock.Now().Sub(began)
		idle := daemon.activeRequests.Load() == 0 && daemon.clock.Now().UnixNano()-daemon.lastRequestEnd.Load() > int64(idleBeforeExit)
		if elapsed > grace-shutdownReserve || elapsed > minDrain && idle {
			break
		}
	}
	daemon.drain.endStarts()
	if err := daemon.shutDown(ctx, services, began.Add(grace-cutoffReserve)); err != nil {
		daemon.log.Warn().Str(eventField, eventDrainCut).Int64("Active", daemon.activeRequests.Load()).Err(err).Msg("grace period ended with requests in progress")
		daemon.drain.endRequests()
		if err := daemon.shutDown(ctx, services, began.Add(grace-exitReserve)); err != nil {
			daemon.log.Warn().Str(eventField, eventDrainCut).Int64("Active", daemon.activeRequests.Load()).Err(err).Msg("requests have not ended after they were cut off")
		}
	}
	return errDrained
}

// shutDown stops accepting requests of callers, closes idle connections, and waits until the deadline for the requests in progress, also for those that
// other daemons have passed on.
func (daemon *Daemon) shutDown(ctx context.Context, services []service, deadline time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, max(deadline.Sub(daemon.clock.Now()), 0))
	defer cancel()
	if err := services[frontService].server.Shutdown(ctx); err != nil {
		return err
	}
	for daemon.activeRequests.Load() > 0 {
		if !core.Sleep(ctx, daemon.clock, exitPollInterval) {
			return ctx.Err()
		}
	}
	core.Sleep(ctx, daemon.clock, exitPollInterval) // the last response to another daemon is written after its request has ended
	return nil
}
