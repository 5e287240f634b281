package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"catkincove/core"
)

// promptKind is a route whose prompts begin with one of a few parts, followed by one of many, of which some get more of the traffic.
type promptKind struct {
	rate                    float64 // requests per second
	few, many               int
	fewTokens, manyTokens   float64
	ownTokens, ownDeviation float64
	skew                    float64
}

var promptKinds = []promptKind{
	{110, 4, 1475, 2520, 3780, 2890, 1, 0.3},
	{118, 20, 2300, 341, 227, 1800, 1, 0.3},
	{58, 16, 522, 103, 69, 543, 0.9, 0.3},
}

// speedReplay replays 90 engines of different speed that are busy for a sixth of the time, each of which reads one prompt after the
// other; 0.15 of them are slower by 2.5 for some hundred milliseconds at a time.
type speedReplay struct {
	engines   *Engines
	targets   []Target
	speeds    []float64
	random    *rand.Rand
	now       time.Time
	free      []time.Time // end of the prompts in the queue of each engine
	slowFrom  []time.Time
	slowUntil []time.Time
	ends      []prefillEnd
	attempts  int

	work   []float64 // by engine, seconds at usual speed
	shared float64   // tokens of shared parts of all prompts
	again  float64   // tokens of shared parts that were read although some engine had them in its cache
}

type prefillEnd struct {
	at, began time.Time
	engine    int
	attempt   string
}

const (
	engineRate     = 56_900.0              // prompt tokens that an engine of usual speed reads in a second
	engineOverhead = 0.013                 // seconds until the first event of a prompt without tokens
	linkTime       = 20 * time.Millisecond // until the first event reaches the daemon, which no engine shortens
	replayStep     = time.Millisecond
)

func newSpeedReplay(seed uint64, speeds []float64) *speedReplay {
	count := 90
	replay := &speedReplay{
		random: rand.New(rand.NewPCG(seed, 3)), now: start, free: make([]time.Time, count), slowFrom: make([]time.Time, count), slowUntil: make([]time.Time, count),
		work: make([]float64, count),
	}
	for i := range count {
		replay.targets = append(replay.targets, Target{ID: fmt.Sprintf("i-%x", replay.random.Uint32()), DataCentre: string(rune('a' + i/30))})
		replay.speeds = append(replay.speeds, speeds[i%len(speeds)])
	}
	replay.engines = &Engines{Chooser: &Chooser{Random: rand.New(rand.NewPCG(seed, 4)), Daemons: 61}, MemoryTokens: 399_481}
	return replay
}

func (replay *speedReplay) pick(count int, skew float64) int {
	// The inverse of the distribution with weights proportional to 1/rank^skew.
	return int(float64(count) * math.Pow(replay.random.Float64(), 1/(1-skew)))
}

func (replay *speedReplay) prompt(number int) Prompt {
	kind := promptKinds[number]
	replay.attempts++
	attempt := fmt.Sprint("r", replay.attempts)
	many := replay.pick(kind.many, kind.skew)
	own := min(math.Exp(replay.random.NormFloat64()*kind.ownDeviation-kind.ownDeviation*kind.ownDeviation/2)*kind.ownTokens, 14*kind.ownTokens)
	return Prompt{Attempt: attempt, Parts: []core.PromptPart{
		{ID: fmt.Sprint("f", number, "-", many%kind.few), Tokens: int(kind.fewTokens)}, {ID: fmt.Sprint("m", number, "-", many), Tokens: int(kind.manyTokens)},
		{ID: attempt, Tokens: int(own)},
	}}
}

func (replay *speedReplay) send(prompt Prompt) {
	cachedSomewhere := replay.engines.isCached(prompt)
	chosen := replay.engines.Choose(replay.now, replay.targets, prompt).Index
	uncached := replay.engines.engine(replay.targets[chosen]).prefills[prompt.Attempt].tokens
	rate := engineRate * replay.speeds[chosen]
	if !replay.now.Before(replay.slowFrom[chosen]) {
		replay.slowUntil[chosen] = replay.now.Add(350 * time.Millisecond)
		replay.slowFrom[chosen] = replay.slowUntil[chosen].Add(time.Duration(replay.random.ExpFloat64() * float64(2*time.Second)))
	}
	if replay.now.Before(replay.slowUntil[chosen]) {
		rate /= 2.5
	}
	began := replay.now
	if replay.free[chosen].After(began) {
		began = replay.free[chosen]
	}
	replay.free[chosen] = began.Add(time.Duration((float64(uncached)/rate + engineOverhead/replay.speeds[chosen]) * float64(time.Second)))
	replay.ends = append(replay.ends, prefillEnd{replay.free[chosen], replay.now, chosen, prompt.Attempt})
	replay.work[chosen] += float64(uncached)/engineRate + engineOverhead
	replay.shared += float64(prompt.Parts[0].Tokens + prompt.Parts[1].Tokens)
	if own := prompt.Parts[2].Tokens; cachedSomewhere && uncached > own {
		replay.again += float64(uncached - own)
	}
}

func (replay *speedReplay) play(duration time.Duration) {
	owed := make([]float64, len(promptKinds))
	for end := replay.now.Add(duration); replay.now.Before(end); replay.now = replay.now.Add(replayStep) {
		kept := replay.ends[:0]
		for _, ended := range replay.ends {
			if ended.at.After(replay.now) {
				kept = append(kept, ended)
				continue
			}
			took := ended.at.Sub(ended.began) + linkTime
			replay.engines.FinishPrefill(replay.now, replay.targets[ended.engine].ID, ended.attempt, Succeeded, took)
		}
		replay.ends = kept
		for number, kind := range promptKinds {
			for owed[number] += kind.rate * replayStep.Seconds() * 2 * replay.random.Float64(); owed[number] >= 1; owed[number]-- {
				replay.send(replay.prompt(number))
			}
		}
	}
}

// busiest returns the largest share of an engine, relative to its share of the speed of all.
func (replay *speedReplay) busiest(work []float64) float64 {
	sum, speeds, most := 0.0, 0.0, 0.0
	for i := range work {
		sum, speeds = sum+work[i], speeds+replay.speeds[i]
	}
	for i := range work {
		most = max(most, work[i]/sum*speeds/replay.speeds[i])
	}
	return most
}

// TestUnevenEngines guards against engines that get a multiple of their fair share by speed, and against prompts that move to faster
// engines, which read their shared parts again. Without speeds the busiest engine got 1.9 times its fair share and more.
func TestUnevenEngines(t *testing.T) {
	measure := func(learns bool, minutes time.Duration) *speedReplay {
		replay := newSpeedReplay(0, []float64{1 / 0.7, 1 / 0.7, 1 / 1.7})
		if !learns {
			replay.engines.speedsCheckedAt = start.Add(time.Hour)
		}
		replay.play(20 * time.Second) // until the prompts have their places
		clear(replay.work)
		replay.again, replay.shared = 0, 0
		replay.play(minutes * time.Minute)
		return replay
	}
	before, after := measure(false, 1), measure(true, 3)
	if busiest := after.busiest(after.work); busiest > 1.25 {
		t.Errorf("the busiest engine has %.2f times its fair share by speed, %.2f without speeds", busiest, before.busiest(before.work))
	}
	if after.again > after.shared*0.05 {
		t.Errorf("%.3f of the tokens of shared parts were read again, %.3f without speeds", after.again/after.shared, before.again/before.shared)
	}
}

// TestEvenEngines guards against engines that count as unequally fast because some were slow for a moment: prompts would be placed in
// another way on services whose engines are alike.
func TestEvenEngines(t *testing.T) {
	replay := newSpeedReplay(1, []float64{1})
	for range 30 {
		replay.play(time.Second)
		if replay.engines.uneven {
			t.Fatalf("engines of one speed count as uneven after %v", replay.now.Sub(start))
		}
	}
}
