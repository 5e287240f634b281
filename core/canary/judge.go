package canary

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"catkincove/core"
)

const (
	falseAlarms     = 0.001                  // probability that a version like the old one is rolled back, over all routes and looks of an order
	testsPerRoute   = 2                      // failures and times
	unstableFactor  = 1000                   // evidence in a disturbed fleet, by that in a calm one
	maxBad          = 40                     // bad responses, before the 50th, from which on the share of failures need not matter
	suspicion       = 10                     // evidence at which the share stops to rise
	minInterval     = 200 * time.Millisecond // of responses that are compared with each other
	maxInterval     = time.Second
	minCompared     = 20                     // responses of a full interval
	reportGap       = 2 * time.Second        // a report after a longer gap spans several shares and troubles
	gapOdds         = 4                      // odds that the spans of such reports add
	minOldTimes     = 10                     // responses that show how long the old version takes
	slowQuantile    = 0.8                    // of the old version's times
	slowBuckets     = 2                      // buckets beyond the quantile from which a response is slow: 1.2 to 1.44 times as long
	coldShare       = 0.15                   // of the time limit in which times do not count: new targets start cold
	maxCold         = 3 * time.Second        // targets are warm after some seconds, however long the order
	coldRequests    = 3                      // of each new target whose times do not count either
	maxColdShare    = 0.5                    // of the time limit after which all times count
	maxDaemons      = 1024                   // daemons whose reports are kept, restarts included
	rateWindow      = 2 * time.Second        // over which the rate of requests is taken
	minGood         = 10                     // good responses without which no version succeeds
	minRouteGood    = 3                      // of each route with a tenth of the requests
	settleTime      = 200 * time.Millisecond // without new requests to the old arm before a daemon counts as moved
	minFullAnswered = 0.4                    // part of the requests at full traffic that must have been answered well
	maxDeviations   = 1.7                    // of the times, beyond which the version does not succeed
	minFailures     = 0.005                  // share of failures that no comparison with a few old responses shows
	slowShare       = 0.2                    // of requests at full traffic that is tolerated
	chance          = 0.004                  // probability of as many failures below which the version does not succeed
	recentTimes     = 0.03                   // part of the time limit over which recent times are compared
)

// Judge decides the rollout of one order from the reports of all daemons. It is not safe for concurrent use.
type Judge struct {
	options    JudgeOptions
	daemons    map[core.MemberID]*daemon
	routes     map[string]*route
	closedAt   time.Time // end of the last interval
	phase      core.RolloutPhase
	reason     string
	all        evidence // on all routes together
	ramp       ramp
	newTargets int
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
	evidence
	sums   RouteTally // over all daemons
	closed RouteTally // sums at the end of the last interval
	atFull Tally      // of the new version when full traffic began
}

// evidence is what is known of a difference between the versions.
type evidence struct {
	failures, times comparison
	total, recent   slowdown
	full            slowdown // since full traffic began
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
	moved := !judge.ramp.fullSince.IsZero() || slices.Contains(judge.ramp.moved, span.Route)
	failed := counts{span.Old.Bad, span.Old.Good, span.New.Bad, span.New.Good}
	bucket, known := route.slowBucket()
	known = known && !judge.isCold(now)
	for _, evidence := range []*evidence{&route.evidence, &judge.all} {
		evidence.failures.observe(elapsed, failed, failures, moved)
		if !known {
			continue
		}
		slow := counts{span.Old.slow(bucket), span.Old.fast(bucket), span.New.slow(bucket), span.New.fast(bucket)}
		evidence.times.observe(elapsed, slow.positive(), times, moved)
	}
	if known {
		oldSum, oldCount := span.Old.logarithms(bucket)
		newSum, newCount := span.New.logarithms(bucket)
		spread := route.closed.Old.spread()
		for _, slowdown := range []*slowdown{&route.total, &route.recent, &route.full} {
			slowdown.observe(spread, oldSum, oldCount, newSum, newCount)
		}
	}
}

// isCold reports whether the new targets may still be slow because they have just started.
func (judge *Judge) isCold(now time.Time) bool {
	since, duration := now.Sub(judge.options.IssuedAt), float64(judge.options.Order.Duration)
	if since < min(time.Duration(coldShare*duration), maxCold) {
		return true
	}
	return since < time.Duration(maxColdShare*duration) && judge.newTotals().Good < int64(coldRequests*judge.newTargets)
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
	if compared < minCompared && length < maxInterval && judge.ramp.fullSince.IsZero() {
		return
	}
	fade := math.Exp(-float64(length) / (recentTimes * float64(judge.options.Order.Duration)))
	for _, name := range judge.routeNames() {
		route := judge.routes[name]
		route.recent.excess *= fade
		route.recent.weight *= fade
		span := RouteTally{Route: name, Old: route.sums.Old.minus(route.closed.Old), New: route.sums.New.minus(route.closed.New)}
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
		judge.newTargets = fleet.NewTargets
		judge.closeInterval(now)
		judge.decide(now, fleet)
	}
	grant := Grant{Sequence: now.UnixNano(), Phase: judge.phase, Bounds: judge.options.Bounds, Daemons: max(len(judge.daemons), len(fleet.Daemons))}
	switch judge.phase {
	case core.RolloutSucceeded:
		grant.Share, grant.For = 1, grantFor
	case core.RolloutRunning:
		grant.Share, grant.For, grant.Moved = judge.ramp.share, grantFor, judge.ramp.moved
	}
	return Decision{Grant: judge.pool(grant, fleet), Reason: judge.reason}
}

func (judge *Judge) decide(now time.Time, fleet Fleet) {
	if fault := judge.fault(fleet); fault != "" {
		judge.phase, judge.reason = core.RolloutRolledBack, fault
		return
	}
	missing := judge.missing(now, fleet)
	if missing == "" {
		judge.phase = core.RolloutSucceeded
		judge.reason = fmt.Sprintf("no fault in %d good responses", judge.newTotals().Good)
		return
	}
	judge.reason = missing
	order := judge.options.Order
	if limit := judge.options.IssuedAt.Add(time.Duration(lastSuccess * float64(order.Duration))); !now.Before(limit) {
		judge.phase = core.RolloutRolledBack
		judge.reason = fmt.Sprintf("time limit of %v: %s; the old version is the safer one", order.Duration, missing)
		return
	}
	judge.setShare(now, fleet)
}

// fault returns the route and the figure that show that the new version is bad, or nothing.
func (judge *Judge) fault(fleet Fleet) string {
	needed := float64(testsPerRoute*(len(judge.routes)+1)) / falseAlarms
	manyBad := judge.newTotals().Bad >= maxBad
	for name, evidence := range judge.evidence() {
		for _, test := range []*comparison{&evidence.failures, &evidence.times} {
			figure := test.evidence()
			if test == &evidence.failures {
				figure = max(figure, test.alone.value())
				if manyBad {
					figure = max(figure, test.against.value())
				}
			}
			enough := figure >= needed
			if fleet.Unstable {
				enough = figure >= needed*unstableFactor && test.mostly.value() >= needed
			}
			if enough {
				return fmt.Sprintf("%s: %s, evidence %.3g of %.3g", name, judge.describe(name, test == &evidence.failures), figure, needed)
			}
		}
	}
	return ""
}

func (judge *Judge) routeNames() []string { return slices.Sorted(maps.Keys(judge.routes)) }

// evidence returns the evidence on each route and on all together, with names for logs.
func (judge *Judge) evidence() iter.Seq2[string, *evidence] {
	return func(yield func(string, *evidence) bool) {
		for _, name := range judge.routeNames() {
			if !yield(name, &judge.routes[name].evidence) {
				return
			}
		}
		yield(allRoutes, &judge.all)
	}
}

// allRoutes names all routes together in logs.
const allRoutes = "all routes"

func (judge *Judge) describe(name string, failures bool) string {
	var counts counts
	for other, route := range judge.routes {
		if name != other && name != allRoutes {
			continue
		}
		bucket, _ := route.slowBucket()
		if old, changed := route.sums.Old, route.sums.New; failures {
			counts.add(old.Bad, old.Good, changed.Bad, changed.Good)
		} else {
			counts.add(old.slow(bucket), old.fast(bucket), changed.slow(bucket), changed.fast(bucket))
		}
	}
	verb := "were slow"
	if failures {
		verb = "failed"
	}
	return fmt.Sprintf("%d of %d requests %s, at the old version %d of %d", counts.newHits, counts.newHits+counts.newMisses, verb,
		counts.oldHits, counts.oldHits+counts.oldMisses)
}

func (counts *counts) add(oldHits, oldMisses, newHits, newMisses int64) {
	counts.oldHits += oldHits
	counts.oldMisses += oldMisses
	counts.newHits += newHits
	counts.newMisses += newMisses
}

// suspect returns the route and the figure that speak against success, or nothing.
func (judge *Judge) suspect() string {
	for name, evidence := range judge.evidence() {
		for _, test := range []*comparison{&evidence.failures, &evidence.times} {
			if max(test.evidence(), test.alone.value()) >= suspicion {
				return fmt.Sprintf("%s: %s", name, judge.describe(name, test == &evidence.failures))
			}
		}
	}
	return ""
}

// doubt returns the route and the figure by which a version without a proven fault is still worse than may be chance, or nothing.
func (judge *Judge) doubt() string {
	var all route
	var slow, fast int64 // of the new version at full traffic
	for _, name := range judge.routeNames() {
		route := judge.routes[name]
		doubt := route.doubt()
		if bucket, known := route.slowBucket(); known {
			full := route.sums.New.minus(route.atFull)
			doubt = cmp.Or(doubt, slowDoubt(full.slow(bucket), full.fast(bucket)))
			slow += full.slow(bucket)
			fast += full.fast(bucket)
		}
		if doubt != "" {
			return fmt.Sprintf("route %q: %s", name, doubt)
		}
		all.sums.add(route.sums)
		all.atFull.add(route.atFull, 1)
		all.total.add(route.total)
		all.recent.add(route.recent)
		all.full.add(route.full)
	}
	if doubt := cmp.Or(all.doubt(), slowDoubt(slow, fast)); doubt != "" {
		return allRoutes + ": " + doubt
	}
	return ""
}

// doubt returns the figure by which the new version is slower, or fails more often than may be chance, since the order or at full traffic.
func (route *route) doubt() string {
	tolerated := max(minFailures, failureLimits.odds*float64(route.sums.Old.Bad)/float64(route.sums.Old.Bad+route.sums.Old.Good+1))
	for _, tally := range []Tally{route.sums.New, route.sums.New.minus(route.atFull)} {
		if responses := tally.Bad + tally.Good; tail(tally.Bad, responses, min(tolerated, mostly)) < chance {
			return fmt.Sprintf("%d of %d responses of the new version failed", tally.Bad, responses)
		}
	}
	if deviations := max(route.total.deviations(), route.recent.deviations(), route.full.deviations()); deviations > maxDeviations {
		return fmt.Sprintf("slower by %.1f standard deviations", deviations)
	}
	return ""
}

// slowDoubt returns the figure by which the new version has more slow requests at full traffic than may be chance, or nothing.
func slowDoubt(slow, fast int64) string {
	if tail(max(slow, 0), max(slow, 0)+fast, slowShare) < chance {
		return fmt.Sprintf("%d of %d requests at full traffic were slow", slow, slow+fast)
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
	case judge.ramp.fullSince.IsZero():
		return "no full traffic yet"
	case now.Before(judge.ramp.successAt):
		return "full traffic has just begun"
	}
	if answered, sent := totals.Good-judge.ramp.fullGood, totals.Sent-judge.ramp.fullSent; answered == 0 || float64(answered) < minFullAnswered*float64(sent) {
		return fmt.Sprintf("%d of %d requests at full traffic answered", answered, sent)
	}
	if worse := cmp.Or(judge.suspect(), judge.doubt()); worse != "" {
		return worse
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
		case known == nil || known.seenAt.Before(judge.ramp.fullSince.Add(settleTime)):
			return fmt.Sprintf("no report of %s since full traffic", name)
		case known.old > 0:
			return fmt.Sprintf("%d requests in progress at the old version from %s", known.old, name)
		case known.reportedAt < 1 || known.seenAt.Sub(known.oldSentAt) < settleTime:
			return fmt.Sprintf("%s still sends to the old version", name)
		}
	}
	return ""
}
