package engine

import (
	"net/http"
	"time"
)

// Job is one admitted request.
type Job struct {
	Writer  http.ResponseWriter
	Request *http.Request
	Body    []byte
	Cold    bool // the target was cold when the job began
	engine  *Engine
	life    *life
	record  *Record
}

// Running returns the number of requests that run with this one.
func (job *Job) Running() int { return job.engine.Running() }

// Sleep waits for the duration, scaled by the faults; it ends the request when the target crashes or the caller leaves.
func (job *Job) Sleep(duration time.Duration) {
	if slow := job.engine.Faults().Slow; slow > 0 {
		duration = time.Duration(float64(duration) * slow)
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-job.life.over:
	case <-job.Request.Context().Done():
	}
	select {
	case <-job.life.over:
		job.end(Crashed)
		panic(http.ErrAbortHandler)
	case <-job.Request.Context().Done():
		job.end(Cancelled)
		panic(http.ErrAbortHandler)
	default:
	}
}

// Begin waits for the time before the first byte of a response, which is longer on a cold target.
func (job *Job) Begin(duration time.Duration) {
	if job.Cold {
		duration = time.Duration(float64(duration) * job.engine.settings.ColdFactor)
	}
	job.Sleep(duration)
}

func (job *Job) end(outcome string) {
	job.engine.mutex.Lock()
	defer job.engine.mutex.Unlock()
	if job.record.Outcome == "" {
		job.record.Outcome = outcome
	}
}

// admit waits for a free place; it reports false when the queue is full or the caller has left.
func (engine *Engine) admit(job *Job) bool {
	engine.mutex.Lock()
	job.life = engine.life
	if engine.down {
		engine.mutex.Unlock()
		panic(http.ErrAbortHandler)
	}
	if engine.running < engine.settings.Capacity {
		engine.run(job)
		engine.mutex.Unlock()
		return true
	}
	if len(engine.waiting) >= engine.settings.WaitLimit {
		engine.mutex.Unlock()
		return false
	}
	waiter := engine.queue(job.record.Priority)
	engine.mutex.Unlock()
	return engine.await(job, waiter)
}

func (engine *Engine) queue(priority int) *waiter {
	waiter := &waiter{priority: priority, admitted: make(chan struct{})}
	place := len(engine.waiting)
	for place > 0 && engine.waiting[place-1].priority < priority {
		place--
	}
	engine.waiting = append(engine.waiting, nil)
	copy(engine.waiting[place+1:], engine.waiting[place:])
	engine.waiting[place] = waiter
	engine.note()
	engine.fallWhenOverloaded()
	return waiter
}

func (engine *Engine) await(job *Job, waiter *waiter) bool {
	select {
	case <-waiter.admitted:
		engine.mutex.Lock()
		job.Cold = engine.cold()
		engine.mutex.Unlock()
		return true
	case <-job.life.over:
		job.end(Crashed)
	case <-job.Request.Context().Done():
		job.end(Cancelled)
		engine.leave(job, waiter)
	}
	panic(http.ErrAbortHandler)
}

// leave takes a waiter out of the queue, or frees its place when it was admitted meanwhile.
func (engine *Engine) leave(job *Job, gone *waiter) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.life != job.life {
		return
	}
	for index, waiter := range engine.waiting {
		if waiter == gone {
			engine.waiting = append(engine.waiting[:index], engine.waiting[index+1:]...)
			engine.note()
			return
		}
	}
	engine.free()
}

func (engine *Engine) run(job *Job) {
	job.Cold = engine.cold()
	engine.occupy()
}

func (engine *Engine) occupy() {
	engine.running++
	engine.counts.MostRun = max(engine.counts.MostRun, engine.running)
	if engine.cold() {
		engine.counts.MostCold = max(engine.counts.MostCold, engine.running)
	}
	engine.note()
	engine.fallWhenOverloaded()
}

func (engine *Engine) fallWhenOverloaded() {
	settings := engine.settings
	if engine.cold() {
		if engine.running > settings.ColdBearing {
			engine.fall()
		}
		return
	}
	if settings.HardLimit > 0 && engine.running+len(engine.waiting) > settings.HardLimit {
		engine.fall()
	}
}

// free gives the place of an ended request to the next in the queue.
func (engine *Engine) free() {
	engine.running--
	if len(engine.waiting) > 0 && !engine.down {
		next := engine.waiting[0]
		engine.waiting = engine.waiting[1:]
		engine.occupy()
		close(next.admitted)
	}
	engine.note()
}

// leaveRunning ends an admitted request.
func (engine *Engine) leaveRunning(job *Job) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if job.record.Outcome == Done {
		engine.counts.Finished++
	}
	if engine.life != job.life {
		return
	}
	if job.record.Outcome == Done {
		engine.life.completed++
	}
	engine.free()
}
