package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkincove/core"
	"catkincove/stand/engine"
)

const (
	// Objectives of the first token and of the mean time between tokens.
	firstTokenObjective = 810 * time.Millisecond
	tokenGapObjective   = 30 * time.Millisecond

	longestNoted = int64(time.Minute / time.Microsecond)
	digits       = 3
)

// outcome is the end of one offered request.
type outcome struct {
	arrival Arrival
	lag     time.Duration // of the generator behind the schedule
	took    time.Duration
	first   time.Duration // 0 when nothing was generated
	last    time.Duration
	tokens  int
	right   bool
	err     *core.Error
}

// attained reports whether the whole right answer came in time.
func (outcome outcome) attained() bool {
	return outcome.err == nil && outcome.right && outcome.took <= outcome.arrival.Kind.Deadline
}

func (outcome outcome) tokenGap() time.Duration {
	if outcome.tokens < 2 {
		return 0
	}
	return (outcome.last - outcome.first) / time.Duration(outcome.tokens-1)
}

// Refusals are the requests that ended with an error of one kind; the latencies are from the arrival to the error.
type Refusals struct {
	Kind                string // error kind, stage and whether it was run
	Count               int
	P50Ms, P99Ms, MaxMs float64
}

// Stage is the cost of one stage over a whole run, in target seconds as the stand-ins are set.
type Stage struct {
	Stage         string
	Calls         int
	UsedSeconds   float64
	WastedSeconds float64 // not part of an answer that came in time
}

// Report is what one system made of one load.
type Report struct {
	System, Mix, Scenario    string
	Seed                     uint64
	Rate                     float64 // offered requests per second in the window
	LoadAverage              string
	LagP99Ms                 float64 // how late the generator itself was: a starved machine shows here
	Offered, Finished, Wrong int
	Attainment               float64 // of offered requests
	FirstToken, TokenGap     float64 // attainment of their objectives among the requests with tokens
	Goodput                  float64 // requests in time per second
	Work                     float64 // least target seconds of requests in time, per second
	P50Ms, P99Ms             float64 // of requests in time
	Groups                   map[string]float64
	Refusals                 []Refusals
	Stages                   []Stage
	CostRatio                float64 // target seconds used by the least possible for the requests in time
	Amplification            float64 // calls received by the calls without repetition
	Falls                    int
	QuietFalls               int // falls of targets that no scenario crashes
	Calls, LeastCalls        int
}

// ratio returns part by whole, and 0 for an empty whole.
func ratio[Number int | float64](part, whole Number) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// judge fills in what the callers saw; only requests that arrived in the window count.
func (report *Report) judge(mix Mix, outcomes []outcome, window time.Duration) {
	latency, lag := hdrhistogram.New(1, longestNoted, digits), hdrhistogram.New(1, longestNoted, digits)
	groups := map[string][2]int{}
	withTokens, quick, smooth, attained := 0, 0, 0, 0
	for _, outcome := range outcomes {
		report.Offered++
		_ = lag.RecordValue(max(1, outcome.lag.Microseconds()))
		good := outcome.attained()
		count(groups, outcome.arrival, good)
		if outcome.err == nil && !outcome.right {
			report.Wrong++
		}
		if outcome.tokens > 0 && outcome.err == nil {
			withTokens++
			quick += toInt(outcome.first <= firstTokenObjective)
			smooth += toInt(outcome.tokenGap() <= tokenGapObjective)
		}
		if good {
			attained++
			_ = latency.RecordValue(outcome.took.Microseconds())
		}
	}
	report.Attainment = ratio(attained, report.Offered)
	report.FirstToken, report.TokenGap = ratio(quick, withTokens), ratio(smooth, withTokens)
	report.Rate = float64(report.Offered) / window.Seconds()
	report.LagP99Ms = milliseconds(lag, 99)
	report.P50Ms, report.P99Ms = milliseconds(latency, 50), milliseconds(latency, 99)
	report.Groups = map[string]float64{}
	for name, counts := range groups {
		report.Groups[name] = ratio(counts[0], counts[1])
	}
	report.Refusals = refusals(outcomes)
}

// produce fills in the goodput: what ended in time between two times of the run, whenever it arrived.
//
// Counting by arrival would credit an overloaded system with the queue that it works off after the last arrival.
func (report *Report) produce(mix Mix, outcomes []outcome, from, until time.Duration) {
	for _, outcome := range outcomes {
		ended := outcome.arrival.At + outcome.took
		if !outcome.attained() || ended < from || ended >= until {
			continue
		}
		report.Goodput++
		report.Work += mix.least(outcome.arrival.Kind)
	}
	report.Goodput /= (until - from).Seconds()
	report.Work /= (until - from).Seconds()
}

func toInt(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func count(groups map[string][2]int, arrival Arrival, good bool) {
	names := []string{"pipeline " + arrival.Kind.Pipeline}
	switch {
	case arrival.Extra:
		names = append(names, "extra")
	case arrival.Small:
		names = append(names, "base", "small")
	default:
		names = append(names, "base", "large")
	}
	for _, name := range names {
		counts := groups[name]
		groups[name] = [2]int{counts[0] + toInt(good), counts[1] + 1}
	}
}

// least is the target time in seconds that a request of the kind needs at least.
func (mix Mix) least(kind Kind) float64 {
	total := 0.0
	for _, stage := range kind.Stages {
		total += mix.cost(kind, stage).Seconds()
	}
	return total
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func refusals(outcomes []outcome) []Refusals {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, outcome := range outcomes {
		if outcome.err == nil {
			continue
		}
		kind := outcome.err.Kind.String() + " " + outcome.err.Stage + " " + outcome.err.Run.String()
		if histograms[kind] == nil {
			histograms[kind] = hdrhistogram.New(1, longestNoted, digits)
		}
		_ = histograms[kind].RecordValue(outcome.took.Microseconds())
	}
	var rows []Refusals
	for kind, histogram := range histograms {
		rows = append(rows, Refusals{
			Kind: kind, Count: int(histogram.TotalCount()),
			P50Ms: milliseconds(histogram, 50), P99Ms: milliseconds(histogram, 99), MaxMs: float64(histogram.Max()) / 1000,
		})
	}
	slices.SortFunc(rows, func(a, b Refusals) int { return b.Count - a.Count })
	return rows
}

// use is what the targets of one service received over a run.
type use struct {
	calls, distinct, tokens int
}

// usage counts the calls in the journals; a call is told from its repetition by request and stage.
func (use *use) add(journal []engine.Record, seen map[string]bool) {
	for _, record := range journal {
		if record.Request == "" { // of the warm-up without a system
			continue
		}
		use.calls++
		if key := record.Request + "/" + record.Stage; !seen[key] {
			seen[key] = true
			use.distinct++
		}
	}
}

// charge fills in what the run cost the targets; outcomes are those of the whole run.
func (report *Report) charge(mix Mix, uses map[string]use, outcomes []outcome) {
	useful := map[string]float64{}
	for _, outcome := range outcomes {
		if !outcome.attained() {
			continue
		}
		for _, stage := range outcome.arrival.Kind.Stages {
			useful[stage] += mix.cost(outcome.arrival.Kind, stage).Seconds()
		}
	}
	used, least := 0.0, 0.0
	for _, name := range []string{"encode", "retrieve", "rerank", "stock", generate} {
		use := uses[name]
		row := Stage{Stage: name, Calls: use.calls, UsedSeconds: float64(use.calls) * quickTime.Seconds()}
		if name == generate {
			row.UsedSeconds = float64(use.tokens) * mix.TokenTime.Seconds()
		}
		row.WastedSeconds = row.UsedSeconds - useful[name]
		if use.calls > 0 {
			report.Stages = append(report.Stages, row)
		}
		report.Calls, report.LeastCalls = report.Calls+use.calls, report.LeastCalls+use.distinct
		used, least = used+row.UsedSeconds, least+useful[name]
	}
	report.CostRatio = ratio(used, least)
	report.Amplification = ratio(report.Calls, report.LeastCalls)
}
