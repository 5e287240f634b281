package edge

import (
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatency        = int64(1)      // milliseconds
	maxLatency        = int64(60_000) // milliseconds
	significantDigits = 2             // precision of the histograms, an error of 1 in 100
	maxSeries         = 64            // routes that get a histogram
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
	placedAlone      atomic.Int64
	panics           atomic.Int64
	stagesRepeated   atomic.Int64
	responsesAborted atomic.Int64
	permitsDenied    atomic.Int64

	originsUnrecorded atomic.Int64 // streams that began before the record of their software version was written

	mutex     sync.Mutex
	outcomes  map[string]int64
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{outcomes: map[string]int64{}, latencies: map[string]*hdrhistogram.Histogram{}}
}

func (metrics *metrics) countOutcome(name string) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	metrics.outcomes[name]++
}

func (metrics *metrics) observeLatency(route string, latency time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	histogram := metrics.latencies[route]
	if histogram == nil {
		if len(metrics.latencies) >= maxSeries {
			return
		}
		histogram = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		metrics.latencies[route] = histogram
	}
	_ = histogram.RecordValue(min(max(latency.Milliseconds(), minLatency), maxLatency))
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
	set("PlacedAlone", metrics.placedAlone.Load())
	set("Panics", metrics.panics.Load())
	set("StagesRepeated", metrics.stagesRepeated.Load())
	set("ResponsesAborted", metrics.responsesAborted.Load())
	set("PermitsDenied", metrics.permitsDenied.Load())
	set("OriginsUnrecorded", metrics.originsUnrecorded.Load())
	set("CallerConnections", int64(daemon.intake.Connections()))
	set("CallerConnectionsEvicted", daemon.intake.Evicted())
	set("CallerConnectionsRefused", daemon.intake.Refused())
	set("ConnectionsOpened", daemon.targets.Opened())
	set("ResponsesSkipped", daemon.targets.Skipped())
	set("LogLinesDropped", daemon.logWriter.dropped.Load())
	metrics.mutex.Lock()
	for name, count := range metrics.outcomes {
		set("Outcome."+name, count)
	}
	for route, histogram := range metrics.latencies {
		for _, quantile := range []int{50, 95, 99} {
			set("LatencyMilliseconds."+route+"."+quantileName(quantile), histogram.ValueAtQuantile(float64(quantile)))
		}
	}
	metrics.mutex.Unlock()
	writer.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = writer.Write([]byte(values.String()))
}

func quantileName(quantile int) string {
	return map[int]string{50: "Median", 95: "P95", 99: "P99"}[quantile]
}
