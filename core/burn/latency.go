package burn

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	latencyUnit              = 100 * time.Microsecond
	maxLatency               = time.Minute
	latencySignificantDigits = 2 // bounds the error of a value to one per cent
	latencyRotationPeriod    = time.Hour
)

// latency holds one histogram each for the current and the previous rotation period.
type latency struct {
	since    time.Time
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram // nil during the first rotation period
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxLatency/latencyUnit), latencySignificantDigits)
}

func (latency *latency) add(now time.Time, duration time.Duration) {
	switch age := now.Sub(latency.since); {
	case latency.current == nil || age >= 2*latencyRotationPeriod:
		latency.since, latency.current, latency.previous = now, newHistogram(), nil
	case age >= latencyRotationPeriod:
		latency.since, latency.current, latency.previous = now, newHistogram(), latency.current
	}
	_ = latency.current.RecordValue(int64(min(max(duration, latencyUnit), maxLatency) / latencyUnit))
}

func (latency *latency) histogram() Histogram {
	sum := newHistogram()
	if latency.current != nil {
		sum.Merge(latency.current)
	}
	if latency.previous != nil {
		sum.Merge(latency.previous)
	}
	return histogramOf(sum)
}

// Bin counts durations of nearly the same length, of which Duration is the upper bound.
type Bin struct {
	Duration time.Duration
	Count    int64
}

// Histogram holds bins, shortest duration first, exact to one per cent; in reports it covers the last one to two hours.
type Histogram []Bin

func histogramOf(histogram *hdrhistogram.Histogram) Histogram {
	var bins Histogram
	for _, bin := range histogram.Distribution() {
		if bin.Count > 0 {
			bins = append(bins, Bin{Duration: time.Duration(bin.To) * latencyUnit, Count: bin.Count})
		}
	}
	return bins
}

// Plus returns a histogram with the durations of both.
func (histogram Histogram) Plus(other Histogram) Histogram {
	sum := newHistogram()
	for _, part := range []Histogram{histogram, other} {
		for _, bin := range part {
			_ = sum.RecordValues(int64(min(bin.Duration, maxLatency)/latencyUnit), bin.Count)
		}
	}
	return histogramOf(sum)
}

// Total returns the number of durations.
func (histogram Histogram) Total() (total int64) {
	for _, bar := range histogram {
		total += bar.Count
	}
	return total
}

// Quantile returns the duration that the given share (0 to 1) of durations do not exceed; it is 0 when there are none.
func (histogram Histogram) Quantile(quantile float64) time.Duration {
	rank := int64(math.Ceil(quantile * float64(histogram.Total())))
	for _, bar := range histogram {
		if rank -= bar.Count; rank <= 0 {
			return bar.Duration
		}
	}
	return 0
}
