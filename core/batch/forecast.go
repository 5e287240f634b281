package batch

import (
	"slices"
	"time"
)

// pieceTime returns the expected time of one piece of the class on a target of usual speed.
func (pool *Pool) pieceTime(class string) time.Duration {
	factor, known := pool.classFactors[class]
	if !known {
		factor = 1
	}
	return time.Duration(float64(pool.spec.PieceTime) * factor)
}

func (pool *Pool) expectedTime(pieces []*piece) time.Duration {
	sum := pool.spec.CallOverhead
	for _, piece := range pieces {
		sum += pool.pieceTime(piece.job.Class)
	}
	return sum
}

// updateClassFactors adjusts the time factors of the classes in a call to its measured time. Calls on targets that are
// unusually fast or slow are ignored.
func (pool *Pool) updateClassFactors(call *call, took time.Duration) {
	const normalMin, normalMax = 0.7, 1.4
	if slowdown := call.worker.currentSlowdown(call.startedAt) * call.stretch; slowdown < normalMin || slowdown > normalMax || call.expected <= pool.spec.CallOverhead {
		return
	}
	took = time.Duration(float64(took) / call.stretch)
	ratio := float64(took-pool.spec.CallOverhead) / float64(call.expected-pool.spec.CallOverhead)
	ratio = min(max(ratio, 0.5), 2)
	classes := map[string]int{}
	for _, piece := range call.pieces {
		classes[piece.job.Class]++
	}
	for class, count := range classes {
		factor, known := pool.classFactors[class]
		if !known {
			factor = 1
		}
		weight := classFactorSmoothing * float64(count) / float64(len(call.pieces))
		pool.classFactors[class] = min(max(factor*(1+(ratio-1)*weight), minClassFactor), maxClassFactor)
	}
}

// typicalCallTime returns the expected time of a call at the present queue depth, with at least half a batch as in
// formBatch.
func (pool *Pool) typicalCallTime() time.Duration {
	size := min(max(len(pool.queue)/max(len(pool.workers), 1), (pool.spec.MaxPieces+1)/2), pool.spec.MaxPieces)
	var pieceTimes time.Duration
	for _, waiting := range pool.queue {
		pieceTimes += pool.pieceTime(waiting.job.Class)
	}
	if len(pool.queue) == 0 {
		return pool.spec.CallOverhead + pool.spec.PieceTime*time.Duration(size)
	}
	return pool.spec.CallOverhead + pieceTimes*time.Duration(size)/time.Duration(len(pool.queue))
}

// RecentForecast returns a forecast that is no older than the age.
func (pool *Pool) RecentForecast(now time.Time, maxAge time.Duration) Forecast {
	if now.Sub(pool.forecastAt) > maxAge {
		pool.recentForecast, pool.forecastAt = pool.Forecast(now), now
	}
	return pool.recentForecast
}

// Forecast returns an estimate of how long new jobs would wait.
func (pool *Pool) Forecast(now time.Time) Forecast {
	forecast := Forecast{Call: pool.typicalCallTime(), ShortOfRoom: pool.isShortOfRoom(now), Ahead: make([]time.Duration, forecastSteps)}
	forecast.Capacity, forecast.PausedFor = pool.capacity(now, forecast.Call), pool.pausedFor(now)
	forecast.Pressure = pool.pressure.value(now, forecast.Capacity*float64(pool.spec.MaxCalls))
	perPiece := pool.spec.CallOverhead / time.Duration(pool.spec.MaxPieces)
	for _, waiting := range pool.queue {
		cost := perPiece + pool.pieceTime(waiting.job.Class)
		if now.Add(pool.spec.CallOverhead).After(waiting.job.SoftDeadline) {
			forecast.Late += cost
			continue // new jobs go before those past their soft deadline
		}
		due := waiting.job.SoftDeadline.Add(time.Duration(waiting.job.Priority) * priorityOffset).Sub(now)
		for step := max(int(due/ForecastStep), 0); step < forecastSteps; step++ {
			forecast.Ahead[step] += cost
		}
	}
	// Running calls occupy their targets for the rest of their expected time.
	var running time.Duration
	busy := 0
	for _, call := range pool.calls {
		busy++
		running += max(time.Duration(float64(call.expected)*call.stretch)-now.Sub(call.startedAt), 0)
	}
	if busy >= len(pool.workers)*pool.spec.MaxCalls {
		for step := range forecast.Ahead {
			forecast.Ahead[step] += running / 2
		}
	}
	return forecast
}

// capacity returns how many targets of usual speed the usable ones are worth for calls of the time.
func (pool *Pool) capacity(now time.Time, callTime time.Duration) float64 {
	slowdowns := pool.slowdowns(now)
	capacity := 0.0
	for _, worker := range pool.workers {
		if !worker.usable(now) {
			continue
		}
		// Each slowdown counts relative to the median: when all targets look slow at once, this process may as well have
		// stalled, and that must not stop it from admitting work.
		share := 1 / max(max(worker.currentSlowdown(now), 1)/slowdowns[len(slowdowns)/2], 1)
		share /= worker.told.Stretch(now, callTime) // told, so that a stall of this process does not change it
		if pool.Pacer != nil {
			if pool.Pacer.PausedFor(now, worker.ID) > 0 {
				continue
			}
			if rate, limited := pool.Pacer.Rate(worker.ID); limited {
				share = min(share, rate*callTime.Seconds()/float64(pool.spec.MaxCalls))
			}
		}
		capacity += share
	}
	return capacity
}

// pausedFor returns how long all targets want nothing; 0 means that one may get a call, or that there is none.
func (pool *Pool) pausedFor(now time.Time) time.Duration {
	if pool.Pacer == nil {
		return 0
	}
	var least time.Duration
	for _, worker := range pool.workers {
		if worker.removed {
			continue
		}
		wait := pool.Pacer.PausedFor(now, worker.ID)
		if wait == 0 {
			return 0
		}
		if least == 0 || wait < least {
			least = wait
		}
	}
	return least
}

// slowdowns returns the slowdowns of the usable targets, fastest first.
func (pool *Pool) slowdowns(now time.Time) []float64 {
	var slowdowns []float64
	for _, worker := range pool.workers {
		if worker.usable(now) {
			slowdowns = append(slowdowns, max(worker.currentSlowdown(now), 1))
		}
	}
	slices.Sort(slowdowns)
	return slowdowns
}
