package batch

import (
	"math"
	"time"
)

const (
	pressureWindow = time.Second // time constant of the average of arriving work; bursts last seconds
	idlePressure   = 0.001       // lower bound, since 0 means unknown
)

// pressure averages the work that arrives at a pool; the zero value knows nothing.
type pressure struct {
	startedAt  time.Time
	averagedAt time.Time
	recent     time.Duration // work that has arrived since averagedAt
	perSecond  float64       // work in seconds of one call at a target
}

// add counts the work of a job.
func (pressure *pressure) add(work time.Duration) { pressure.recent += work }

// value returns the arriving work relative to the calls that the targets can run at a time, or 0 while less than one window has
// been seen: the first requests that a new pool gets are those of a burst after a failure.
func (pressure *pressure) value(now time.Time, calls float64) float64 {
	if pressure.startedAt.IsZero() {
		pressure.startedAt, pressure.averagedAt = now, now
	}
	if elapsed := now.Sub(pressure.averagedAt); elapsed > 0 {
		weight := math.Exp(-elapsed.Seconds() / pressureWindow.Seconds())
		pressure.perSecond = pressure.perSecond*weight + pressure.recent.Seconds()/elapsed.Seconds()*(1-weight)
		pressure.recent, pressure.averagedAt = 0, now
	}
	if calls <= 0 || now.Sub(pressure.startedAt) < pressureWindow {
		return 0
	}
	return max(pressure.perSecond/calls, idlePressure)
}
