package canary

import (
	"fmt"
	"slices"
	"time"

	"catkincove/core"
)

const (
	falseAlarms     = 0.001                  // probability that a version like the old one is rolled back, over all routes and looks of an order
	testsPerRoute   = 2                      // failures and times
	unstableFactor  = 1000                   // evidence in a disturbed fleet, by that in a calm one
	aloneFactor     = 1000                   // evidence without the old version beside, by that with it
	suspicion       = 20                     // evidence at which the share stops to rise
	minInterval     = 200 * time.Millisecond // of responses that are compared with each other
	maxInterval     = time.Second
	minCompared     = 20                     // responses of a full interval
	reportGap       = 2 * time.Second        // a report after a longer gap spans several shares and troubles
	gapOdds         = 4                      // odds that the spans of such reports add
	minOldTimes     = 20                     // responses that show how long the old version takes
	slowQuantile    = 0.8                    // of the old version's times
	slowBuckets     = 2                      // buckets beyond the quantile from which a response is slow: 1.5 to 2.25 times as long
	coldShare       = 0.15                   // of the time limit in which times do not count: new targets start cold
	maxCold         = 3 * time.Second        // targets are warm after some seconds, however long the order
	maxDaemons      = 1024                   // daemons whose reports are kept, restarts included
	rateWindow      = 2 * time.Second        // over which the rate of requests is taken
	minGood         = 10                     // good responses without which no version succeeds
	minRouteGood    = 3                      // of each route with a tenth of the requests
	settleTime      = 250 * time.Millisecond // without new requests to the old arm before a daemon counts as moved
	minFullAnswered = 0.5                    // part of the requests at full traffic that must have been answered well
)

// Judge decides the rollout of one order from the reports of all daemons. It is not safe for concurrent use.
type Judge struct {
	options   JudgeOptions
	daemons   map[core.MemberID]*daemon
	routes    map[string]*route
	closedAt  time.Time // end of the last interval
	phase     core.RolloutPhase
	reason    string
	share     float64
	fullSince time.Time     // since when share 1 is granted, zero if it is not
	fullFor   time.Duration // for which share 1 can be held
	fullSent  int64         // new requests at fullSince
	fullGood  int64
	heldUntil time.Time // before which the share does not rise again after a suspicion
}

// JudgeOptions are the facts that a Judge begins with.
type JudgeOptions struct {
	Order     core.RolloutOrder
	IssuedAt  time.Time // time at which the order was written, as far as known; the earliest possible one otherwise
	Bounds    Bounds
	Inherited bool // another daemon has decided before, and its evidence may be lost
}

// daemon is what a daemon reported last.
type daemon struct {
	report     Report
	seenAt     time.Time
	old        int // in progress
	oldSentAt  time.Time
	requests   int64
	oldSent    int64
	samples    []sample
	reportedAt int // reports since oldSentAt
}

type sample struct {
	at       time.Time
	requests int64
}

// route is the evidence on one route.
type route struct {
	sums     RouteTally // over all daemons
	closed   RouteTally // sums at the end of the last interval
	failures comparison
	times    comparison
}

// NewJudge returns a judge without evidence.
func NewJudge(options JudgeOptions) *Judge {
	return &Judge{options: options, daemons: map[core.MemberID]*daemon{}, routes: map[string]*route{}}
}

// Add takes the newest report of a daemon, and the streams and calls that it still has at targets of the old arm.
func (judge *Judge) Add(now time.Time, from core.MemberID, report Report, oldInProgress int) {
	known := judge.daemons[from]
	if known == nil {
		if len(judge.daemons) >= maxDaemons {
			return
		}
		known = &daemon{oldSentAt: now, seenAt: judge.options.IssuedAt}
		judge.daemons[from] = known
	} else if report.Sequence <= known.report.Sequence {
		return
	}
	late := now.Sub(known.seenAt) > reportGap
	var requests, oldSent int64
	for _, tally := range report.Routes {
		judge.addRoute(now, known.report.route(tally.Route), tally, late)
		requests += tally.Old.Sent + tally.New.Sent
		oldSent += tally.Old.Sent
	}
	known.reportedAt++
	if oldSent > known.oldSent {
		known.oldSentAt, known.reportedAt = now, 0
	}
	known.report, known.seenAt, known.old, known.requests, known.oldSent = report, now, oldInProgress, requests, oldSent
	known.samples = append(known.samples, sample{at: now, requests: requests})
	for len(known.samples) > 2 && now.Sub(known.samples[1].at) > rateWindow {
		known.samples = slices.Delete(known.samples, 0, 1)
	}
}

func (report Report) route(name string) RouteTally {
	for _, tally := range report.Routes {
		if tally.Route == name {
			return tally
		}
	}
	return RouteTally{}
}

// addRoute adds what a daemon has counted since its last report. The sums of a long time go into no interval: they are compared on their own,
// with wider tolerance, as the share of the new version and the trouble of both have changed meanwhile.
func (judge *Judge) addRoute(now time.Time, last, tally RouteTally, late bool) {
	known := judge.routes[tally.Route]
	if known == nil {
		if len(judge.routes) > maxRoutes {
			return
		}
		known = &route{}
		judge.routes[tally.Route] = known
	}
	span := RouteTally{Route: tally.Route, Old: tally.Old.minus(last.Old), New: tally.New.minus(last.New)}
	known.sums.add(span)
	if late {
		known.closed.add(span)
		judge.compare(now, known, span, gapOdds)
	}
}

// compare takes the counts of an interval into the evidence on a route.
func (judge *Judge) compare(now time.Time, route *route, span RouteTally, odds float64) {
	elapsed := float64(now.Sub(judge.options.IssuedAt)) / float64(max(judge.options.Order.Duration, 1))
	failures, times := failureLimits, slownessLimits
	failures.odds *= odds
	times.odds *= odds
	bucket, known := route.slowBucket()
	route.failures.observe(elapsed, counts{span.Old.Bad, span.Old.Good, span.New.Bad, span.New.Good}, failures)
	if cold := min(time.Duration(coldShare*float64(judge.options.Order.Duration)), maxCold); known && now.Sub(judge.options.IssuedAt) >= cold {
		counts := counts{span.Old.slow(bucket), span.Old.fast(bucket), span.New.slow(bucket), span.New.fast(bucket)}
		route.times.observe(elapsed, counts.positive(), times)
	}
}

// positive returns the counts without negative ones, which an abandoned request that was slow before leaves.
func (counts counts) positive() counts {
	counts.oldHits, counts.newHits = max(counts.oldHits, 0), max(counts.newHits, 0)
	return counts
}

// slowBucket returns the bucket from which on a request is slow, and whether enough is known of the old version.
func (route *route) slowBucket() (int, bool) {
	times := route.closed.Old.Times
	answered := total(times, 0)
	if answered < minOldTimes {
		return 0, false
	}
	bucket := 0
	for float64(answered-total(times, bucket+1)) < slowQuantile*float64(answered) {
		bucket++
	}
	return min(bucket+slowBuckets, timeBuckets-1), true
}

// closeInterval compares the responses since the last interval if they are enough.
func (judge *Judge) closeInterval(now time.Time) {
	length := now.Sub(judge.closedAt)
	if length < minInterval {
		return
	}
	var compared int64
	for _, route := range judge.routes {
		compared += route.sums.answered() - route.closed.answered()
	}
	if compared < minCompared && length < maxInterval {
		return
	}
	for _, route := range judge.routes {
		span := RouteTally{Old: route.sums.Old.minus(route.closed.Old), New: route.sums.New.minus(route.closed.New)}
		judge.compare(now, route, span, 1)
		route.closed = RouteTally{Old: route.sums.Old.clone(), New: route.sums.New.clone()}
	}
	judge.closedAt = now
}

func (tally RouteTally) answered() int64 {
	return tally.Old.Good + tally.Old.Bad + tally.New.Good + tally.New.Bad
}

// Fleet is what the deciding daemon knows about the others.
type Fleet struct {
	Daemons    []core.MemberID // daemons in touch; all must report before the order can succeed
	NewTargets int             // usable targets of the new version
	OldTargets int
	Unstable   bool // the store or the network is disturbed, so that failures say less about the versions
}

// Decision is the outcome of a judgement.
type Decision struct {
	Grant
	Reason string // for logs: the route and the figure that decided
}

// Decide returns the present decision; RolloutSucceeded and RolloutRolledBack are final.
func (judge *Judge) Decide(now time.Time, fleet Fleet) Decision {
	if judge.phase == core.RolloutRunning {
		judge.closeInterval(now)
		judge.decide(now, fleet)
	}
	grant := Grant{Phase: judge.phase, Bounds: judge.options.Bounds, Daemons: max(len(judge.daemons), len(fleet.Daemons))}
	switch judge.phase {
	case core.RolloutSucceeded:
		grant.Share, grant.For = 1, grantFor
	case core.RolloutRunning:
		grant.Share, grant.For = judge.share, grantFor
	}
	return Decision{Grant: grant, Reason: judge.reason}
}

func (judge *Judge) decide(now time.Time, fleet Fleet) {
	if fault := judge.fault(fleet); fault != "" {
		judge.phase, judge.share, judge.reason = core.RolloutRolledBack, 0, fault
		return
	}
	missing := judge.missing(now, fleet)
	if missing == "" {
		judge.phase, judge.share = core.RolloutSucceeded, 1
		judge.reason = fmt.Sprintf("no fault in %d good responses", judge.newTotals().Good)
		return
	}
	order := judge.options.Order
	if limit := judge.options.IssuedAt.Add(time.Duration(lastDecision * float64(order.Duration))); !now.Before(limit) {
		judge.phase, judge.share = core.RolloutRolledBack, 0
		judge.reason = fmt.Sprintf("time limit of %v: %s; the old version is the safer one", order.Duration, missing)
		return
	}
	judge.setShare(now, fleet)
}

// fault returns the route and the figure that show that the new version is bad, or nothing.
func (judge *Judge) fault(fleet Fleet) string {
	needed := float64(testsPerRoute*max(len(judge.routes), 1)) / falseAlarms
	for name, route := range judge.routes {
		for _, test := range route.tests() {
			enough := test.evidence() >= needed
			if fleet.Unstable {
				enough = test.evidence() >= needed*unstableFactor && test.mostly.value() >= needed
			}
			if test == &route.failures && test.alone.value() >= needed*aloneFactor && test.mostly.value() >= needed*aloneFactor {
				enough = true
			}
			if enough {
				return fmt.Sprintf("route %q: %s, evidence %.3g of %.3g", name, route.describe(test), max(test.evidence(), test.alone.value()), needed)
			}
		}
	}
	return ""
}

func (route *route) tests() []*comparison { return []*comparison{&route.failures, &route.times} }

func (route *route) describe(test *comparison) string {
	if test == &route.failures {
		old, changed := route.sums.Old, route.sums.New
		return fmt.Sprintf("%d of %d responses failed, before %d of %d", changed.Bad, changed.Bad+changed.Good, old.Bad, old.Bad+old.Good)
	}
	bucket, _ := route.slowBucket()
	old, changed := route.sums.Old, route.sums.New
	return fmt.Sprintf("%d of %d requests took over %v, before %d of %d", changed.slow(bucket), changed.slow(bucket)+changed.fast(bucket),
		lowerBound(bucket).Round(time.Millisecond), old.slow(bucket), old.slow(bucket)+old.fast(bucket))
}

// suspect returns the route that may be at fault, or nothing.
func (judge *Judge) suspect() string {
	for name, route := range judge.routes {
		for _, test := range route.tests() {
			if max(test.evidence(), min(test.alone.value(), test.share.value())) >= suspicion {
				return fmt.Sprintf("route %q: %s", name, route.describe(test))
			}
		}
	}
	return ""
}

func (judge *Judge) newTotals() Tally {
	var totals Tally
	for _, route := range judge.routes {
		totals.add(route.sums.New, 1)
	}
	return totals
}

// missing returns what the order lacks for success, or nothing.
func (judge *Judge) missing(now time.Time, fleet Fleet) string {
	totals := judge.newTotals()
	switch {
	case fleet.NewTargets == 0:
		return "no usable target of the new version"
	case totals.Good < minGood:
		return fmt.Sprintf("only %d good responses of the new version", totals.Good)
	case judge.fullSince.IsZero():
		return "no full traffic yet"
	case now.Before(judge.successAt()):
		return "full traffic has just begun"
	case float64(totals.Good-judge.fullGood) < minFullAnswered*float64(totals.Sent-judge.fullSent) || totals.Good == judge.fullGood:
		return fmt.Sprintf("%d of %d requests at full traffic answered", totals.Good-judge.fullGood, totals.Sent-judge.fullSent)
	}
	if suspect := judge.suspect(); suspect != "" {
		return suspect
	}
	var requests int64
	for _, route := range judge.routes {
		requests += route.sums.Old.Sent + route.sums.New.Sent
	}
	for name, route := range judge.routes {
		if 10*(route.sums.Old.Sent+route.sums.New.Sent) >= requests && route.sums.New.Good < minRouteGood {
			return fmt.Sprintf("route %q: only %d good responses of the new version", name, route.sums.New.Good)
		}
	}
	for _, name := range fleet.Daemons {
		known := judge.daemons[name]
		switch {
		case known == nil || known.seenAt.Before(judge.fullSince.Add(settleTime)):
			return fmt.Sprintf("no report of %s since full traffic", name)
		case known.old > 0:
			return fmt.Sprintf("%d requests in progress at the old version from %s", known.old, name)
		case known.reportedAt < 1 || known.seenAt.Sub(known.oldSentAt) < settleTime:
			return fmt.Sprintf("%s still sends to the old version", name)
		}
	}
	return ""
}
