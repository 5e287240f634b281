package canary

import "time"

// The times are parts of the time limit, the costs parts of what the bounds allow; docs/design/rollouts.md derives them.
const (
	planEnd       = 0.88  // time at which the bounds may be used up
	lastSuccess   = 0.895 // time after which no order succeeds; it is rolled back then, so that all daemons know it by the time limit
	planned       = 0.97  // part of the bounds that the plan uses, so that a daemon with a little more than its part still sends nothing to the old version
	spare         = 2     // requests that the plan leaves to each daemon for the same reason
	lowCost       = 0.08  // cost of the long first step
	stepTime      = 0.08  // duration of the steps at a quarter and at a half, in durations of full traffic that the bounds allow
	quarter       = 0.25
	half          = 0.5
	meanwhile     = 0.1   // share of the routes that have not moved yet while others have
	minShare      = 0.005 // below it, a fault at once shows too late
	maxMoveTime   = 0.4   // greatest part of the time limit for which routes move ahead, at a load so low that the bounds would allow more
	stragglers    = 0.03  // expected requests of a moved route that are still in progress at the old version when it counts as empty
	minLeft       = 0.2   // seconds of full traffic that the bounds still allow below which an order succeeds earlier than planned
	minFull       = 250 * time.Millisecond
	moveTime      = 230 * time.Millisecond // of messages, from the decision that a route moves until reports show that nothing new goes to the old version
	moveReports   = 2                      // intervals of reports that this takes besides
	grantFor      = time.Second            // a daemon that is cut off stops well within the roll-back time of 5 s
	bisectionStep = 30
)

// ramp is the progress of an order: a long low share, a quarter, a half, and then all routes, those first whose requests take the longest to end at the old version.
type ramp struct {
	share        float64
	quarterSince time.Time
	halfSince    time.Time
	moving       bool
	moved        []string
	fullSince    time.Time // since when share 1 is granted, zero if it is not
	successAt    time.Time // earliest success
	fullSent     int64     // new requests at fullSince
	fullGood     int64
	left         float64 // seconds of full traffic that the bounds have room for
}

// setShare sets the share by what is left of the bounds and of the time.
func (judge *Judge) setShare(now time.Time, fleet Fleet) {
	ramp := &judge.ramp
	duration := judge.options.Order.Duration
	if fleet.NewTargets == 0 {
		ramp.stop(0)
		return
	}
	suspect := judge.suspect()
	end := judge.options.IssuedAt.Add(time.Duration(planEnd * float64(duration)))
	left, whole, rate := judge.budget(end, fleet)
	ramp.left = left
	if !ramp.fullSince.IsZero() {
		if left < minLeft {
			ramp.successAt = ramp.fullSince.Add(minFull)
		}
		return
	}
	untilEnd, step := end.Sub(now).Seconds(), stepTime*whole
	if rate == 0 {
		ramp.stop(minShare)
		return
	}
	reserved := 0.0 // for the steps that are still to come
	if !ramp.moving {
		reserved = quarter*timeLeft(now, ramp.quarterSince, step) + half*timeLeft(now, ramp.halfSince, step)
	}
	moves := judge.moveTimes(left-reserved, maxMoveTime*duration.Seconds())
	longest := 0.0
	for _, move := range moves {
		longest = max(longest, move)
	}
	switch {
	case suspect != "" && !ramp.moving: // more evidence first, at a share that leaves room for full traffic
		judge.reason = "held: " + suspect
		ramp.stop(minShare)
		if left > half*whole {
			ramp.share = quarter
		}
	case !ramp.moving && untilEnd > longest+2*step:
		cost := max(lowCost*whole, whole-2*maxMoveTime*duration.Seconds()) // at a low load, most of the bounds are not needed later
		ramp.stop(min(max((cost-(whole-left))/max(untilEnd-longest-2*step, 1), minShare), quarter))
	case ramp.quarterSince.IsZero() || now.Sub(ramp.quarterSince).Seconds() < step:
		ramp.share = quarter
		if ramp.quarterSince.IsZero() {
			ramp.quarterSince = now
		}
	case !ramp.moving && (ramp.halfSince.IsZero() || now.Sub(ramp.halfSince).Seconds() < step):
		ramp.share = half
		if ramp.halfSince.IsZero() {
			ramp.halfSince = now
		}
	default:
		ramp.moving, ramp.share = true, meanwhile
		judge.move(now, end, moves)
	}
}

// timeLeft returns the seconds of a step that are left.
func timeLeft(now, since time.Time, step float64) float64 {
	if since.IsZero() {
		return step
	}
	return max(step-now.Sub(since).Seconds(), 0)
}

// stop sets a low share, from which the steps begin anew.
func (ramp *ramp) stop(share float64) {
	ramp.share, ramp.moved, ramp.moving = share, nil, false
	ramp.quarterSince, ramp.halfSince, ramp.fullSince = time.Time{}, time.Time{}, time.Time{}
}

// move moves the routes whose time has come, and all traffic with the last of them.
func (judge *Judge) move(now, end time.Time, moves map[string]float64) {
	ramp := &judge.ramp
	var moved []string
	for _, name := range judge.routeNames() {
		if end.Sub(now).Seconds() <= moves[name] {
			moved = append(moved, name)
		}
	}
	for _, name := range ramp.moved {
		if _, found := moves[name]; found && end.Sub(now).Seconds() > moves[name] {
			moved = append(moved, name)
		}
	}
	ramp.moved = moved
	if len(moved) < len(judge.routes) {
		return
	}
	totals := judge.newTotals()
	ramp.share, ramp.moved, ramp.fullSince, ramp.fullSent, ramp.fullGood = 1, nil, now, totals.Sent, totals.Good
	ramp.successAt = later(end, now.Add(minFull))
	for _, route := range judge.routes {
		route.atFull = route.sums.New.clone()
		route.full = slowdown{oldMean: route.total.oldMean, known: route.total.known}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// moveTimes returns how many seconds before the end of the plan each route moves so that its requests have ended at the old version by then, and all routes
// together use up the given seconds of full traffic, if these suffice for it, or nearly so otherwise. The others have a small share meanwhile.
func (judge *Judge) moveTimes(left, most float64) map[string]float64 {
	var all float64
	for _, route := range judge.routes {
		all += float64(route.sums.Old.Sent + route.sums.New.Sent)
	}
	move := (moveTime + moveReports*judge.reportInterval()).Seconds()
	drains, moves := map[string]float64{}, map[string]float64{}
	for name, route := range judge.routes {
		drains[name] = judge.drainTime(route).Seconds()
	}
	low, high := -1.0, most // below 0 the part of the drain times that is left out, above it the seconds beyond them
	for range bisectionStep {
		extra, longest, cost := (low+high)/2, 0.0, 0.0
		for name, drain := range drains {
			moves[name] = min(move+drain*(1+min(extra, 0))+max(extra, 0), most)
			longest = max(longest, moves[name])
		}
		for name, route := range judge.routes {
			share := float64(route.sums.Old.Sent+route.sums.New.Sent) / max(all, 1)
			cost += share * (moves[name] + meanwhile*(longest-moves[name]))
		}
		if cost > left {
			high = extra
		} else {
			low = extra
		}
	}
	return moves
}

// drainTime returns the time after which nearly all requests of a route have ended at the old version once it has moved.
func (judge *Judge) drainTime(route *route) time.Duration {
	held := route.sums.Old.Held
	if total(held, 0) == 0 {
		held = route.sums.Old.Times
	}
	rate := float64(route.sums.Old.Sent) / max(judge.closedAt.Sub(judge.options.IssuedAt).Seconds(), 1)
	all := max(float64(total(held, 0)), 1)
	left, longer := 0.0, 0.0 // requests in progress after the lower bound of a bucket, and the part of requests that take longer
	bucket := len(held) - 1
	for ; bucket > 0; bucket-- {
		part := float64(held[bucket]) / all
		left += rate * (longer + part/2) * (lowerBound(bucket+1) - lowerBound(bucket)).Seconds()
		longer += part
		if left > stragglers {
			break
		}
	}
	return lowerBound(bucket + 1)
}

// budget returns for how many seconds of full traffic the bounds will have room at a time, by the daemon with the least of it; how many there would be
// without any request before; and the requests per second.
func (judge *Judge) budget(end time.Time, fleet Fleet) (left, whole, rate float64) {
	grant := Grant{Share: 1, Bounds: judge.options.Bounds, Daemons: max(len(judge.daemons), len(fleet.Daemons))}
	first := true
	var limits, sent float64
	for _, name := range fleet.Daemons {
		known := judge.daemons[name]
		if known == nil {
			continue
		}
		daemonRate := known.rate()
		if daemonRate <= 0 {
			continue
		}
		rate += daemonRate
		limits += planned * grant.limit(known.requests+int64(daemonRate*max(end.Sub(known.seenAt), 0).Seconds()))
		sent += float64(known.requests - known.oldSent)
		limit := planned*grant.limit(known.requests+int64(daemonRate*max(end.Sub(known.seenAt), 0).Seconds())) - spare
		room := (limit - float64(known.requests-known.oldSent)) / daemonRate
		if first || room < left {
			left, whole, first = room, limit/daemonRate, false
		}
	}
	if isPooled(fleet) && rate > 0 {
		return (limits-sent)/rate - pooledSpare, limits/rate - pooledSpare, rate
	}
	return left, whole, rate
}

// reportInterval returns the mean time between two reports of a daemon.
func (judge *Judge) reportInterval() time.Duration {
	var elapsed time.Duration
	reports := 0
	for _, daemon := range judge.daemons {
		reports += len(daemon.samples) - 1
		elapsed += daemon.samples[len(daemon.samples)-1].at.Sub(daemon.samples[0].at)
	}
	return elapsed / time.Duration(max(reports, 1))
}

// rate returns the requests per second of a daemon.
func (daemon *daemon) rate() float64 {
	first, last := daemon.samples[0], daemon.samples[len(daemon.samples)-1]
	if elapsed := last.at.Sub(first.at).Seconds(); elapsed > 0 {
		return float64(last.requests-first.requests) / elapsed
	}
	return 0
}
