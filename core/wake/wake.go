package wake

import (
	"sync"
	"time"

	"catkincove/core"
)

// MaxGap is the longest time between two observations of a process that runs; it is observed four times a second and may be
// late by some hundred milliseconds on a busy VM.
const MaxGap = 1200 * time.Millisecond

// Detector detects pauses of the process by gaps between observations, in the monotonic or the wall clock; the zero value is
// ready to use. It is safe for concurrent use.
//
// Load pattern: a process that is stopped, or whose VM is suspended, for some seconds. Requests that arrived meanwhile are
// served first when it runs again, by what it knew before: credentials that were revoked, targets that have left.
type Detector struct {
	mutex      sync.Mutex
	observedAt time.Time
	wokeAt     time.Time // zero while nothing has to be checked
	checked    chan struct{}
	woken      chan struct{} // closed at the next wake-up
}

// Observe records that the process runs and reports whether it was paused before.
func (detector *Detector) Observe(now time.Time) bool {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	before := detector.observedAt
	detector.observedAt = now
	if before.IsZero() || core.Elapsed(before, now) <= MaxGap {
		return false
	}
	if detector.wokeAt.IsZero() {
		detector.checked = make(chan struct{})
	}
	detector.wokeAt = now
	if detector.woken != nil {
		close(detector.woken)
		detector.woken = nil
	}
	return true
}

// Woken returns a channel that is closed when the next pause is detected.
func (detector *Detector) Woken() <-chan struct{} {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if detector.woken == nil {
		detector.woken = make(chan struct{})
	}
	return detector.woken
}

// Unchecked returns a channel that is closed when the state from before the last pause has been checked, or nil if there is
// nothing to check.
func (detector *Detector) Unchecked() <-chan struct{} {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if detector.wokeAt.IsZero() {
		return nil
	}
	return detector.checked
}

// Check records that the state was compared with its source by a question that was asked at the given time; an answer to an
// earlier question may be from before the pause.
func (detector *Detector) Check(askedAt time.Time) {
	detector.mutex.Lock()
	defer detector.mutex.Unlock()
	if detector.wokeAt.IsZero() || askedAt.Before(detector.wokeAt) {
		return
	}
	detector.wokeAt = time.Time{}
	close(detector.checked)
}
