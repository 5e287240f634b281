package limit

import "time"

const (
	// burstTime is the time whose requests may be sent at once, beside one: requests do not come evenly.
	burstTime = 250 * time.Millisecond
	// minRate is the least rate in requests per second: a target that gets none could not name another limit.
	minRate = 0.25
)

// bucket is a token bucket; its tokens are below 0 while reserved requests wait. It starts empty, because another daemon may have
// sent to the target just before this one does.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (bucket *bucket) refill(now time.Time, rate float64) {
	if !bucket.refilledAt.IsZero() {
		burst := 1 + rate*burstTime.Seconds()
		bucket.tokens = min(bucket.tokens+rate*max(now.Sub(bucket.refilledAt), 0).Seconds(), burst)
	}
	bucket.refilledAt = now
}

// Wait implements core.Pacer.
func (table *Table) Wait(now time.Time, target string) time.Duration {
	table.Pace(now, target)
	known := table.states[target]
	rate, limited := table.Rate(target)
	if !limited {
		return 0
	}
	bucket := &known.bucket
	bucket.refill(now, rate)
	if known.evidence.Brittle {
		bucket.tokens = min(bucket.tokens, 1) // a target may have no room for several at once
	}
	return max(time.Duration((1-bucket.tokens)/rate*float64(time.Second)), known.heldFor(now))
}

// heldFor returns how long the target may get no request whatever its rate, 0 if it is not brittle.
func (state *state) heldFor(now time.Time) time.Duration {
	if !state.evidence.Named || !state.evidence.Brittle {
		return 0
	}
	return state.pace.holdFor(now, state.evidence.Rate)
}

// Take implements core.Pacer.
func (table *Table) Take(now time.Time, target string, maxWait time.Duration) (time.Duration, bool) {
	wait := table.Wait(now, target)
	known := table.states[target]
	if known == nil {
		return wait, wait <= maxWait
	}
	if known.evidence.Brittle {
		maxWait = min(maxWait, paceWindow) // its rate may be lower by the time of a later turn
	}
	if wait > maxWait || known.heldFor(now) > 0 {
		known.pace.denied = true
		return wait, false
	}
	known.bucket.tokens--
	if known.evidence.Brittle {
		known.pace.grant(now.Add(wait))
	}
	return wait, true
}
