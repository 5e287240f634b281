package daemon

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"catkincove/core/pool"
)

// metrics returns the counters of this daemon; the map is not published globally, so that one process can run several
// daemons.
func (daemon *Daemon) metrics() *expvar.Map {
	metrics := new(expvar.Map).Init()
	set := func(name string, value func() any) { metrics.Set(name, expvar.Func(value)) }
	set("RequestsActive", func() any { return daemon.activeRequests.Load() })
	set("ControlBytesRead", func() any { return daemon.peerBytes.BytesRead() })
	set("ControlBytesWritten", func() any { return daemon.peerBytes.BytesWritten() })
	set("ControlBusyMicroseconds", func() any { return daemon.loop.BusyTime().Microseconds() })
	set("ProcessCPUMicroseconds", func() any { return processCPU().Microseconds() })
	set("Store", func() any { return daemon.store.Counters() })
	set("Lease", func() any { return daemon.lease.Counters() })
	set("Feed", func() any { return daemon.feed.Counters() })
	set("LateResults", func() any { return daemon.runner.LateResults() })
	set("MismatchedAnswers", func() any { return daemon.targets.Mismatched() })
	set("SilentConnections", func() any { return daemon.targets.TimedOut() })
	set("CallerConnections", func() any { return daemon.intake.Connections() })
	set("CallerConnectionsEvicted", func() any { return daemon.intake.Evicted() })
	set("CallerConnectionsRefused", func() any { return daemon.intake.Refused() })
	set("Pools", func() any { return daemon.poolCounters() })
	return metrics
}

func (daemon *Daemon) poolCounters() map[string]pool.Counters {
	counters := map[string]pool.Counters{}
	ctx, cancel := timeoutContext(time.Second)
	defer cancel()
	_ = daemon.loop.Do(ctx, func() {
		for id, owned := range daemon.control.pools {
			counters[id.String()] = owned.dispatcher.Counters()
		}
	})
	return counters
}

// serveMetrics responds like expvar.Handler, with this daemon's counters added.
func (daemon *Daemon) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = io.WriteString(writer, "{\n")
	expvar.Do(func(variable expvar.KeyValue) {
		_, _ = fmt.Fprintf(writer, "%q: %s,\n", variable.Key, variable.Value)
	})
	_, _ = fmt.Fprintf(writer, "%q: %s\n}\n", "catkincove", daemon.metrics())
}

// processCPU returns the CPU time of the whole process, including the request path.
func processCPU() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
