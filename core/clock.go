package core

import (
	"context"
	"time"
)

// Clock is the source of time for all packages; tests replace it.
type Clock interface {
	// Now returns the present time, with a monotonic reading where the platform has one.
	Now() time.Time
	// After returns a channel that receives one value after the duration.
	After(duration time.Duration) <-chan time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the system time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns the channel of a system timer.
func (SystemClock) After(duration time.Duration) <-chan time.Time { return time.After(duration) }

// Elapsed returns the larger of the monotonic and the wall-clock time between two readings.
//
// A suspended VM stops the monotonic clock, and an operator can set the wall clock back. A lease that is checked
// against only one of them can look valid after it has expired.
func Elapsed(from, to time.Time) time.Duration {
	monotonic := to.Sub(from)
	wall := to.Round(0).Sub(from.Round(0))
	return max(monotonic, wall)
}

// Sleep waits for the duration; it returns false when ctx has ended.
func Sleep(ctx context.Context, clock Clock, duration time.Duration) bool {
	select {
	case <-clock.After(duration):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
