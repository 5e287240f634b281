package engine

import (
	"net/http"
	"time"
)

// Job is one admitted request.
type Job struct {
	Writer      http.ResponseWriter
	Request     *http.Request
	Body        []byte
	Cold        bool // whether the target was cold when the job was admitted
	engine      *Engine
	incarnation *incarnation
	record      *Record
}

// Running returns the number of requests that the target runs now, this one included.
func (job *Job) Running() int { return job.engine.Running() }

// Sleep waits for the duration, scaled by the faults; it aborts the request on a crash of the target or when the
// caller disconnects.
func (job *Job) Sleep(duration time.Duration) {
	if slowdown := job.engine.Faults().Slow; slowdown > 0 {
		duration = time.Duration(float64(duration) * slowdown)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-job.incarnation.ended:
	case <-job.Request.Context().Done():
	}
	select {
	case <-job.incarnation.ended:
		job.setOutcome(Crashed)
		panic(http.ErrAbortHandler)
	case <-job.Request.Context().Done():
		job.setOutcome(Cancelled)
		panic(http.ErrAbortHandler)
	default:
	}
}

// SleepToFirstByte waits for the time to the first byte of a response, which is multiplied by ColdFactor on a cold target.
func (job *Job) SleepToFirstByte(duration time.Duration) {
	if job.Cold {
		duration = time.Duration(float64(duration) * job.engine.settings.ColdFactor)
	}
	job.Sleep(duration)
}

func (job *Job) setOutcome(outcome string) {
	job.engine.mutex.Lock()
	defer job.engine.mutex.Unlock()
	if job.record.Outcome == "" {
		job.record.Outcome = outcome
	}
}

// admit waits for a free slot and reports false when the queue is full; it aborts the request when the caller disconnects.
func (engine *Engine) admit(job *Job) bool {
	engine.mutex.Lock()
	job.incarnation = engine.incarnation
	if engine.down {
		engine.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if engine.running < engine.settings.Capacity {
		engine.startJob(job)
		engine.mutex.Unlock()
		return true
	}
	if len(engine.waiting) >= engine.settings.WaitLimit {
		engine.mutex.Unlock()
		return false
	}
	waiter := engine.queue(job.record.Priority)
	engine.mutex.Unlock()
	return engine.awaitAdmission(job, waiter)
}

// queue adds a waiter behind those of the same or a higher priority.
func (engine *Engine) queue(priority int) *waiter {
	waiter := &waiter{priority: priority, admitted: make(chan struct{})}
	position := len(engine.waiting)
	for position > 0 && engine.waiting[position-1].priority < priority {
		position--
	}
	engine.waiting = append(engine.waiting, nil)
	copy(engine.waiting[position+1:], engine.waiting[position:])
	engine.waiting[position] = waiter
	engine.recordLoad()
	engine.crashWhenOverloaded()
	return waiter
}

func (engine *Engine) awaitAdmission(job *Job, waiter *waiter) bool {
	select {
	case <-waiter.admitted:
		engine.mutex.Lock()
		job.Cold = engine.cold()
		engine.mutex.Unlock()
		return true
	case <-job.incarnation.ended:
		job.setOutcome(Crashed)
	case <-job.Request.Context().Done():
		job.setOutcome(Cancelled)
		engine.cancelWaiting(job, waiter)
	}
	panic(http.ErrAbortHandler)
}

// cancelWaiting removes a waiter from the queue, or releases its slot when it was admitted in the meantime.
func (engine *Engine) cancelWaiting(job *Job, cancelled *waiter) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.incarnation != job.incarnation {
		return
	}
	for index, waiter := range engine.waiting {
		if waiter == cancelled {
			engine.waiting = append(engine.waiting[:index], engine.waiting[index+1:]...)
			engine.recordLoad()
			return
		}
	}
	engine.releaseSlot()
}

func (engine *Engine) startJob(job *Job) {
	job.Cold = engine.cold()
	engine.takeSlot()
}

func (engine *Engine) takeSlot() {
	engine.running++
	engine.counts.MostRun = max(engine.counts.MostRun, engine.running)
	if engine.cold() {
		engine.counts.MostCold = max(engine.counts.MostCold, engine.running)
	}
	engine.recordLoad()
	engine.crashWhenOverloaded()
}

func (engine *Engine) crashWhenOverloaded() {
	settings := engine.settings
	if engine.cold() {
		if engine.running > settings.MaxColdRunning {
			engine.crashLocked()
		}
		return
	}
	if settings.HardLimit > 0 && engine.running+len(engine.waiting) > settings.HardLimit {
		engine.crashLocked()
	}
}

// releaseSlot passes the slot of an ended request to the first waiter.
func (engine *Engine) releaseSlot() {
	engine.running--
	if len(engine.waiting) > 0 && !engine.down {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.takeSlot()
		close(next.admitted)
	}
	engine.recordLoad()
}

// finishJob counts an admitted request that has ended and releases its slot.
func (engine *Engine) finishJob(job *Job) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if job.record.Outcome == Done {
		engine.counts.Finished++
	}
	if engine.incarnation != job.incarnation {
		return
	}
	if job.record.Outcome == Done {
		engine.incarnation.completed++
	}
	engine.releaseSlot()
}
