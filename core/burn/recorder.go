package burn

import (
	"sync"
	"time"

	"catkincove/core"
)

// Defaults of the fields of Recorder.
const (
	DefaultFirstTokenObjective = 810 * time.Millisecond
	DefaultTokenGapObjective   = 30 * time.Millisecond
	DefaultMaxTeams            = 6000
)

const (
	// Other is the name that shares the counts of all teams, pipelines, stages or data centres beyond a limit.
	Other = "other"
	// teamIdleTimeout is the time without a request after which the counts of a team may be merged into Other.
	teamIdleTimeout  = time.Hour
	evictionInterval = time.Minute // bounds the cost of evictions when many new teams appear
	maxPipelines     = 64
	maxStages        = 16 // stages of one pipeline
	maxDataCentres   = 256
)

// Recorder implements core.Recorder; the zero value is ready to use, and its counts are kept in memory only.
type Recorder struct {
	Clock               core.Clock
	Member              core.MemberID
	FirstTokenObjective time.Duration // objective of the time to first token
	TokenGapObjective   time.Duration // objective of the mean inter-token latency of one answer
	MaxTeams            int

	mutex       sync.Mutex
	started     time.Time
	evictedAt   time.Time
	excluded    int64
	pipelines   map[string]*pipeline
	teams       map[core.TeamName]*team
	dataCentres map[string]*series
}

type team struct {
	series
	lastSeen time.Time
}

type pipeline struct {
	requests   series
	firstToken series
	tokenGap   series
	latency    latency
	stages     map[string]*stage
	stageOrder []string // names of the stages in the order in which they were first seen
}

type stage struct {
	latency latency
	report  StageReport
}

// Record adds one finished request; requests that failed through a caller error count neither as good nor as bad.
func (recorder *Recorder) Record(record core.RequestRecord) {
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	now := recorder.initialize()
	if isCallerError(record.Failure) {
		recorder.excluded++
		return
	}
	good := record.Failure == nil && record.Took <= record.Deadline
	recorder.addPipeline(now, record, good)
	recorder.team(now, record.Team).add(now, good)
	seen := make(map[string]bool, len(record.Stages))
	for _, stage := range record.Stages {
		if stage.DataCentre != "" && !seen[stage.DataCentre] {
			seen[stage.DataCentre] = true
			getOrCreate(recorder.dataCentres, stage.DataCentre, maxDataCentres).add(now, good)
		}
	}
}

func (recorder *Recorder) initialize() time.Time {
	if recorder.Clock == nil {
		recorder.Clock = core.SystemClock{}
	}
	now := recorder.Clock.Now()
	if recorder.pipelines == nil {
		recorder.started = now
		recorder.pipelines = make(map[string]*pipeline)
		recorder.teams = make(map[core.TeamName]*team)
		recorder.dataCentres = make(map[string]*series)
	}
	return now
}

func isCallerError(failure *core.Error) bool {
	if failure == nil {
		return false
	}
	switch failure.Kind {
	case core.BadRequest, core.Unauthorized, core.NotFound, core.KeyReused, core.KeyExpired, core.Conflict, core.Poison:
		return true
	default:
		return false
	}
}

// getOrCreate returns the value with the name, creating it if needed, or the one for Other when limit is reached.
func getOrCreate[V any](values map[string]*V, name string, limit int) *V {
	if value, found := values[name]; found {
		return value
	}
	if len(values) >= limit {
		name = Other
	}
	if values[name] == nil {
		values[name] = new(V)
	}
	return values[name]
}

func (recorder *Recorder) addPipeline(now time.Time, record core.RequestRecord, good bool) {
	pipeline := getOrCreate(recorder.pipelines, record.Pipeline, maxPipelines)
	pipeline.requests.add(now, good)
	pipeline.latency.add(now, record.Took)
	if record.FirstToken > 0 {
		pipeline.firstToken.add(now, record.FirstToken <= orDefault(recorder.FirstTokenObjective, DefaultFirstTokenObjective))
	}
	if record.Tokens > 1 {
		gap := record.TokenTime / time.Duration(record.Tokens-1)
		pipeline.tokenGap.add(now, gap <= orDefault(recorder.TokenGapObjective, DefaultTokenGapObjective))
	}
	for _, stage := range record.Stages {
		pipeline.addStage(now, stage)
	}
	if isLate(record) {
		pipeline.attributeLate(record.Stages)
	}
}

func orDefault[T ~int | ~int64](setting, value T) T {
	if setting == 0 {
		return value
	}
	return setting
}

func (pipeline *pipeline) addStage(now time.Time, record core.StageRecord) {
	if pipeline.stages == nil {
		pipeline.stages = make(map[string]*stage)
	}
	stage := getOrCreate(pipeline.stages, record.Stage, maxStages)
	if len(pipeline.stageOrder) < len(pipeline.stages) {
		stage.report.Name = record.Stage
		pipeline.stageOrder = append(pipeline.stageOrder, record.Stage)
	}
	stage.latency.add(now, record.Took)
	stage.report.Requests++
	stage.report.Attempts += int64(record.Attempts)
	stage.report.Queued += record.Queued
	stage.report.Target += record.TargetTime
	stage.report.Wasted += record.WastedTime
}

func isLate(record core.RequestRecord) bool {
	if record.Failure != nil {
		return record.Failure.Kind == core.DeadlineExceeded
	}
	return record.Took > record.Deadline
}

// attributeLate attributes a late request to the stage that took longest.
func (pipeline *pipeline) attributeLate(stages []core.StageRecord) {
	longest := core.StageRecord{Took: -1}
	for _, stage := range stages {
		if stage.Took > longest.Took {
			longest = stage
		}
	}
	if stage, found := pipeline.stages[longest.Stage]; found {
		stage.report.Blamed++
	}
}

// team returns the counts of a team; teams beyond the limit share those of Other.
func (recorder *Recorder) team(now time.Time, name core.TeamName) *team {
	if existing, found := recorder.teams[name]; found {
		existing.lastSeen = now
		return existing
	}
	limit := orDefault(recorder.MaxTeams, DefaultMaxTeams)
	if len(recorder.teams) >= limit && now.Sub(recorder.evictedAt) >= evictionInterval {
		recorder.evictIdleTeams(now)
	}
	if len(recorder.teams) >= limit {
		name = Other
	}
	if recorder.teams[name] == nil {
		recorder.teams[name] = &team{}
	}
	recorder.teams[name].lastSeen = now
	return recorder.teams[name]
}

// evictIdleTeams merges teams that have been idle for teamIdleTimeout into Other.
func (recorder *Recorder) evictIdleTeams(now time.Time) {
	recorder.evictedAt = now
	other := recorder.teams[Other]
	if other == nil {
		other = &team{}
	}
	for name, idle := range recorder.teams {
		if name != Other && now.Sub(idle.lastSeen) >= teamIdleTimeout {
			other.merge(now, &idle.series)
			delete(recorder.teams, name)
		}
	}
	recorder.teams[Other] = other
}
