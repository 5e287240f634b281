package limit

import (
	"slices"
	"time"
)

const (
	paceWindow     = 250 * time.Millisecond  // time after which the rate of a brittle target follows what it has accepted
	rejectWindow   = time.Second             // time in which a target counts its rejections
	freeRate       = 1000.0                  // rate in requests per second before anything is known
	growth         = 1.2                     // growth of the rate in a window without rejections
	growthShare    = 0.3                     // the rate grows by this share of the bound as well
	maxLead        = 2.0                     // multiple of what is accepted that the rate may reach, beside the bound
	probeShare     = 0.15                    // share of the bound by which the rate exceeds what is accepted after a rejection
	calmShare      = 0.35                    // share of the bound that may be rejected in a second before the rate falls below what is accepted
	calmFactor     = 0.8                     // the rate then, relative to what is accepted
	ceilingGrow    = 0.03                    // growth in a window of the rate at which the target last rejected requests
	unheardTime    = 150 * time.Millisecond  // time until the rejection of a request is known
	minResultDelay = 50 * time.Millisecond   // a result is not of a request that was sent within this time
	silenceLimit   = 2500 * time.Millisecond // time after which a request without a result no longer counts as unread
	riskShare      = 0.75                    // share of the bound that known rejections and likely ones may reach together
	newShare       = 0.35                    // share of that in the first rejectWindow, when the daemon that paced the target before may still permit requests
)

// pace adapts the rate of requests to a brittle target, which falls over when it has to reject more requests in a second than its bound.
//
// The rate exceeds what the target accepts by a share of the bound only, so that the rejections stay below it while its room is used. It comes back to the rate
// at which the target last rejected requests, but grows beyond that slowly: results are some 100 ms late, and a rate that grows by a fifth in each
// window oscillates between too low and far too high. A rate says nothing of the rejections that have happened, nor of the requests whose results are
// not known yet; holdFor bounds these together.
type pace struct {
	rate       float64 // 0 before the first window
	ceiling    float64 // rate that the target accepted when it last rejected requests; 0 if it has not
	startedAt  time.Time
	windowAt   time.Time
	accepted   []acceptances // within rejectWindow
	rejectedAt []time.Time   // within rejectWindow
	grantedAt  []time.Time   // times of permitted requests, within unheardTime
	unread     []time.Time   // times of those that the last result says nothing of, within silenceLimit
	heldUntil  time.Time     // no request may be sent before, for want of results
	rejected   bool          // in the window
	denied     bool          // in the window: more requests could have been sent
}

type acceptances struct {
	at    time.Time
	count int
}

// report adds results of requests to the target.
func (pace *pace) report(now time.Time, bound float64, results Results) {
	if pace.rate == 0 {
		pace.rate, pace.windowAt, pace.startedAt = freeRate, now, now
	}
	pace.forget(now)
	if results.Accepted > 0 {
		pace.accepted = append(pace.accepted, acceptances{now, results.Accepted})
	}
	for range min(results.Rejected, maxRejections-len(pace.rejectedAt)) {
		pace.rejectedAt = append(pace.rejectedAt, now)
	}
	pace.rejected = pace.rejected || results.Rejected > 0
	if results != (Results{}) {
		pace.unread = slices.DeleteFunc(pace.unread, func(at time.Time) bool { return now.Sub(at) > minResultDelay })
	}
	elapsed := now.Sub(pace.windowAt)
	if elapsed < paceWindow && (results.Rejected == 0 || elapsed < paceWindow/5) {
		return
	}
	accepted := pace.acceptedRate(now)
	switch {
	case pace.ceiling > 0 && now.Before(pace.heldUntil):
		// What is accepted now says nothing about the room.
	case pace.rejected && now.Sub(pace.heldUntil) < rejectWindow:
		pace.ceiling = max(accepted, max(pace.ceiling, bound)*calmFactor)
		pace.rate = pace.ceiling
	case float64(len(pace.rejectedAt)) >= bound*calmShare:
		pace.rate, pace.ceiling = accepted*calmFactor, accepted
	case pace.rejected:
		pace.rate, pace.ceiling = accepted, accepted
	case pace.denied:
		pace.rate = min(pace.rate*growth+growthShare*bound, accepted*maxLead+bound)
	default:
		pace.rate = accepted*growth + growthShare*bound
	}
	if pace.ceiling > 0 && !pace.rejected {
		pace.rate = min(pace.rate, max(pace.ceiling, calmShare*bound))
		pace.ceiling += pace.ceiling*ceilingGrow + probeShare*bound*ceilingGrow
	}
	pace.windowAt, pace.rejected, pace.denied = now, false, false
}

// grant records that a request may be sent at a time.
func (pace *pace) grant(at time.Time) {
	pace.grantedAt, pace.unread = append(pace.grantedAt, at), append(pace.unread, at)
}

// forget removes what no longer counts.
func (pace *pace) forget(now time.Time) {
	pace.accepted = slices.DeleteFunc(pace.accepted, func(accepted acceptances) bool { return now.Sub(accepted.at) > rejectWindow })
	pace.rejectedAt = slices.DeleteFunc(pace.rejectedAt, func(at time.Time) bool { return now.Sub(at) > rejectWindow })
	pace.grantedAt = slices.DeleteFunc(pace.grantedAt, func(at time.Time) bool { return now.Sub(at) > unheardTime })
	pace.unread = slices.DeleteFunc(pace.unread, func(at time.Time) bool { return now.Sub(at) > silenceLimit })
}

// holdFor returns how long no request may be sent, because the target would fall over if it rejected as many of those whose results are not known as
// it has since its first rejection of the last second, or if it has read none since the last result; 0 means that one may be sent.
func (pace *pace) holdFor(now time.Time, bound float64) time.Duration {
	pace.forget(now)
	budget := max(bound*riskShare, 1)
	if float64(len(pace.unread))-pace.acceptedRate(now)*minResultDelay.Seconds() > budget-1 {
		return unheardTime // a silent target rejects all that it has not read in one moment
	}
	if now.Sub(pace.startedAt) < rejectWindow {
		budget = max(budget*newShare, 1)
	}
	granted := float64(len(pace.grantedAt))
	if len(pace.rejectedAt) == 0 {
		if granted-pace.acceptedRate(now)*unheardTime.Seconds() <= budget-1 {
			return 0
		}
		return pace.grantedAt[0].Add(unheardTime).Sub(now)
	}
	rejected, accepted := float64(len(pace.rejectedAt)), 0.0
	for _, results := range pace.accepted {
		if results.at.After(pace.rejectedAt[0]) {
			accepted += float64(results.count)
		}
	}
	likely := (rejected + 1) / (rejected + accepted + 1)
	switch {
	case rejected+granted*likely <= budget-1:
		return 0
	case rejected <= budget-1:
		pace.heldUntil = pace.grantedAt[0].Add(unheardTime)
	default:
		pace.heldUntil = pace.rejectedAt[0].Add(rejectWindow)
	}
	return pace.heldUntil.Sub(now)
}

// acceptedRate returns the requests per second that the target has accepted within rejectWindow.
func (pace *pace) acceptedRate(now time.Time) float64 {
	count := 0
	for _, accepted := range pace.accepted {
		count += accepted.count
	}
	span := min(max(now.Sub(pace.startedAt), paceWindow/5), rejectWindow)
	return float64(count) / span.Seconds()
}

// maxRejections bounds the rejections that are remembered of a target.
const maxRejections = 1000

// Results counts requests to a brittle target.
type Results struct{ Accepted, Rejected int }

// Add returns the sum of two counts.
func (results Results) Add(other Results) Results {
	return Results{Accepted: results.Accepted + other.Accepted, Rejected: results.Rejected + other.Rejected}
}

// Count remembers the result of a request of this daemon to a brittle target until it is paced or taken, and reports whether it is the
// first since then.
func (table *Table) Count(target string, results Results) bool {
	known := table.states[target]
	if known == nil || results == (Results{}) {
		return false
	}
	first := known.results == Results{}
	known.results = known.results.Add(results)
	return first
}

// Pace applies what was counted to the rate of a brittle target.
func (table *Table) Pace(now time.Time, target string) {
	known := table.states[target]
	if known != nil && known.evidence.Named && known.evidence.Brittle {
		known.pace.report(now, known.evidence.Rate, known.results)
		known.results = Results{}
	}
}

// TakeResults returns what was counted and forgets it.
func (table *Table) TakeResults(target string) Results {
	known := table.states[target]
	if known == nil {
		return Results{}
	}
	results := known.results
	known.results = Results{}
	return results
}
