package flow

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/retry"
)

// ConfigView is the part of the configuration that a request needs; it is immutable.
type ConfigView interface {
	// Pipeline returns the pipeline with the name.
	Pipeline(name string) (config.Pipeline, bool)
	// Service returns the service with the name.
	Service(name string) (config.Service, bool)
	// Limits returns the limits of one daemon.
	Limits() config.Limits
}

// Runner runs requests; it is safe for concurrent use.
//
// Config, Granter, Router and Targets are required; Once is required only for pipelines with at-most-once calls.
type Runner struct {
	Clock    core.Clock           // nil means core.SystemClock
	Config   func() ConfigView    // returns the configuration in force
	Revision func() core.Revision // returns the configuration revision that grant requests carry; may be nil
	Granter  core.Granter
	Router   core.Router
	Gate     core.Gate // may be nil
	Targets  core.Targets
	Once     core.Once
	Recorder core.Recorder // may be nil
	Budget   *retry.Budget // nil means a budget with the default settings
	Log      zerolog.Logger
	Member   core.MemberID

	congestion    congestion
	quarantine    quarantine
	lateResults   atomic.Int64
	defaultBudget retry.Budget
	background    sync.WaitGroup
}

// Request is one request of a caller.
type Request struct {
	ID             core.RequestID
	Pipeline       string
	Team           core.TeamName
	Question       string
	CallBodies     map[string][]byte // JSON objects for stages that call a plain service, by stage name
	IdempotencyKey string            // ULID, required for at-most-once stages
	Deadline       time.Time         // the pipeline's deadline applies if this is zero or later
	Priority       int
}

// EventKind is the type of an Event.
type EventKind int

// The kinds of events.
const (
	StageStarted EventKind = iota
	StageDone
	TokensReceived
)

// Event reports progress of a request; Token is set only if Kind is TokensReceived.
type Event struct {
	Kind  EventKind
	Stage string
	Token core.Token
}

// StageTrace describes where a stage ran and how long it took.
type StageTrace struct {
	Stage      string
	Target     core.TargetName // empty if the stored response of an earlier call was used
	DataCentre string
	QueueTime  time.Duration
	Took       time.Duration
	Attempts   int
	TimeLeft   time.Duration // time to the deadline when the stage ended
}

// Result is the complete result of a request.
type Result struct {
	Answer        string
	Passages      []core.Passage
	CallResponses map[string][]byte // responses of plain services, by stage name
	Trace         []StageTrace
}

// LateResults returns the number of tokens and results that were discarded because their attempt had been abandoned.
func (runner *Runner) LateResults() int64 { return runner.lateResults.Load() }

// Wait blocks until the response of each at-most-once call is stored or its storing has timed out.
func (runner *Runner) Wait() { runner.background.Wait() }

func (runner *Runner) clock() core.Clock {
	if runner.Clock == nil {
		return core.SystemClock{}
	}
	return runner.Clock
}

func (runner *Runner) budget() *retry.Budget {
	if runner.Budget == nil {
		return &runner.defaultBudget
	}
	return runner.Budget
}

func (runner *Runner) revision() core.Revision {
	if runner.Revision == nil {
		return 0
	}
	return runner.Revision()
}
