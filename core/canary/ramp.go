package canary

import (
	"time"
)

// The times are parts of the time limit, the costs parts of what the bounds allow; docs/design/rollouts.md derives them.
const (
	fullEnd      = 0.86 // time at which full traffic may have used up the bounds
	lastSuccess  = 0.89 // time after which no order succeeds
	lastDecision = 0.96 // time of the roll-back without evidence, so that all daemons know it by the time limit
	lowCost      = 0.12 // cost of the long first step
	quarterTime  = 0.2  // duration of the step at a quarter, in durations of full traffic that the bounds allow
	halfTime     = 0.2
	settledPart  = 0.65 // part of full traffic after which the order can succeed
	minShare     = 0.005
	maxLowShare  = 0.25
	holdTime     = time.Second             // without a rise after a suspicion
	grantFor     = 1000 * time.Millisecond // a daemon that is cut off stops well within the roll-back time of 5 s
)

// successAt returns the earliest time of success at full traffic.
func (judge *Judge) successAt() time.Time {
	return judge.fullSince.Add(time.Duration(settledPart * float64(judge.fullFor)))
}

// setShare sets the share by what is left of the bounds and of the time.
func (judge *Judge) setShare(now time.Time, fleet Fleet) {
	duration := float64(judge.options.Order.Duration)
	end := judge.options.IssuedAt.Add(time.Duration(fullEnd * duration))
	late := !now.Before(judge.options.IssuedAt.Add(time.Duration(lastSuccess * duration)))
	suspect := judge.suspect()
	judge.reason = suspect
	switch {
	case fleet.NewTargets == 0:
		judge.stopFull(0)
		judge.reason = "no usable target of the new version"
		return
	case late:
		judge.stopFull(0)
		judge.reason = "too late for success"
		return
	case suspect != "":
		judge.heldUntil = now.Add(holdTime)
	}
	left, whole, rate := judge.budget(now, end, fleet)
	untilEnd := end.Sub(now).Seconds()
	half, quarter := halfTime*whole, quarterTime*whole
	held := now.Before(judge.heldUntil)
	switch {
	case rate == 0:
		judge.stopFull(minShare)
	case !held && !judge.fullSince.IsZero():
	case !held && untilEnd <= left:
		totals := judge.newTotals()
		judge.share, judge.fullSince, judge.fullSent, judge.fullGood = 1, now, totals.Sent, totals.Good
		judge.fullFor = max(end.Sub(now), 0)
	case !held && untilEnd <= left+half/2:
		judge.stopFull(0.5)
	case !held && untilEnd <= left+half/2+quarter*3/4:
		judge.stopFull(0.25)
	default:
		time := max(untilEnd-left-half/2-quarter*3/4, 1)
		share := (lowCost*whole - (whole - left)) / time
		judge.stopFull(min(max(share, minShare), maxLowShare))
	}
}

func (judge *Judge) stopFull(share float64) { judge.share, judge.fullSince = share, time.Time{} }

// budget returns for how many seconds of full traffic the bounds will have room at a time, that is the least of all daemons; the whole of it
// before any request; and the requests per second.
func (judge *Judge) budget(now, end time.Time, fleet Fleet) (left, whole, rate float64) {
	grant := Grant{Share: 1, Bounds: judge.options.Bounds, Daemons: max(len(judge.daemons), len(fleet.Daemons))}
	first := true
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
		limit := grant.limit(known.requests + int64(daemonRate*end.Sub(known.seenAt).Seconds()))
		room := (limit - float64(known.requests-known.oldSent)) / daemonRate
		if first || room < left {
			left, whole, first = room, limit/daemonRate, false
		}
	}
	return left, whole, rate
}

// rate returns the requests per second of a daemon.
func (daemon *daemon) rate() float64 {
	first, last := daemon.samples[0], daemon.samples[len(daemon.samples)-1]
	if elapsed := last.at.Sub(first.at).Seconds(); elapsed > 0 {
		return float64(last.requests-first.requests) / elapsed
	}
	return 0
}
