package load

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"catkincove/core"
	"catkincove/stand/engine"
)

const (
	// firstTokenObjective and tokenGapObjective bound the time to the first token and the mean time between tokens.
	firstTokenObjective = 810 * time.Millisecond
	tokenGapObjective   = 30 * time.Millisecond

	maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)
	significantDigits      = 3
)

// outcome is the result of one offered request; its durations count from the scheduled arrival.
type outcome struct {
	arrival    Arrival
	lag        time.Duration // delay of the generator behind its schedule
	latency    time.Duration
	firstToken time.Duration // arrival of the first token; 0 when nothing was generated
	lastToken  time.Duration
	tokens     int
	correct    bool
	err        *core.Error
}

// attained reports whether the complete and correct answer arrived by the deadline.
func (outcome outcome) attained() bool {
	return outcome.err == nil && outcome.correct && outcome.latency <= outcome.arrival.Kind.Deadline
}

func (outcome outcome) tokenGap() time.Duration {
	if outcome.tokens < 2 {
		return 0
	}
	return (outcome.lastToken - outcome.firstToken) / time.Duration(outcome.tokens-1)
}

// ErrorGroup counts the requests that failed with one kind of error; the latencies run from the arrival to the error.
type ErrorGroup struct {
	Kind                string // error kind, stage and whether the stage was executed
	Count               int
	P50Ms, P99Ms, MaxMs float64
}

// StageCost is the cost of one stage over a whole run, in target seconds computed from the settings of the stand-ins.
type StageCost struct {
	Stage         string
	Calls         int
	UsedSeconds   float64
	WastedSeconds float64 // target seconds that no answer within its deadline needed
}

// Report holds the figures of one system under one load.
type Report struct {
	System, Mix, Scenario    string
	Seed                     uint64
	Rate                     float64 // offered requests per second in the window
	LoadAverage              string
	LagP99Ms                 float64 // delay of the generator behind its schedule; high when the host is short of CPU time
	Offered, Finished, Wrong int
	Attainment               float64 // fraction of the offered requests that were answered correctly within their deadline
	FirstToken, TokenGap     float64 // fractions of the answered requests with tokens that met the objective
	Goodput                  float64 // attained requests per second
	Work                     float64 // minimum target seconds of attained requests, per second
	P50Ms, P99Ms             float64 // latency of attained requests
	Groups                   map[string]float64
	Refusals                 []ErrorGroup
	Stages                   []StageCost
	CostRatio                float64 // target seconds used, divided by the minimum for the attained requests
	Amplification            float64 // calls received, divided by the calls without retries
	Falls                    int
	QuietFalls               int // crashes of targets that the scenario didn't script
	Calls, LeastCalls        int
}

// ratio returns part divided by whole, or 0 if whole is 0.
func ratio[Number int | float64](part, whole Number) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// fillCallerFigures fills in attainment, rate, latencies and errors; outcomes must only contain requests that arrived in the window.
func (report *Report) fillCallerFigures(mix Mix, outcomes []outcome, window time.Duration) {
	latency, lag := hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits), hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits)
	groups := map[string][2]int{}
	withTokens, firstTokenMet, tokenGapMet, attained := 0, 0, 0, 0
	for _, outcome := range outcomes {
		report.Offered++
		_ = lag.RecordValue(max(1, outcome.lag.Microseconds()))
		inTime := outcome.attained()
		addToGroups(groups, outcome.arrival, inTime)
		if outcome.err == nil && !outcome.correct {
			report.Wrong++
		}
		if outcome.tokens > 0 && outcome.err == nil {
			withTokens++
			firstTokenMet += toInt(outcome.firstToken <= firstTokenObjective)
			tokenGapMet += toInt(outcome.tokenGap() <= tokenGapObjective)
		}
		if inTime {
			attained++
			_ = latency.RecordValue(outcome.latency.Microseconds())
		}
	}
	report.Attainment = ratio(attained, report.Offered)
	report.FirstToken, report.TokenGap = ratio(firstTokenMet, withTokens), ratio(tokenGapMet, withTokens)
	report.Rate = float64(report.Offered) / window.Seconds()
	report.LagP99Ms = milliseconds(lag, 99)
	report.P50Ms, report.P99Ms = milliseconds(latency, 50), milliseconds(latency, 99)
	report.Groups = map[string]float64{}
	for name, counts := range groups {
		report.Groups[name] = ratio(counts[0], counts[1])
	}
	report.Refusals = groupErrors(outcomes)
}

// fillGoodput fills in the goodput: attained requests that ended between two offsets of the run, whenever they arrived.
//
// Counting by arrival would credit an overloaded system with the backlog that it completes after the last arrival.
func (report *Report) fillGoodput(mix Mix, outcomes []outcome, from, until time.Duration) {
	for _, outcome := range outcomes {
		ended := outcome.arrival.At + outcome.latency
		if !outcome.attained() || ended < from || ended >= until {
			continue
		}
		report.Goodput++
		report.Work += mix.minWork(outcome.arrival.Kind)
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

func addToGroups(groups map[string][2]int, arrival Arrival, inTime bool) {
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
		groups[name] = [2]int{counts[0] + toInt(inTime), counts[1] + 1}
	}
}

// minWork returns the minimum target time of a request of the kind, in seconds.
func (mix Mix) minWork(kind Kind) float64 {
	total := 0.0
	for _, stage := range kind.Stages {
		total += mix.cost(kind, stage).Seconds()
	}
	return total
}

func milliseconds(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / 1000
}

func groupErrors(outcomes []outcome) []ErrorGroup {
	histograms := map[string]*hdrhistogram.Histogram{}
	for _, outcome := range outcomes {
		if outcome.err == nil {
			continue
		}
		kind := outcome.err.Kind.String() + " " + outcome.err.Stage + " " + outcome.err.Run.String()
		if histograms[kind] == nil {
			histograms[kind] = hdrhistogram.New(1, maxLatencyMicroseconds, significantDigits)
		}
		_ = histograms[kind].RecordValue(outcome.latency.Microseconds())
	}
	var rows []ErrorGroup
	for kind, histogram := range histograms {
		rows = append(rows, ErrorGroup{
			Kind: kind, Count: int(histogram.TotalCount()),
			P50Ms: milliseconds(histogram, 50), P99Ms: milliseconds(histogram, 99), MaxMs: float64(histogram.Max()) / 1000,
		})
	}
	slices.SortFunc(rows, func(a, b ErrorGroup) int { return b.Count - a.Count })
	return rows
}

// use counts the calls that the targets of one service received over a run.
type use struct {
	calls, distinct, tokens int
}

// add counts the calls in a journal; calls with the same request and stage are retries of one call.
func (use *use) add(journal []engine.Record, seen map[string]bool) {
	for _, record := range journal {
		if record.Request == "" { // warm-up call that was sent to the target directly
			continue
		}
		use.calls++
		if key := record.Request + "/" + record.Stage; !seen[key] {
			seen[key] = true
			use.distinct++
		}
	}
}

// fillCost fills in the target time and the calls of the whole run, so outcomes must include the warm-up.
func (report *Report) fillCost(mix Mix, uses map[string]use, outcomes []outcome) {
	useful := map[string]float64{}
	for _, outcome := range outcomes {
		if !outcome.attained() {
			continue
		}
		for _, stage := range outcome.arrival.Kind.Stages {
			useful[stage] += mix.cost(outcome.arrival.Kind, stage).Seconds()
		}
	}
	used, minimum := 0.0, 0.0
	for _, name := range []string{"encode", "retrieve", "rerank", "stock", generate} {
		use := uses[name]
		row := StageCost{Stage: name, Calls: use.calls, UsedSeconds: float64(use.calls) * fixedServiceTime.Seconds()}
		if name == generate {
			row.UsedSeconds = float64(use.tokens) * mix.TokenTime.Seconds()
		}
		row.WastedSeconds = row.UsedSeconds - useful[name]
		if use.calls > 0 {
			report.Stages = append(report.Stages, row)
		}
		report.Calls, report.LeastCalls = report.Calls+use.calls, report.LeastCalls+use.distinct
		used, minimum = used+row.UsedSeconds, minimum+useful[name]
	}
	report.CostRatio = ratio(used, minimum)
	report.Amplification = ratio(report.Calls, report.LeastCalls)
}
