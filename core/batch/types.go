package batch

import (
	"fmt"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/place"
)

// JobID identifies a job of a pool.
type JobID int64

// CallID identifies a call of a pool.
type CallID int64

// Job is the work of one stage of one request.
type Job struct {
	Attempt     string
	Owner       string // daemon whose request it is, if it is another one; see Pool.Abandon
	Stage       int
	Pieces      int
	Key         string
	Inputs      []string
	ResultBytes int64 // size of one result
	// ReleaseInputs tells that nothing else needs the inputs, so that FetchedInputs may return them before the job ends.
	ReleaseInputs bool
	Class         string    // pieces of one class take about the same time
	Priority      int       // 0 is the most urgent
	DataCentre    string    // where most of the inputs are, or where the results are needed; empty means any
	LastAttempt   bool      // the caller has retried already, so that a rejection would be final
	SoftDeadline  time.Time // the request meets its latency objective when the job is done by then
	Deadline      time.Time // the request fails when the job is not done by then
}

// Target is one target of the service.
type Target struct {
	ID         string
	Address    string
	DataCentre string
	StartedAt  time.Time // start of this run; results of earlier runs are gone
	Version    string    // of its software
}

// TargetsOf returns the targets of a service as they are known for placement.
func TargetsOf(targets []place.Target) []Target {
	list := make([]Target, 0, len(targets))
	for _, target := range targets {
		list = append(list, Target{ID: target.ID, Address: target.Address, DataCentre: target.DataCentre, StartedAt: target.StartedAt, Version: target.Version})
	}
	return list
}

// Call is a batch to send to a target.
type Call struct {
	ID            CallID
	Target        Target
	Pieces        []core.Piece
	Timeout       time.Duration // no response is expected after this
	ResultBytes   int64         // expected size of the results
	RetainedBytes int64         // expected size of the results that the target already retains
	Told          bool          // what the target has told of its load counted in its choice
	ToldAge       time.Duration // age of that
}

// Outcome says how a call ended.
type Outcome int

// The outcomes of calls.
const (
	Responded Outcome = iota
	Rejected          // the target states that it ran nothing
	Failed            // no usable response; the pieces may have been executed
)

// Result is the end of a job: all its handles in the order of the pieces, or a fault.
type Result struct {
	Job     JobID
	Handles []string
	Fault   core.PieceFault
	// InputsReleased tells that FetchedInputs has returned the inputs of the job.
	InputsReleased bool
}

// StageError says why a stage of a request has no results; the request itself has not run.
type StageError struct {
	Stage int
	Fault core.PieceFault
}

// Error returns the stage and its fault.
func (e *StageError) Error() string { return fmt.Sprintf("stage %d: %s", e.Stage, e.Fault) }

// Forecast tells other daemons how long new work would wait; the zero value means no capacity.
type Forecast struct {
	Capacity    float64         // usable targets; slow ones count in part
	PausedFor   time.Duration   // time until a target may get a call, if all have stated that they want none; 0 otherwise
	ShortOfRoom bool            // the targets have little free capacity for results
	Call        time.Duration   // typical time of a call at the present batch size
	Pressure    float64         // work that arrives relative to what the targets can do; 0 means unknown
	Ahead       []time.Duration // work of all targets before a job; the index is the time left to its soft deadline, in ForecastStep
	Late        time.Duration   // work of the jobs past their soft deadline, which go after all others
}

// IdleForecast returns the forecast of a pool without jobs; without a specification the time of a call is not known.
func IdleForecast(targets int, spec *core.BatchSpec) Forecast {
	idle := Forecast{Capacity: float64(targets)}
	if spec != nil {
		idle.Call = spec.CallOverhead + spec.PieceTime*time.Duration(spec.MaxPieces)/2
	}
	return idle
}

// ForecastStep is the width of the steps of Forecast.Ahead.
const ForecastStep = 250 * time.Millisecond

// forecastSteps covers the longest latency objectives in use, about 3 s.
const forecastSteps = 14

// Wait returns how long a job with the time left to its soft deadline waits for its call to begin.
func (forecast Forecast) Wait(timeLeft time.Duration) time.Duration {
	if forecast.Capacity <= 0 || len(forecast.Ahead) == 0 {
		return 0
	}
	step := min(max(int(timeLeft/ForecastStep), 0), len(forecast.Ahead)-1)
	return time.Duration(float64(forecast.Ahead[step]) / forecast.Capacity)
}

// WaitForAll returns how long the targets need for all work that is queued, without what arrives meanwhile.
func (forecast Forecast) WaitForAll() time.Duration {
	if forecast.Capacity <= 0 || len(forecast.Ahead) == 0 {
		return 0
	}
	return time.Duration(float64(forecast.Ahead[len(forecast.Ahead)-1]+forecast.Late) / forecast.Capacity)
}

// AnyHandle reports whether one of the pieces has a result.
func AnyHandle(results []core.PieceResult) bool {
	return slices.ContainsFunc(results, func(result core.PieceResult) bool { return result.Handle != "" })
}

// GroupHandles returns the handles by their key, such as the address of their target.
func GroupHandles(handles []string, key func(handle string) string) map[string][]string {
	groups := map[string][]string{}
	for _, handle := range handles {
		groups[key(handle)] = append(groups[key(handle)], handle)
	}
	return groups
}

// MostCommon returns the key that most of the handles have, such as the data centre of their target, and how many have it; of keys
// that are as common, the one that is so first.
func MostCommon(handles []string, key func(handle string) string) (most string, count int) {
	counts := map[string]int{}
	for _, handle := range handles {
		found := key(handle)
		if counts[found]++; counts[found] > counts[most] || most == "" {
			most = found
		}
	}
	return most, counts[most]
}
