package burn

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// Snapshot holds the counts of one or several daemons; it is immutable.
type Snapshot struct {
	Daemons     []core.MemberID // daemons whose counts are included
	Missing     []string        // daemons that sent no report
	Up          time.Duration   // longest time for which one of the daemons has counted
	Excluded    int64           // requests that failed through an error of the caller
	Pipelines   []PipelineReport
	Teams       []NamedCounts
	DataCentres []NamedCounts
}

// NamedCounts holds the counts of one team or data centre.
type NamedCounts struct {
	Name   string
	Counts Counts
}

// PipelineReport holds the counts of one pipeline.
type PipelineReport struct {
	Name       string
	Counts     Counts
	FirstToken Counts // answers whose time to first token met the objective
	TokenGap   Counts // answers whose mean inter-token latency met the objective
	Latency    Histogram
	Stages     []StageReport
}

// StageReport holds the counts and times of one stage since the daemon started; times are sums over all requests.
type StageReport struct {
	Name     string
	Requests int64
	Attempts int64
	Queued   time.Duration
	Target   time.Duration // time at targets of the attempts that produced the result
	Wasted   time.Duration // time at targets of abandoned attempts
	Blamed   int64         // late requests in which this stage took longest
	Latency  Histogram
}

// Report returns what was counted up to now.
func (recorder *Recorder) Report(now time.Time) Snapshot {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.initialize()
	snapshot := Snapshot{
		Daemons:  []core.MemberID{recorder.Member},
		Up:       now.Sub(recorder.started),
		Excluded: recorder.excluded,
	}
	for _, name := range slices.Sorted(maps.Keys(recorder.pipelines)) {
		snapshot.Pipelines = append(snapshot.Pipelines, recorder.pipelines[name].report(name, now))
	}
	for _, name := range slices.Sorted(maps.Keys(recorder.teams)) {
		snapshot.Teams = append(snapshot.Teams, NamedCounts{string(name), recorder.teams[name].counts(now)})
	}
	for _, name := range slices.Sorted(maps.Keys(recorder.dataCentres)) {
		snapshot.DataCentres = append(snapshot.DataCentres, NamedCounts{name, recorder.dataCentres[name].counts(now)})
	}
	return snapshot
}

func (pipeline *pipeline) report(name string, now time.Time) PipelineReport {
	report := PipelineReport{
		Name:       name,
		Counts:     pipeline.requests.counts(now),
		FirstToken: pipeline.firstToken.counts(now),
		TokenGap:   pipeline.tokenGap.counts(now),
		Latency:    pipeline.latency.histogram(),
	}
	for _, name := range pipeline.stageOrder {
		stage := pipeline.stages[name]
		row := stage.report
		row.Latency = stage.latency.histogram()
		report.Stages = append(report.Stages, row)
	}
	return report
}

// WithMissing returns a copy that also lists the given daemons as missing.
func (snapshot Snapshot) WithMissing(missing ...string) Snapshot {
	snapshot.Missing = append(slices.Clone(snapshot.Missing), missing...)
	return snapshot
}

// Merge returns the sum of the snapshots of several daemons.
func Merge(snapshots ...Snapshot) Snapshot {
	var sum Snapshot
	for _, snapshot := range snapshots {
		sum.Daemons = append(sum.Daemons, snapshot.Daemons...)
		sum.Missing = append(sum.Missing, snapshot.Missing...)
		sum.Up = max(sum.Up, snapshot.Up)
		sum.Excluded += snapshot.Excluded
		sum.Pipelines = mergeRows(sum.Pipelines, snapshot.Pipelines, PipelineReport.key, PipelineReport.plus)
		sum.Teams = mergeRows(sum.Teams, snapshot.Teams, NamedCounts.key, NamedCounts.plus)
		sum.DataCentres = mergeRows(sum.DataCentres, snapshot.DataCentres, NamedCounts.key, NamedCounts.plus)
	}
	slices.SortFunc(sum.Pipelines, func(a, b PipelineReport) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sum.Teams, func(a, b NamedCounts) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(sum.DataCentres, func(a, b NamedCounts) int { return cmp.Compare(a.Name, b.Name) })
	return sum
}

// mergeRows returns the rows of both, in which rows with the same key are summed.
func mergeRows[Row any](rows, others []Row, key func(Row) string, plus func(Row, Row) Row) []Row {
	rows = slices.Clone(rows)
	position := make(map[string]int, len(rows))
	for i, row := range rows {
		position[key(row)] = i
	}
	for _, other := range others {
		if i, found := position[key(other)]; found {
			rows[i] = plus(rows[i], other)
			continue
		}
		position[key(other)] = len(rows)
		rows = append(rows, other)
	}
	return rows
}

func (namedCounts NamedCounts) key() string { return namedCounts.Name }
func (report PipelineReport) key() string   { return report.Name }
func (report StageReport) key() string      { return report.Name }

func (namedCounts NamedCounts) plus(other NamedCounts) NamedCounts {
	namedCounts.Counts = namedCounts.Counts.Plus(other.Counts)
	return namedCounts
}

func (report PipelineReport) plus(other PipelineReport) PipelineReport {
	report.Counts = report.Counts.Plus(other.Counts)
	report.FirstToken = report.FirstToken.Plus(other.FirstToken)
	report.TokenGap = report.TokenGap.Plus(other.TokenGap)
	report.Latency = report.Latency.Plus(other.Latency)
	report.Stages = mergeRows(report.Stages, other.Stages, StageReport.key, StageReport.plus)
	return report
}

func (report StageReport) plus(other StageReport) StageReport {
	report.Requests += other.Requests
	report.Attempts += other.Attempts
	report.Queued += other.Queued
	report.Target += other.Target
	report.Wasted += other.Wasted
	report.Blamed += other.Blamed
	report.Latency = report.Latency.Plus(other.Latency)
	return report
}

// Alert is the urgency with which an operator should act.
type Alert int

// The alerts.
const (
	AlertNone Alert = iota
	AlertTicket
	AlertPage
)

// String returns the name used in reports.
func (alert Alert) String() string {
	return [...]string{"None", "Ticket", "Page"}[alert]
}

// Burn rates that raise an alert: 14.4 uses 2% of a 30-day error budget in 1 h, 6 uses 5% in 6 h, 1 uses 10% in 3 days.
const (
	pageRateFast = 14.4
	pageRateSlow = 6
	ticketRate   = 1
)

const defaultPeriod = 30 * 24 * time.Hour

// Burn is the state of an error budget: the burn rates of a service level over each window and the alert they raise.
type Burn struct {
	Objective float64
	Rates     [windowCount]float64 // burn rate per window; a rate of 1 uses the budget up exactly at the end of the period
	Left      float64              // share of the period's budget left, from the longest window; negative when overspent
	Alert     Alert
}

// BurnOf returns the burn of a service level, given the counts of daemons that have counted for uptime.
func BurnOf(counts Counts, uptime time.Duration, level config.ServiceLevel) Burn {
	burn := Burn{Objective: level.Objective}
	allowedFailures := max(1-level.Objective, 1e-9) // an objective of 1 allows no failure
	for i, count := range counts {
		burn.Rates[i] = (1 - count.GoodRatio()) / allowedFailures
	}
	period := orDefault(level.Period, defaultPeriod)
	covered := min(uptime, Windows[windowCount-1], period)
	burn.Left = 1 - burn.Rates[windowCount-1]*float64(covered)/float64(period)
	burn.Alert = alertOf(burn.Rates)
	return burn
}

// alertOf requires both a long and a short window to exceed the rate, so that an alert ends soon after its cause.
func alertOf(rates [windowCount]float64) Alert {
	fiveMinutes, hour, sixHours, threeDays := rates[0], rates[1], rates[2], rates[3]
	switch {
	case hour >= pageRateFast && fiveMinutes >= pageRateFast, sixHours >= pageRateSlow && hour >= pageRateSlow:
		return AlertPage
	case threeDays >= ticketRate && sixHours >= ticketRate:
		return AlertTicket
	default:
		return AlertNone
	}
}
