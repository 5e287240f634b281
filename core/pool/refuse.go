package pool

import (
	"slices"
	"time"

	"catkincove/core"
)

func (dispatcher *Dispatcher) unavailable(format string, arguments ...any) *core.Error {
	return core.Errorf(core.Unavailable, format, arguments...).WithRetryAfter(hopeFor)
}

func (dispatcher *Dispatcher) overloaded(retryAfter time.Duration, format string, arguments ...any) *core.Error {
	bounded := min(mostRetryAfter, max(leastRetryAfter, retryAfter))
	return core.Errorf(core.Overloaded, format, arguments...).WithRetryAfter(bounded)
}

// poison refuses a quarantined content; this attempt was not run, although earlier ones were.
//
// Until it is certain that no rack failed, the content is not blamed.
func (dispatcher *Dispatcher) poison(now time.Time, fingerprint core.Fingerprint) *core.Error {
	if open := dispatcher.blame.openFor(now, fingerprint); open > 0 {
		return core.Errorf(core.Unavailable, "targets crashed; the cause is being determined").WithRetryAfter(open)
	}
	return core.Errorf(core.Poison, "content crashed targets and is in quarantine").WithRun(core.NotRun)
}

func excludes(exclude []core.TargetName, name core.TargetName) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}
