package batch

import (
	"slices"
	"time"
)

const (
	inputFetchTime  = 80 * time.Millisecond // time after the start of its call within which a target has fetched the inputs of a piece
	releaseSuspends = 5 * time.Second       // time without early releases after a piece found its inputs gone
	releaseStarts   = 2 * time.Second       // time without early releases after this pool began to send: calls of another sender may run first
	shortRoomShare  = 0.4                   // share of the result capacity below which a service is short of room
)

// fetch is a job whose pieces have all begun, so that its inputs are fetched by now or soon.
type fetch struct {
	job *job
	at  time.Time // time from which on the inputs have been fetched
}

// watchFetch notes that a piece begins for the first time and, if it is the last one of its job, when its inputs can be
// released.
func (pool *Pool) watchFetch(now time.Time, begun *piece) {
	if begun.begun {
		return
	}
	begun.begun = true
	begun.job.toBegin--
	if begun.job.toBegin == 0 && begun.job.ReleaseInputs {
		pool.fetches = append(pool.fetches, fetch{begun.job, now.Add(inputFetchTime)})
	}
}

// unwatchFetch notes that the call of a piece was rejected, so that the piece has not begun.
func (piece *piece) unwatchFetch() {
	if piece.begun && !piece.job.released {
		piece.begun = false
		piece.job.toBegin++
	}
}

// FetchedInputs returns the inputs that no piece will fetch any more: those of jobs with ReleaseInputs whose calls have all
// begun some time ago and of which none has to be repeated.
//
// Load pattern: a burst that fills the targets of a stage with results that the next stage has fetched and still works on.
// Results take a place from the beginning of their call on, and targets hold those of little more than two calls.
func (pool *Pool) FetchedInputs(now time.Time) []string {
	var fetched []string
	for len(pool.fetches) > 0 && !now.Before(pool.fetches[0].at) {
		job := pool.fetches[0].job
		pool.fetches = pool.fetches[1:]
		if now.Sub(pool.firstCallAt) < releaseStarts {
			continue
		}
		repeated := job.toBegin > 0 || slices.ContainsFunc(job.pieces, func(piece piece) bool { return piece.queued })
		if job.released || repeated || now.Before(pool.releaseAfter) {
			continue // the inputs are released when the job ends
		}
		job.released = true
		fetched = append(fetched, job.Inputs...)
	}
	return fetched
}

// recordGone suspends early releases after a piece found inputs gone that had been released.
func (pool *Pool) recordGone(now time.Time, gone *piece) {
	if gone.job.released && gone.attempts == 1 {
		pool.releaseAfter = now.Add(releaseSuspends)
	}
}

// isShortOfRoom reports whether the usable targets have little free capacity for results.
func (pool *Pool) isShortOfRoom(now time.Time) bool {
	var free, whole int64
	for _, worker := range pool.workers {
		if worker.usable(now) {
			free += max(worker.freeResultBytes(now, pool.spec), 0)
			whole += pool.spec.MaxResultBytes
		}
	}
	return float64(free) < float64(whole)*shortRoomShare
}
