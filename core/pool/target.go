package pool

import (
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	// coldFactor is the ratio of a first-token time to the running median above which the target went cold.
	coldFactor = 4
	// minSamples is the number of first-token times from which their median is used.
	minSamples = 8
	// maxSamples is the number of first-token times kept for the median.
	maxSamples = 32
	// minColdFirstToken keeps the scheduling noise of fast targets from counting as a cold target.
	minColdFirstToken = 20 * time.Millisecond
	// externalWindow is the time after which a grant in transit has reached the target or may no longer be used.
	externalWindow = sendTimeout + 250*time.Millisecond
	// reportSlack covers the transit of a load report, which its age does not include.
	reportSlack = 10 * time.Millisecond
	// maxReportFailures is the number of consecutive failed load reports after which a target is unusable.
	maxReportFailures = 3
)

// endedGrant is the period during which a returned grant was counted.
type endedGrant struct {
	grantedAt, endedAt time.Time
}

// externalEstimate is the external work that one load report showed.
type externalEstimate struct {
	reportedAt time.Time
	work       int
}

// target is the owner's state of one target.
type target struct {
	declared            config.Target
	slot                int32 // index in Dispatcher.slots
	detached            bool  // removed from the configuration
	capacity            int
	cold                int // cold limit
	limit               int
	warmAfter           int         // completions after a reset before the limit rises
	warmUpCompletions   int         // completions since the last reset, up to warmAfter
	completedSinceStep  int         // completions since the limit last rose
	unconfirmedEnds     []time.Time // when grants ended whose work the target may not have stopped yet
	grants              map[core.GrantID]*entry
	endedGrants         []endedGrant
	estimates           []externalEstimate
	external            int // largest of the estimates
	startID             string
	startIDSeen         time.Time
	awaitsFirstReport   bool // no usable load report since ownership began
	neverReset          bool // the limit was not reset since ownership began
	restored            LearnedLimit
	probed              bool // a load report was made after probeAfter
	probeAfter          time.Time
	lastReportedAt      time.Time
	reportFailures      int
	firstTokens         []time.Duration
	incident            *incident
	crashAttributed     bool // a crash was attributed before the new start ID was seen
	exclusive           bool // runs a request with an exclusive grant
	consecutiveFailures int  // failed requests since the last completed one
	ejected             bool // gets no work until ejectedUntil
	ejectedUntil        time.Time
	reservedFor         core.GrantID // suspect for which the target is kept free
	cache               cache
	freeSlots           int // freeSlots, effectiveLimit and usable are the target's part of the dispatcher's sums
	effectiveLimit      int
	usable              bool
}

func (target *target) setCapacity(service config.Service) {
	target.capacity = max(1, service.Capacity)
	target.cold = min(max(1, service.ColdLimit), target.capacity)
	target.warmAfter = service.WarmAfter
	target.limit = max(target.cold, min(target.limit, target.capacity))
}

// resetOwnership discards the state that belongs to one period of ownership.
func (target *target) resetOwnership(now time.Time) {
	clear(target.grants)
	target.endedGrants, target.estimates, target.unconfirmedEnds = nil, nil, nil
	target.external = 0
	target.exclusive, target.reservedFor = false, ""
	target.consecutiveFailures, target.ejected = 0, false
	target.incident = nil
	// A restart under another owner is not attributed to requests of this one.
	target.startID, target.startIDSeen, target.crashAttributed = "", time.Time{}, false
	target.firstTokens = nil
	target.requireProbe(now)
	target.resetLimit()
	target.awaitsFirstReport, target.neverReset = true, true
	target.restored = LearnedLimit{}
}

// seedLimit raises the limit to the running work in the first load report of a new owner.
//
// The former owner granted that work within its limit. Without this, a target that runs 32 requests of 3 s each would
// need 96 s after each change of owner to reach its full limit again.
func (target *target) seedLimit(running int) {
	if target.awaitsFirstReport {
		target.limit = max(target.limit, min(running, target.capacity))
	}
	target.awaitsFirstReport = false
}

func (target *target) resetLimit() {
	target.limit = target.cold
	target.completedSinceStep, target.warmUpCompletions = 0, 0
	target.awaitsFirstReport, target.neverReset = false, false
}

// requireProbe makes the target unusable until a load report that was made after now.
func (target *target) requireProbe(now time.Time) {
	target.probed = false
	target.probeAfter = now
}

func (target *target) isUsable() bool {
	return target.probed && !target.detached && target.declared.State == config.In
}

// computeFreeSlots returns how many more ordinary requests the limit permits.
func (target *target) computeFreeSlots() int {
	if target.exclusive || target.reservedFor != "" || target.ejected {
		return 0
	}
	return max(0, target.limit-len(target.grants)-len(target.unconfirmedEnds)-target.external)
}

func (target *target) isIdle() bool {
	return target.usable && !target.ejected && len(target.grants) == 0 && len(target.unconfirmedEnds) == 0 &&
		target.external == 0
}

// recordCompletion raises the limit by 1 after as many completions as the current limit, once the target is warm.
func (target *target) recordCompletion() {
	if target.warmUpCompletions < target.warmAfter {
		target.warmUpCompletions++
		return
	}
	target.completedSinceStep++
	if target.completedSinceStep < target.limit || target.limit >= target.capacity {
		return
	}
	target.limit++
	target.completedSinceStep = 0
}

// observeFirstToken adds a first-token time and reports whether it shows that the target went cold.
func (target *target) observeFirstToken(firstToken time.Duration) bool {
	if firstToken <= 0 {
		return false
	}
	median := target.medianFirstToken()
	cold := median > 0 && firstToken > coldFactor*median && firstToken > minColdFirstToken
	if len(target.firstTokens) == maxSamples {
		target.firstTokens = slices.Delete(target.firstTokens, 0, 1)
	}
	target.firstTokens = append(target.firstTokens, firstToken)
	return cold
}

func (target *target) medianFirstToken() time.Duration {
	if len(target.firstTokens) < minSamples {
		return 0
	}
	var sorted [maxSamples]time.Duration
	samples := sorted[:copy(sorted[:], target.firstTokens)]
	slices.Sort(samples)
	return samples[len(samples)/2]
}

// observeExternal derives the external work, which this owner did not grant, from a load report.
//
// A grant in transit is not yet part of the report and would hide external work, so the largest estimate of the last
// externalWindow counts.
func (target *target) observeExternal(reportedAt time.Time, running int) {
	work := max(0, running-target.ownGrantsAt(reportedAt))
	target.unconfirmedEnds = slices.DeleteFunc(target.unconfirmedEnds, func(endedAt time.Time) bool {
		return endedAt.Before(reportedAt)
	})
	target.estimates = append(target.estimates, externalEstimate{reportedAt, work})
	target.estimates = slices.DeleteFunc(target.estimates, func(estimate externalEstimate) bool {
		return reportedAt.Sub(estimate.reportedAt) > externalWindow
	})
	target.external = 0
	for _, estimate := range target.estimates {
		target.external = max(target.external, estimate.work)
	}
}

// ownGrantsAt returns the number of this owner's grants that a report made at the time may include.
func (target *target) ownGrantsAt(reportedAt time.Time) int {
	from := reportedAt.Add(-reportSlack)
	target.endedGrants = slices.DeleteFunc(target.endedGrants, func(ended endedGrant) bool {
		return ended.endedAt.Before(from)
	})
	own := 0
	for _, ended := range target.endedGrants {
		if !ended.grantedAt.After(reportedAt) {
			own++
		}
	}
	for _, entry := range target.grants {
		if !entry.grantedAt.After(reportedAt) {
			own++
		}
	}
	return own
}
