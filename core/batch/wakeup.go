package batch

import (
	"math"
	"time"
)

const minWakeup = time.Millisecond // shortest time to the next Dispatch

// earliest returns the earlier of two times, of which zero means never.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// NextWakeup returns when Dispatch has to run again if no event comes first; the zero time means never. It must be called
// after Dispatch.
//
// Dispatch would send nothing and end no job before that time: a job for which nothing else happens would wait until its
// deadline otherwise.
func (pool *Pool) NextWakeup(now time.Time) time.Time {
	var wake time.Time
	for _, call := range pool.calls {
		if !call.stalled {
			wake = earliest(wake, pool.stallsFrom(now, call))
			if due := pool.Early.due(call); due.After(now) {
				wake = earliest(wake, due)
			}
		}
	}
	if len(pool.queue) > 0 {
		wake = earliest(wake, pool.targetsChangeAt(now))
		wake = earliest(wake, pool.localityWaitEnds)
		wake = earliest(wake, pool.passOverEnds)
		wake = earliest(wake, pool.nextRejection(now))
	}
	if len(pool.fetches) > 0 {
		wake = earliest(wake, pool.fetches[0].at)
	}
	if !wake.IsZero() && wake.Before(now.Add(minWakeup)) {
		wake = now.Add(minWakeup)
	}
	pool.dispatchDue = wake
	return wake
}

// stallsFrom returns a time before which the call is not stalled. The timeout becomes shorter while the slowdown of its
// target decays, ever more slowly, so that its present rate gives a time that is not too late and is soon near the right one.
func (pool *Pool) stallsFrom(now time.Time, call *call) time.Time {
	timeLeft := call.startedAt.Add(pool.stallTimeout(now, call)).Sub(now)
	excess := max(call.worker.currentSlowdown(now)-1, 0)
	rate := float64(call.expected) * call.maxPace * stallFactor * excess * math.Ln2 / float64(slowdownHalfLife)
	return now.Add(time.Duration(float64(timeLeft) / (1 + rate)))
}

// targetsChangeAt returns the first time at which a target may take queued pieces that it cannot take now.
func (pool *Pool) targetsChangeAt(now time.Time) time.Time {
	var change time.Time
	if len(pool.shares) > 1 && pool.sharesChangeAt.After(now) {
		change = pool.sharesChangeAt
	}
	for _, worker := range pool.workers {
		for _, at := range []time.Time{worker.backoffUntil, worker.fullUntil, worker.unaccounted.until, now.Add(pool.paceWait(now, worker)), worker.usableFrom(now)} {
			if at.After(now) {
				change = earliest(change, at)
			}
		}
		if !worker.nextExpiry.IsZero() {
			change = earliest(change, worker.nextExpiry.Add(1)) // expired after that time
		}
	}
	return change
}

// nextRejection returns the first time at which rejectInfeasible may end a job, or record that it is late.
func (pool *Pool) nextRejection(now time.Time) time.Time {
	var next time.Time
	callTime := pool.typicalCallTime()
	paused := pool.pausedFor(now)
	for _, waiting := range pool.queue {
		job := waiting.job
		if job.lateSince.IsZero() {
			next = earliest(next, job.SoftDeadline.Add(-callTime))
		}
		if waiting.runningCalls > 0 {
			continue
		}
		next = earliest(next, job.Deadline.Add(-pool.spec.CallOverhead))
		if paused > 0 && now.Add(paused+pool.spec.CallOverhead).After(job.Deadline) {
			next = earliest(next, now)
		}
		if !job.lateSince.IsZero() && !job.LastAttempt {
			next = earliest(next, job.lateSince.Add(maxLateWait))
		}
	}
	if check := pool.infeasibleCheckedAt.Add(infeasibleCheckInterval); !next.IsZero() && next.Before(check) {
		return check
	}
	return next
}
