package admit

import (
	"math/rand/v2"
	"time"

	"catkincove/core"
	"catkincove/core/batch"
)

const (
	priorityMargin      = 0.06        // share of the soft time left that each priority step of a route leaves to more urgent routes
	teamPriorityMargin  = 0.02        // share that each priority step of a team leaves to more urgent teams
	sizeMargin          = 0.15        // share that a request of twice its route's usual work leaves to smaller ones, which are more for the same work
	maxSizeRatio        = 3.0         // upper bound of a request's work relative to the usual one
	minSoftTimeShare    = 0.5         // smallest share of the soft time left that the least urgent requests may use
	lateTimeShare       = 0.6         // share of the time left within which a late response is still likely
	minAdmittedShare    = 0.5         // a route that admits a smaller share of its recent requests may use its whole soft time
	noTargetsRetryAfter = time.Second // RetryAfter while a service has no targets
	calmPressure        = 0.8         // share of a stage's capacity up to which nobody competes for it
	calmExcessShare     = 0.4         // share of the soft time left by which a forecast may exceed it without competition: a rejected request is late for certain
	fullPressure        = 1.1         // share from which on the margins apply in full: calls are not always full
)

// Stage is one stage of a request with the forecast of its pool.
type Stage struct {
	Spec          core.StageSpec
	Pieces        int
	PieceTime     time.Duration // share of one piece in a full call
	Forecast      batch.Forecast
	ForecastFresh bool          // the forecast is recent
	Promised      time.Duration // time until the targets will have done the work of the callers that were told to return
}

// Request is the input of an admission decision.
type Request struct {
	Route            string
	Stages           []Stage
	TimeToFirstEvent time.Duration // typical time from the end of the last stage to the first event
	SoftTimeLeft     time.Duration // time until the response should begin
	TimeLeft         time.Duration // time until the request fails
	Priority         int           // priority of the route; 0 is the most urgent
	TeamPriority     int           // priority of the team; 0 is the most urgent
	Returning        bool          // the caller was rejected before
	UsualWork        time.Duration // average Work of the route's requests; 0 means unknown
	AdmittedShare    float64       // share of the recent requests of the route that were admitted
	Daemons          int           // daemons that share the free time of the targets; 0 means 1
}

// Work returns the time of targets that the request takes in full calls.
func (request Request) Work() time.Duration {
	var work time.Duration
	for _, stage := range request.Stages {
		work += stage.PieceTime * time.Duration(stage.Pieces)
	}
	return work
}

// sizeRatio returns the work of the request relative to the usual one, or 1 if that is unknown.
func (request Request) sizeRatio() float64 {
	if request.UsualWork <= 0 {
		return 1
	}
	return min(float64(request.Work())/float64(request.UsualWork), maxSizeRatio)
}

// competition returns how much of the margins for more urgent and smaller requests applies: none while the targets of all stages have time for all work that
// arrives, and all of them when those of one stage have not, or when it is unknown.
func (request Request) competition() float64 {
	competition := 0.0
	for _, stage := range request.Stages {
		if stage.Pieces == 0 {
			continue
		}
		if stage.Forecast.Pressure <= 0 || !stage.ForecastFresh {
			return 1
		}
		competition = max(competition, (stage.Forecast.Pressure-calmPressure)/(fullPressure-calmPressure))
	}
	return min(competition, 1)
}

// Plan is the expected schedule of a request and its stages.
type Plan struct {
	TimeToResponse time.Duration   // time until the response begins
	Remaining      []time.Duration // expected time from the end of each stage to the response
	Slack          []time.Duration // time that each stage can wait without delaying the response
}

// Decision is the result of an admission check.
type Decision struct {
	Admit      bool
	Late       bool // the response is expected after the soft deadline
	RetryAfter time.Duration
	Reason     string
	Scarce     string        // service in whose free time the caller returns
	Promised   time.Duration // time until the targets of that service will have done its work too; 0 means that none was promised
}

// Forecast returns the expected schedule of a request.
func Forecast(request Request) Plan {
	stageCount := len(request.Stages)
	plan := Plan{Remaining: make([]time.Duration, stageCount), Slack: make([]time.Duration, stageCount)}
	// Stages can be listed in any order; one pass per stage is enough to settle all times.
	ends := make([]time.Duration, stageCount)
	times := make([]time.Duration, stageCount)
	for i, stage := range request.Stages {
		times[i] = stageTime(stage, request.SoftTimeLeft)
	}
	for range stageCount {
		for i, stage := range request.Stages {
			var start time.Duration
			for _, dependency := range stage.Spec.After {
				start = max(start, ends[dependency])
			}
			ends[i] = start + times[i]
			for _, dependency := range stage.Spec.After {
				plan.Remaining[dependency] = max(plan.Remaining[dependency], plan.Remaining[i]+times[i])
			}
		}
	}
	var last time.Duration
	for i := range request.Stages {
		last = max(last, ends[i])
	}
	for i := range request.Stages {
		plan.Slack[i] = max(last-plan.Remaining[i]-ends[i], 0)
		plan.Remaining[i] += request.TimeToFirstEvent
	}
	plan.TimeToResponse = last + request.TimeToFirstEvent
	return plan
}

// stageTime returns the expected wait for the stage's call plus the time of the call.
func stageTime(stage Stage, softTimeLeft time.Duration) time.Duration {
	if stage.Pieces == 0 {
		return 0
	}
	return stage.Forecast.Wait(softTimeLeft) + stage.Forecast.Call
}

// Decide admits a request that is likely to meet its soft deadline, and one whose caller returns if it is likely to get a
// late response; it rejects the others at once with the time after which there will be free capacity.
//
// Load patterns: during a burst on one route, less urgent routes may use only a part of their soft time, so that they are
// shed first; each route keeps a share of its requests. While a stage has too few targets, large requests leave a part of
// their soft time to smaller ones, of which more can be served. Callers that return after a rejection retry no more, so
// that one more rejection would be final.
func Decide(request Request, random *rand.Rand) Decision {
	for _, stage := range request.Stages {
		if stage.Pieces > 0 && stage.ForecastFresh && stage.Forecast.PausedFor > 0 {
			spread := time.Duration(float64(stage.Forecast.PausedFor) * random.Float64() / 2)
			return Decision{Reason: "StageTargetsPause", RetryAfter: max(stage.Forecast.PausedFor+spread, minRetryAfter)}
		}
		if stage.Pieces > 0 && stage.ForecastFresh && stage.Forecast.Capacity <= 0 {
			return Decision{Reason: "StageHasNoTargets", RetryAfter: jittered(noTargetsRetryAfter, random)}
		}
	}
	if len(request.Stages) == 0 {
		return Decision{Admit: true} // whether targets have free slots is known only when one is chosen
	}
	plan := Forecast(request)
	margin := priorityMargin*float64(request.Priority) + teamPriorityMargin*float64(request.TeamPriority) + sizeMargin*(request.sizeRatio()-1)
	competition := request.competition()
	allowedShare := min(max(1-margin*competition, minSoftTimeShare), 1) + calmExcessShare*(1-competition)
	if request.AdmittedShare < minAdmittedShare {
		allowedShare = max(allowedShare, 1)
	}
	excess := plan.TimeToResponse - time.Duration(float64(request.SoftTimeLeft)*allowedShare)
	switch {
	case excess <= 0:
		return Decision{Admit: true}
	case (request.Returning || request.SoftTimeLeft <= 0) && plan.TimeToResponse <= time.Duration(float64(request.TimeLeft)*lateTimeShare):
		// Pools give it only slots that no other request needs.
		return Decision{Admit: true, Late: true}
	default:
		decision := Decision{Reason: "WouldBeLate"}
		decision.RetryAfter, decision.Promised, decision.Scarce = request.returnAt(random)
		return decision
	}
}

// jittered returns a time that is spread evenly around the mean.
func jittered(mean time.Duration, random *rand.Rand) time.Duration {
	return max(time.Duration(float64(mean)*(0.5+random.Float64())), minRetryAfter)
}
