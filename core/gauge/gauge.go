package gauge

import (
	"math"
	"time"

	"catkincove/core"
)

const (
	paceLasts      = 300 * time.Millisecond // mean time for which a machine keeps a speed that others on it cause
	maxAge         = time.Second            // age from which on a statement is worth nothing
	errorSmoothing = 0.1                    // smoothing factor (alpha) of the moving averages of prediction errors
	maxUses        = 2                      // requests that one of several daemons sends by one statement: all of them see the same idle target
)

// Gauge is the newest statement of one target; the zero value holds none. It is not safe for concurrent use.
type Gauge struct {
	load       core.Load
	at         time.Time
	others     int     // requests that the target runs or holds for others
	uses       int     // requests sent by this statement
	toldError  float64 // moving average of the error of stretches, as a logarithm
	usualError float64 // that of a stretch of 1
}

// Observe records a statement that has just arrived; own is the number of this daemon's requests that the target had when it made
// it. A response that states nothing leaves the former statement, which loses its worth with time.
func (gauge *Gauge) Observe(now time.Time, load core.Load, own int) {
	if load.Told {
		gauge.load, gauge.at, gauge.others, gauge.uses = load, now, max(load.Running+load.Waiting-own, 0), 0
	}
}

// Weight returns how much of the statement still holds: 1 when it arrives, 0 after maxAge or without one. After maxUses requests it is
// worth nothing, too: the other daemons have seen the same and have sent theirs.
func (gauge *Gauge) Weight(now time.Time) float64 {
	age := now.Sub(gauge.at)
	if !gauge.load.Told || age >= maxAge || gauge.uses >= maxUses {
		return 0
	}
	return math.Exp(-max(age, 0).Seconds() / paceLasts.Seconds())
}

// Stretch returns how long work that begins now takes relative to its usual time. It is 1 without a fresh statement, and while the paces
// that the target tells predict the times of its work worse than that: what it tells may be wrong or frozen.
func (gauge *Gauge) Stretch(now time.Time, work time.Duration) float64 {
	if !gauge.Right() {
		return 1
	}
	return gauge.Prediction(now, work)
}

// Prediction returns what Stretch does, whether or not the target's paces have been right.
func (gauge *Gauge) Prediction(now time.Time, work time.Duration) float64 {
	weight := gauge.Weight(now)
	if weight == 0 {
		return 1
	}
	stretch := gauge.load.Pace
	if float64(work)*stretch > float64(paceLasts) {
		stretch = 1 + float64(paceLasts)/float64(work)*(1-1/stretch)
	}
	return 1 + (stretch-1)*weight
}

// Right reports whether the paces that the target tells predict the times of its work at least as well as the usual time does.
func (gauge *Gauge) Right() bool { return gauge.toldError <= gauge.usualError }

// Learn records how long work has taken relative to its usual time, for which predicted is the Prediction when it began.
func (gauge *Gauge) Learn(predicted, measured float64) {
	if predicted <= 0 || measured <= 0 {
		return
	}
	gauge.toldError += (math.Abs(math.Log(measured/predicted)) - gauge.toldError) * errorSmoothing
	gauge.usualError += (math.Abs(math.Log(measured)) - gauge.usualError) * errorSmoothing
}

// Told returns the last statement and its age, and reports false if there is none that is fresh enough to be used.
func (gauge *Gauge) Told(now time.Time) (load core.Load, age time.Duration, fresh bool) {
	return gauge.load, now.Sub(gauge.at), gauge.Weight(now) > 0
}

// Others returns how many requests of others the target had by its last statement.
func (gauge *Gauge) Others() int { return gauge.others }

// Use counts a request that this daemon sends to the target.
func (gauge *Gauge) Use() { gauge.uses++ }
