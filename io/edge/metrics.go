package edge

import (
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"

	"catkincove/io/meter"
)

// metrics holds the counters and histograms of a daemon.
type metrics struct {
	storeOutages     atomic.Int64
	storeErrors      atomic.Int64
	peerErrors       atomic.Int64
	retryBudgetSpent atomic.Int64
	batchCalls       atomic.Int64
	batchPieces      atomic.Int64
	batchFaults      atomic.Int64
	toldCalls        atomic.Int64 // batch calls that went by what their target had told of its load
	toldAge          atomic.Int64 // milliseconds; sum of the ages of that
	placedAlone      atomic.Int64
	panics           atomic.Int64
	stagesRepeated   atomic.Int64 // requests whose stages ran again
	stagesRerun      atomic.Int64 // stages that ran again
	responsesAborted atomic.Int64
	permitsDenied    atomic.Int64
	stagesNotRerun   atomic.Int64 // requests whose inputs were gone without time to produce them again

	originsUnrecorded atomic.Int64 // streams that began before the record of their software version was written

	mutex     sync.Mutex
	outcomes  map[string]int64
	latencies meter.Latencies // by route
}

func newMetrics() *metrics {
	return &metrics{outcomes: map[string]int64{}}
}

func (metrics *metrics) countOutcome(name string) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	metrics.outcomes[name]++
}

// serveMetrics writes the metrics in the format of expvar.
func (daemon *Daemon) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	values := new(expvar.Map).Init()
	set := func(name string, value int64) {
		counter := new(expvar.Int)
		counter.Set(value)
		values.Set(name, counter)
	}
	metrics := daemon.metrics
	set("RequestsActive", daemon.activeRequests.Load())
	set("StoreLost", metrics.storeOutages.Load())
	set("StoreErrors", metrics.storeErrors.Load())
	set("PeerErrors", metrics.peerErrors.Load())
	set("RetryBudgetSpent", metrics.retryBudgetSpent.Load())
	set("BatchCalls", metrics.batchCalls.Load())
	set("BatchPieces", metrics.batchPieces.Load())
	set("BatchFaults", metrics.batchFaults.Load())
	set("ToldCalls", metrics.toldCalls.Load())
	set("ToldAgeMilliseconds", metrics.toldAge.Load())
	set("PlacedAlone", metrics.placedAlone.Load())
	set("Panics", metrics.panics.Load())
	set("StagesRepeated", metrics.stagesRepeated.Load())
	set("StagesRunAgain", metrics.stagesRerun.Load())
	set("StagesNotRepeated", metrics.stagesNotRerun.Load())
	set("ResponsesAborted", metrics.responsesAborted.Load())
	set("PermitsDenied", metrics.permitsDenied.Load())
	set("OriginsUnrecorded", metrics.originsUnrecorded.Load())
	set("CallerConnections", int64(daemon.intake.Connections()))
	set("CallerConnectionsEvicted", daemon.intake.Evicted())
	set("CallerConnectionsRefused", daemon.intake.Refused())
	set("ConnectionsOpened", daemon.targets.Opened())
	set("ResponsesSkipped", daemon.targets.Skipped())
	set("LogLinesDropped", daemon.logWriter.Dropped())
	for name, value := range daemon.shift.Metrics() {
		set(name, value)
	}
	daemon.do(func() {
		daemon.control.hedger.EachCount(set)
		daemon.control.door.EachCount(daemon.clock.Now(), set)
		for service, sender := range daemon.control.senders {
			set("SecondTries.Pieces."+service, sender.pool.Early.Repeated())
		}
	})
	metrics.mutex.Lock()
	for name, count := range metrics.outcomes {
		set("Outcome."+name, count)
	}
	metrics.mutex.Unlock()
	metrics.latencies.Each(func(route, quantile string, milliseconds int64) {
		set("LatencyMilliseconds."+route+"."+quantile, milliseconds)
	})
	writer.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = writer.Write([]byte(values.String()))
}
