package pool

import (
	"slices"
	"time"

	"catkincove/core"
)

func (dispatcher *Dispatcher) unavailable(format string, arguments ...any) *core.Error {
	return core.Errorf(core.Unavailable, format, arguments...).WithRetryAfter(recoveryTimeout)
}

func (dispatcher *Dispatcher) overloaded(retryAfter time.Duration, format string, arguments ...any) *core.Error {
	bounded := min(maxRetryAfter, max(minRetryAfter, retryAfter))
	return core.Errorf(core.Overloaded, format, arguments...).WithRetryAfter(bounded)
}

// quarantined returns the rejection of a quarantined request content; this attempt was not run, although earlier ones were.
//
// The rejection is not final until it is certain that the crashes were no rack failure.
func (dispatcher *Dispatcher) quarantined(now time.Time, fingerprint core.Fingerprint) *core.Error {
	if undecided := dispatcher.crashTracker.undecidedFor(now, fingerprint); undecided > 0 {
		return core.Errorf(core.Unavailable, "targets crashed; the cause is being determined").WithRetryAfter(undecided)
	}
	return core.Errorf(core.Poison, "request content crashed targets and is quarantined").WithRun(core.NotRun)
}

func excludes(exclude []core.TargetName, name core.TargetName) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}
