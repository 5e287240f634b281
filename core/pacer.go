package core

import "time"

// Pacer limits how often targets get requests from all daemons together, and from this one.
type Pacer interface {
	// PausedFor returns how long a target wants nothing more from this daemon; 0 means that it may get a request.
	PausedFor(now time.Time, target string) time.Duration
	// Rate returns the requests per second that the target takes, and false if it names no limit.
	Rate(target string) (float64, bool)
	// Wait returns how long the next request to the target would have to wait; 0 means that it may be sent now.
	Wait(now time.Time, target string) time.Duration
	// Take reserves the next request to the target and returns how long it has to wait. It reserves nothing and reports false if
	// that is longer than maxWait.
	Take(now time.Time, target string, maxWait time.Duration) (time.Duration, bool)
}
