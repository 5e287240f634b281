package edge

import (
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the latency histograms.
const (
	leastLatency = int64(1)      // milliseconds
	mostLatency  = int64(60_000) // milliseconds
	digits       = 2             // significant ones, an error of 1 in 100
	maxSeries    = 64            // routes with a histogram of their own
)

// metrics are the counters and histograms of a daemon.
type metrics struct {
	storeLost   atomic.Int64
	storeErrors atomic.Int64
	peerErrors  atomic.Int64
	budgetSpent atomic.Int64
	stageCalls  atomic.Int64
	stagePieces atomic.Int64
	stageFaults atomic.Int64
	placedAlone atomic.Int64

	mutex     sync.Mutex
	outcomes  map[string]int64
	latencies map[string]*hdrhistogram.Histogram
}

func newMetrics() *metrics {
	return &metrics{outcomes: map[string]int64{}, latencies: map[string]*hdrhistogram.Histogram{}}
}

func (metrics *metrics) outcome(name string) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	metrics.outcomes[name]++
}

func (metrics *metrics) observe(route string, took time.Duration) {
	metrics.mutex.Lock()
	defer metrics.mutex.Unlock()
	histogram := metrics.latencies[route]
	if histogram == nil {
		if len(metrics.latencies) >= maxSeries {
			return
		}
		histogram = hdrhistogram.New(leastLatency, mostLatency, digits)
		metrics.latencies[route] = histogram
	}
	_ = histogram.RecordValue(min(max(took.Milliseconds(), leastLatency), mostLatency))
}

// serveMetrics answers in the format of expvar.
func (daemon *Daemon) serveMetrics(writer http.ResponseWriter, _ *http.Request) {
	values := new(expvar.Map).Init()
	set := func(name string, value int64) {
		counter := new(expvar.Int)
		counter.Set(value)
		values.Set(name, counter)
	}
	metrics := daemon.metrics
	set("RequestsActive", daemon.active.Load())
	set("StoreLost", metrics.storeLost.Load())
	set("StoreErrors", metrics.storeErrors.Load())
	set("PeerErrors", metrics.peerErrors.Load())
	set("RetryBudgetSpent", metrics.budgetSpent.Load())
	set("BatchCalls", metrics.stageCalls.Load())
	set("BatchPieces", metrics.stagePieces.Load())
	set("BatchFaults", metrics.stageFaults.Load())
	set("PlacedAlone", metrics.placedAlone.Load())
	set("ConnectionsOpened", daemon.targets.Opened())
	set("LogLinesDropped", daemon.lines.dropped.Load())
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
