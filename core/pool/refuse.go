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
func (dispatcher *Dispatcher) poison() *core.Error {
	return core.Errorf(core.Poison, "content crashed targets and is in quarantine").WithRun(core.NotRun)
}

func excludes(exclude []core.TargetName, name core.TargetName) bool {
	return len(exclude) > 0 && slices.Contains(exclude, name)
}
