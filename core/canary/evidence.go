package canary

import "math"

// oddsRatios are the alternatives that an e-process bets on, as multiples of the odds that it tolerates.
var oddsRatios = [...]float64{2, 5, 15, 50, 200}

const (
	earlyMass = 0.5 // part of the bets on faults that exist from the beginning
	maxGain   = 300 // natural logarithm of the greatest wealth, which keeps it finite
)

// process is an e-process: as long as its hypothesis holds, its value exceeds x at any time with a probability of at most 1/x, however often
// it is read. It is a mixture over the odds and over the time at which the fault begins, so that a long good time does not hide a later fault.
type process struct {
	wealth  [len(oddsRatios)]float64
	started float64 // part of the mass that has been bet; the rest waits for faults that begin later
}

// start bets the mass of the faults that begin up to a part of the time limit.
func (process *process) start(elapsed float64) {
	mass := min(max(earlyMass+(1-earlyMass)*elapsed, process.started), 1)
	for i := range process.wealth {
		process.wealth[i] += mass - process.started
	}
	process.started = mass
}

// observe takes hits and misses, of which each is a hit with the given probability at most if the hypothesis holds.
func (process *process) observe(hits, misses int64, probability float64) {
	if hits+misses <= 0 || probability <= 0 || probability >= 1 {
		return
	}
	for i, ratio := range oddsRatios {
		other := ratio * probability / (ratio*probability + 1 - probability)
		gain := float64(hits)*math.Log(other/probability) + float64(misses)*math.Log((1-other)/(1-probability))
		process.wealth[i] = min(process.wealth[i]*math.Exp(min(max(gain, -maxGain), maxGain)), math.Exp(maxGain))
	}
}

func (process *process) value() float64 {
	var sum float64
	for _, wealth := range process.wealth {
		sum += wealth
	}
	return sum/float64(len(oddsRatios)) + 1 - process.started
}

// limits say which difference between the versions counts as a fault.
type limits struct {
	odds     float64 // of the new version to the old one in the same interval that are tolerated
	share    float64 // of the new version's requests that is tolerated
	alone    float64 // the same without requests of the old version beside it
	multiple float64 // of the old version's share before, when there is none beside it
}

var (
	failureLimits = limits{odds: 1.5, share: 0.01, alone: 0.03, multiple: 3}
	// A part of slow requests comes from slow or cold targets, which either version can have; a slower version shows in most requests.
	slownessLimits = limits{odds: 3, share: 0.25, alone: 0.33, multiple: 3}
)

const (
	mostly       = 0.5  // share of hits that counts as nearly all, the only kind of fault that a disturbed network cannot bring about
	minOldShare  = 0.05 // of the responses of an interval without which nothing of the old version is beside the new one
	priorSamples = 20   // weight of the assumption that the old version has no hits
)

// counts are the requests of an interval that hit (failed, or were slow) and missed.
type counts struct {
	oldHits, oldMisses, newHits, newMisses int64
}

// comparison tests whether the new version hits more often than the old one.
type comparison struct {
	against  process // the odds beside the old version, in the same intervals
	alone    process // the share of hits in intervals without the old version
	share    process // the share of hits of the new version
	mostly   process
	oldHits  int64
	oldTotal int64
}

// observe takes the counts of an interval, in which both versions had the same trouble. If the versions are alike, each hit is the new version's with
// its share of the responses as probability (conditional test of two proportions). A bet is a convex function of the hits, so that drawing without
// replacement keeps it fair. Only a route that has moved is judged without the old version beside.
func (comparison *comparison) observe(elapsed float64, counts counts, limits limits, moved bool) {
	for _, process := range []*process{&comparison.against, &comparison.share, &comparison.mostly} {
		process.start(elapsed)
	}
	comparison.alone.start(1)
	oldTotal, newTotal := float64(counts.oldHits+counts.oldMisses), float64(counts.newHits+counts.newMisses)
	if newTotal > 0 {
		if oldTotal >= minOldShare*(oldTotal+newTotal) {
			comparison.against.observe(counts.newHits, counts.oldHits, limits.odds*newTotal/(limits.odds*newTotal+oldTotal))
		} else if moved {
			before := float64(comparison.oldHits) / float64(comparison.oldTotal+priorSamples)
			comparison.alone.observe(counts.newHits, counts.newMisses, min(max(limits.alone, limits.multiple*before), 1))
		}
		comparison.share.observe(counts.newHits, counts.newMisses, limits.share)
		comparison.mostly.observe(counts.newHits, counts.newMisses, mostly)
	}
	comparison.oldHits += counts.oldHits
	comparison.oldTotal += counts.oldHits + counts.oldMisses
}

// evidence returns the evidence that the new version is worse: it hits more often than the old one beside it, and by a share that matters.
func (comparison *comparison) evidence() float64 {
	return min(comparison.against.value(), comparison.share.value())
}

const (
	toleratedRatio = 1.6  // of the times of the new version to the old one's
	minSpread      = 0.4  // least standard deviation of the logarithms that is assumed, as times of a few requests show too little of it
	minWeight      = 2    // requests below which times say nothing
	recentPart     = 0.05 // weight of an interval in the recent mean of the old version
)

// slowdown compares the mean logarithms of the times, interval by interval. It has more power than slow counts, without a guarantee for any number of looks: it
// decides only whether the version may succeed.
type slowdown struct {
	excess  float64 // weighted sum of the differences beyond the tolerated one, in standard deviations
	weight  float64
	oldMean float64 // recent mean of the old version
	known   bool
}

// observe takes the times of an interval in natural logarithms, of which the old version's have a standard deviation.
func (slowdown *slowdown) observe(spread, oldSum float64, oldCount int64, newSum float64, newCount int64) {
	if oldCount > 0 {
		mean := oldSum / float64(oldCount)
		if !slowdown.known {
			slowdown.oldMean, slowdown.known = mean, true
		}
		part := 1 - math.Pow(1-recentPart, float64(oldCount))
		slowdown.oldMean += part * (mean - slowdown.oldMean)
	}
	if !slowdown.known {
		return
	}
	mean, weight := slowdown.oldMean, 1.0
	if oldCount > 0 && float64(oldCount) >= minOldShare*float64(newCount) {
		mean = oldSum / float64(oldCount)
		weight = float64(oldCount) / float64(newCount+oldCount)
	}
	slowdown.excess += weight * (newSum - float64(newCount)*(mean+math.Log(toleratedRatio))) / max(spread, minSpread)
	slowdown.weight += weight * float64(newCount)
}

// deviations returns by how many standard deviations the new version is slower than tolerated.
func (slowdown *slowdown) deviations() float64 {
	return slowdown.excess / math.Sqrt(max(slowdown.weight, minWeight))
}

// add adds the differences of another route.
func (slowdown *slowdown) add(other slowdown) {
	slowdown.excess += other.excess
	slowdown.weight += other.weight
}

// tail returns the probability of at least a number of hits, each with the given probability.
func tail(hits, trials int64, probability float64) float64 {
	if hits <= 0 {
		return 1
	}
	term, below := math.Pow(1-probability, float64(trials)), 0.0
	for i := range hits {
		below += term
		term *= float64(trials-i) / float64(i+1) * probability / (1 - probability)
	}
	return max(1-below, 0)
}
