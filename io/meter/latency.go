package meter

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range and precision of the latency histograms.
const (
	minLatency        = int64(1)      // milliseconds
	maxLatency        = int64(60_000) // milliseconds
	significantDigits = 2             // precision of the histograms, an error of 1 in 100
	maxSeries         = 64            // series that get a histogram
)

var quantiles = map[string]float64{"Median": 50, "P95": 95, "P99": 99}

// Latencies holds a histogram for each of up to 64 series; the zero value is ready to use and safe for concurrent use.
type Latencies struct {
	mutex      sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

// Observe adds a latency to the histogram of a series.
func (latencies *Latencies) Observe(series string, latency time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	histogram := latencies.histograms[series]
	if histogram == nil {
		if len(latencies.histograms) >= maxSeries {
			return
		}
		if latencies.histograms == nil {
			latencies.histograms = map[string]*hdrhistogram.Histogram{}
		}
		histogram = hdrhistogram.New(minLatency, maxLatency, significantDigits)
		latencies.histograms[series] = histogram
	}
	_ = histogram.RecordValue(min(max(latency.Milliseconds(), minLatency), maxLatency))
}

// Each calls visit with the median and the 95th and 99th percentile of each series.
func (latencies *Latencies) Each(visit func(series, quantile string, milliseconds int64)) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	for series, histogram := range latencies.histograms {
		for name, quantile := range quantiles {
			visit(series, name, histogram.ValueAtQuantile(quantile))
		}
	}
}
