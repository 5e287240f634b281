package fakes

import (
	"sync"
	"time"
)

// Clock is a core.Clock whose Now can be advanced; After waits for real time.
type Clock struct {
	mutex  sync.Mutex
	offset time.Duration
}

// Now returns the system time plus the total of all advances.
func (clock *Clock) Now() time.Time {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	return time.Now().Add(clock.offset)
}

// Advance moves Now by the duration, backwards when it is negative.
func (clock *Clock) Advance(duration time.Duration) {
	clock.mutex.Lock()
	defer clock.mutex.Unlock()
	clock.offset += duration
}

// After returns a channel that receives after the duration in real time, unaffected by Advance.
func (clock *Clock) After(duration time.Duration) <-chan time.Time { return time.After(duration) }
