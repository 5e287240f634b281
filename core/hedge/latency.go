package hedge

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minSamples        = 100              // answers of a route from which its quantile counts
	halfSpan          = 30 * time.Second // a histogram covers one to two of these; older answers are forgotten
	delayTTL          = time.Second      // lifetime of a computed quantile of enough answers
	reportTTL         = 10 * time.Second // lifetime of what another daemon reports
	maxRoutes         = 64               // routes with a histogram, of 10 KB twice
	maxReported       = 32               // routes in a report, about 2 KB
	maxLatency        = time.Minute
	significantDigits = 2 // an error of 1 in 100
	quantile          = 95
	maxCount          = 1 << 32 // of a valid report, so that sums do not overflow
)

// Latency is what 95 of 100 answers of a route need, by a number of them.
type Latency struct {
	Route string
	Count int64
	P95   time.Duration
}

type report struct {
	latencies []Latency
	at        time.Time
}

// latencies holds the latencies of a route in the current span and the one before.
type latencies struct {
	current, before *hdrhistogram.Histogram // in milliseconds
	since           time.Time               // start of the current span
	cached          Latency
	cachedAt        time.Time
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Milliseconds(), significantDigits)
}

func (latencies *latencies) advance(now time.Time) {
	for span := 0; now.Sub(latencies.since) >= halfSpan && span < 2; span++ {
		latencies.current, latencies.before = latencies.before, latencies.current
		latencies.current.Reset()
		latencies.since = latencies.since.Add(halfSpan)
	}
	if now.Sub(latencies.since) >= halfSpan {
		latencies.since = now
	}
}

func (latencies *latencies) latency(now time.Time, name string) Latency {
	if latencies.cached.Count < minSamples || now.Sub(latencies.cachedAt) >= delayTTL {
		latencies.advance(now)
		merged := latencies.before.Clone()
		merged.Merge(latencies.current)
		p95 := time.Duration(merged.ValueAtQuantile(quantile)) * time.Millisecond
		latencies.cached, latencies.cachedAt = Latency{Route: name, Count: merged.TotalCount(), P95: p95}, now
	}
	return latencies.cached
}

// Observe adds the time until the answer to a first try, or until the second try has answered before it.
func (hedger *Hedger) Observe(now time.Time, name string, latency time.Duration) {
	known := hedger.routes[name]
	if known == nil {
		if len(hedger.routes) >= maxRoutes {
			return
		}
		if hedger.routes == nil {
			hedger.routes = map[string]*latencies{}
		}
		known = &latencies{current: newHistogram(), before: newHistogram(), since: now}
		hedger.routes[name] = known
	}
	known.advance(now)
	_ = known.current.RecordValue(min(max(latency, time.Millisecond), maxLatency).Milliseconds())
}

// Delay returns the time from the start of a request after which a second try may begin; it returns false while too few answers of the route are known.
func (hedger *Hedger) Delay(now time.Time, name string) (time.Duration, bool) {
	if !hedger.On() {
		return 0, false
	}
	var own Latency
	if known := hedger.routes[name]; known != nil {
		own = known.latency(now, name)
	}
	count, weighted := own.Count, float64(own.Count)*float64(own.P95)
	if own.Count < minSamples {
		for _, report := range hedger.fleet {
			for _, latency := range report.latencies {
				if latency.Route == name && now.Sub(report.at) < reportTTL {
					count += latency.Count
					weighted += float64(latency.Count) * float64(latency.P95)
				}
			}
		}
	}
	if count < minSamples {
		return 0, false
	}
	return max(time.Duration(weighted/float64(count)), minDelay), true
}

// Report returns the latencies that this daemon tells the others, of the routes with the most answers; none while second tries are off.
func (hedger *Hedger) Report(now time.Time) []Latency {
	if !hedger.On() {
		return nil
	}
	var report []Latency
	for name, known := range hedger.routes {
		if latency := known.latency(now, name); latency.Count > 0 {
			report = append(report, latency)
		}
	}
	slices.SortFunc(report, func(a, b Latency) int { return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Route, b.Route)) })
	return report[:min(len(report), maxReported)]
}

// Merge records what the daemon at an address reports; a report without latencies removes the one before.
func (hedger *Hedger) Merge(now time.Time, daemon string, latencies []Latency) {
	for address, report := range hedger.fleet {
		if now.Sub(report.at) >= reportTTL {
			delete(hedger.fleet, address)
		}
	}
	valid := slices.DeleteFunc(slices.Clone(latencies), func(latency Latency) bool {
		return latency.Count <= 0 || latency.Count > maxCount || latency.P95 <= 0 || latency.P95 > maxLatency
	})
	if len(valid) == 0 || !hedger.On() {
		delete(hedger.fleet, daemon)
		return
	}
	if hedger.fleet == nil {
		hedger.fleet = map[string]report{}
	}
	hedger.fleet[daemon] = report{latencies: valid[:min(len(valid), maxReported)], at: now}
}
