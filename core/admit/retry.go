package admit

import (
	"math/rand/v2"
	"time"
)

const (
	maxRetryAfterShare = 1.0 / 3                // callers wait no longer than this share of their time left
	burstShare         = 0.6                    // share of the longest wait from which returns are spread that find no free time before: a burst lasts seconds
	minRetryAfter      = 200 * time.Millisecond // smallest RetryAfter
	burstTime          = 2 * time.Second        // time after which a burst is expected to have ended
	minFreeShare       = 0.3                    // smallest share of a stage's capacity that counts as free for returns, also while its pressure is unknown
)

// scarceStage returns the stage that will be the last to have done the work that is queued and promised, and that time; no stage has pieces if the index is negative.
func (request Request) scarceStage() (scarce int, free time.Duration) {
	scarce = -1
	for i, stage := range request.Stages {
		if stage.Pieces == 0 {
			continue
		}
		drained, _ := stage.drainTime()
		if until := max(drained, stage.Promised); scarce < 0 || until > free {
			scarce, free = i, until
		}
	}
	return scarce, free
}

// freeShare returns the share of the targets' time that the work that arrives leaves free.
func (stage Stage) freeShare() float64 {
	if stage.Forecast.Pressure <= 0 || !stage.ForecastFresh {
		return minFreeShare
	}
	return max(1-stage.Forecast.Pressure, minFreeShare)
}

// drainTime returns the time in which the targets will have done the work that is queued now beside that which arrives, and whether the end of a burst bounds it: the
// pressure, an average of what is admitted, does not show how long a queue of more than a call will grow.
func (stage Stage) drainTime() (drained time.Duration, afterBurst bool) {
	wait := stage.Forecast.WaitForAll()
	if pressure := stage.Forecast.Pressure; stage.ForecastFresh && pressure > 0 && pressure <= calmPressure && wait < stage.Forecast.Call {
		return time.Duration(float64(wait) / (1 - pressure)), false
	}
	return max(time.Duration(float64(wait)/minFreeShare), burstTime), true
}

// timeWithoutWait returns the time to the response if no stage has a queue.
func (request Request) timeWithoutWait() time.Duration {
	stages := make([]Stage, len(request.Stages))
	for i, stage := range request.Stages {
		stage.Forecast.Ahead, stage.Forecast.Late = nil, 0
		stages[i] = stage
	}
	request.Stages = stages
	return Forecast(request).TimeToResponse
}

// returnAt decides when the caller of a request that is expected to be late should return, and which free time that takes.
//
// Load: callers that are turned away together. The scarce stage first does what is queued, then the work of those that were told to return before; each further
// one is told when its own work would begin. Nobody is told to return so late that the response would miss the time limit even without a queue. Returns that find no
// free time before that are spread over the last part of it.
func (request Request) returnAt(random *rand.Rand) (retryAfter, promised time.Duration, service string) {
	latest := time.Duration(float64(request.TimeLeft) * maxRetryAfterShare)
	latest = max(min(latest, request.TimeLeft-time.Duration(float64(request.timeWithoutWait())/lateTimeShare)), minRetryAfter)
	scarce, free := request.scarceStage()
	if scarce < 0 {
		return minRetryAfter, 0, ""
	}
	stage := request.Stages[scarce]
	need := latest // without a target, and at most
	if capacity := stage.Forecast.Capacity * stage.freeShare(); capacity > 0 {
		need = time.Duration(min(float64(stage.PieceTime)*float64(stage.Pieces*max(request.Daemons, 1))/capacity, float64(latest)))
	}
	retryAfter = free + time.Duration(random.Float64()*float64(need))
	if drained, afterBurst := stage.drainTime(); afterBurst && stage.Promised < drained {
		retryAfter = max(stage.Promised, drained-burstTime+jittered(burstTime, random)) // when the burst ends is not known
	}
	retryAfter = max(retryAfter, minRetryAfter)
	if retryAfter > latest {
		retryAfter = max(time.Duration(float64(latest)*(burstShare+(1-burstShare)*random.Float64())), minRetryAfter)
	}
	return retryAfter, max(min(free+need, latest), stage.Promised), stage.Spec.Service
}
