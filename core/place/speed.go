package place

import (
	"math"
	"slices"
	"time"
)

const (
	speedSamples       = 9           // newest prefills whose median is the speed of an engine: few of them fall into moments in which it is slow
	minSpeedSamples    = 9           // prefills after which the speed of an engine is known
	sizesPerDoubling   = 2           // classes of prompt lengths of which times are comparable
	sizeTimeSmoothing  = 0.02        // smoothing factor (alpha) of the moving average of the prefills of a length at all engines
	minSpeed           = 0.25        // lower bound of the speed of an engine relative to the mean
	maxSpeed           = 4.0         // upper bound of that
	unevenSpeeds       = 1.25        // ratio of the fast engines' speed to that of the slow ones from which on they count as uneven
	evenSpeeds         = 1.15        // ratio below which they count as even again
	speedQuantile      = 0.2         // share of the engines at either end that do not count in the ratio: some are slow because of a fault
	speedCheckInterval = time.Second // time between two looks at the speeds of all engines
	workHalfLife       = time.Minute // time in which half of an engine's work is forgotten: some hundred prompts, whose lengths differ widely
	cachedSpeedWeight  = 0.25        // exponent of an engine's speed in the prefill time of a prompt that some engine caches
	excessWorkTime     = 0.6         // seconds that excess work of another mean adds to the cost: prompts with short shared parts leave first
)

// speed is what is known of how fast an engine is.
type speed struct {
	newest [speedSamples]float64 // ring of the newest prefills: time of those of that length at all engines relative to the time here
	count  int                   // prefills recorded
	median float64
}

// sizeTime is the moving average of the time of a token in prefills of about one length, at all engines.
type sizeTime struct {
	seconds float64
	count   int
}

// recordSpeed records the time of a prefill without others beside it. It is compared with others of its length only, since the time need not
// be in proportion to the tokens, and without the part that links and inputs take at any engine.
func (engines *Engines) recordSpeed(now time.Time, engine *engine, tokens int, took time.Duration) {
	size := int(sizesPerDoubling * math.Log2(float64(tokens)/minRateSampleTokens))
	sizeTime := &engines.sizeTimes[min(size, len(engines.sizeTimes)-1)]
	seconds := max(took-prefillOverhead, time.Millisecond).Seconds() / float64(tokens)
	sizeTime.count++
	sizeTime.seconds += (seconds - sizeTime.seconds) * max(sizeTimeSmoothing, 1/float64(sizeTime.count))
	engine.speed.add(sizeTime.seconds / seconds)
	engines.checkSpeeds(now)
}

func (speed *speed) add(ratio float64) {
	speed.newest[speed.count%speedSamples] = ratio
	speed.count++
	sorted := speed.newest
	known := sorted[:min(speed.count, speedSamples)]
	slices.Sort(known)
	speed.median = known[len(known)/2]
}

// relativeSpeed returns the speed of the engine, or 1 if that is not known yet or if all engines are about equally fast.
func (engines *Engines) relativeSpeed(engine *engine) float64 {
	if !engines.uneven || engine.speed.count < minSpeedSamples {
		return 1
	}
	return min(max(engine.speed.median/engines.meanSpeed, minSpeed), maxSpeed)
}

// checkSpeeds decides whether the engines are unequally fast for good.
func (engines *Engines) checkSpeeds(now time.Time) {
	if now.Sub(engines.speedsCheckedAt) < speedCheckInterval {
		return
	}
	engines.speedsCheckedAt = now
	var speeds []float64
	for _, engine := range engines.engines {
		if engine.speed.count >= minSpeedSamples {
			speeds = append(speeds, engine.speed.median)
		}
	}
	if engines.uneven = engines.uneven && len(speeds) > 0; len(speeds) < max(len(engines.engines)/2, 2) {
		return
	}
	engines.meanSpeed = 0
	for _, speed := range speeds {
		engines.meanSpeed += speed / float64(len(speeds))
	}
	slices.Sort(speeds)
	left := int(float64(len(speeds)) * speedQuantile)
	ratio := speeds[len(speeds)-1-left] / speeds[left]
	before := engines.uneven
	engines.uneven = ratio >= unevenSpeeds || before && ratio >= evenSpeeds
	if engines.uneven && !before {
		engines.levelWork(now)
	}
}

// levelWork lets all engines begin with the same recent work: those with less of it would get most of the new prompts until they have caught
// up, and keep them.
func (engines *Engines) levelWork(now time.Time) {
	mean := 0.0
	for _, engine := range engines.engines {
		mean += engine.recentWork(now) / float64(len(engines.engines))
	}
	for _, engine := range engines.engines {
		engine.work, engine.workAt = mean, now
	}
}

// Uneven reports whether some engines are faster than others for good, by which their prompts are placed then.
func (engines *Engines) Uneven() bool { return engines.uneven }

// recentWork returns the seconds of prefill that the engine has got, of which half is forgotten in workHalfLife.
func (engine *engine) recentWork(now time.Time) float64 {
	return engine.work * math.Exp2(-now.Sub(engine.workAt).Seconds()/workHalfLife.Seconds())
}

func (engine *engine) addWork(now time.Time, seconds float64) {
	engine.work, engine.workAt = engine.recentWork(now)+seconds, now
}

// excessWork returns by how much the recent work of each candidate exceeds the mean, in multiples of it; nil while all engines are
// about equally fast.
//
// Load pattern: engines of which some are faster for good, and prompts that stay with the engine that caches their shared parts. Without a
// bound, chance gives some engines the parts that are asked for often, and slow ones as many as fast ones.
func (engines *Engines) excessWork(now time.Time, targets []Target, candidates []int) map[int]float64 {
	if !engines.uneven {
		return nil
	}
	sum := 0.0
	excess := make(map[int]float64, len(candidates))
	for _, i := range candidates {
		excess[i] = engines.engine(targets[i]).recentWork(now)
		sum += excess[i]
	}
	mean := sum / float64(len(candidates))
	for i, work := range excess {
		excess[i] = 0
		if mean > 0 {
			excess[i] = max(work/mean-1, 0)
		}
	}
	return excess
}
