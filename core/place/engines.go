package place

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
)

const (
	initialPrefillRate    = 40_000.0               // prompt tokens a second, before any measurement
	prefillRateSmoothing  = 0.05                   // smoothing factor (alpha) of the moving average of the prefill rate
	minPrefillRate        = 2_000.0                // lower bound of the average
	maxPrefillRate        = 200_000.0              // upper bound of the average
	minRateSampleTokens   = 1500                   // shorter prompts do not update the rate: they take mostly fixed time
	prefillWeight         = 1.5                    // weight of prefill time in the cost of a prompt: it also delays the tokens of concurrent streams
	tokensPerRemoteMB     = 1500.0                 // prefill tokens that may be repeated to keep a megabyte of inputs in its data centre
	prefillTimeout        = 8 * time.Second        // a prefill whose end nobody reports counts as finished
	prefillOverhead       = 20 * time.Millisecond  // fixed time of a prefill
	costTolerance         = 10 * time.Millisecond  // targets whose costs differ by less count as equal
	uncachedCostTolerance = 120 * time.Millisecond // costTolerance of a prompt that no engine is known to cache: a later placer tries its preferred engine first
	ownerColdShare        = 0.5                    // share of a cold target's limit that the daemon that places all prompts uses
)

// Prompt is a request to an engine.
type Prompt struct {
	Attempt    string
	Parts      []core.PromptPart
	Zone       string // data centre of large inputs; empty means none
	InputBytes int64  // size of those inputs
	Exclude    []string
	Version    string        // only engines of this software version; empty means all
	Except     string        // no engine of this one; empty means none, and older builds do not know it
	MaxWait    time.Duration // longest wait for a target that has named a limit
	Hint       string        // engine that last cached the longest shared part, as far as the sender knows

	prefix prefix // of Parts, once it is known
	hashed bool   // prefix and rank are known
	rank   uint64 // hash of the longest shared part or, without one, of Attempt, by which engines of equal cost are ranked
}

// WithPrefix returns the prompt with its parts hashed, so that Choose, which may run where other requests wait, does not take a time that grows with their text.
func (prompt Prompt) WithPrefix() Prompt {
	prompt.prefix, prompt.hashed = newPrefix(prompt.Parts), true
	if prompt.rank = prompt.prefix.key; !prompt.prefix.ok {
		prompt.rank = xxhash.Sum64String(prompt.Attempt)
	}
	return prompt
}

// Engines places prompts on the engines of one service for all daemons; Chooser and MemoryTokens must be set. It is not
// safe for concurrent use.
//
// It is made for long prompts that delay the ones behind them, for a hot prompt, and for prompts cached by an engine
// that is busy. A daemon that sees only its own requests would send short prompts behind the long ones of others.
type Engines struct {
	Chooser      *Chooser
	MemoryTokens int        // memory of one engine in tokens
	Pacer        core.Pacer // nil means that no engine names a limit

	engines     map[string]*engine
	prefillRate float64 // tokens a second
	maxParts    int     // cached parts of one engine that are remembered; 0 means maxEngineParts
}

type engine struct {
	startedAt time.Time
	prefills  map[string]prefill // prefills in progress, by attempt
	cache     *cache
}

type prefill struct {
	tokens    int
	startedAt time.Time
	alone     bool
}

func (engines *Engines) engine(target Target) *engine {
	if engines.engines == nil {
		engines.engines, engines.prefillRate = map[string]*engine{}, initialPrefillRate
	}
	known := engines.engines[target.ID]
	if known == nil || !known.startedAt.Equal(target.StartedAt) {
		known = &engine{startedAt: target.StartedAt, prefills: map[string]prefill{}, cache: newCache()}
		engines.engines[target.ID] = known
	}
	return known
}

// backlogTokens returns the tokens of other prompts that the engine still has to prefill.
func (engine *engine) backlogTokens(now time.Time, rate float64) float64 {
	var tokens float64
	oldest := now
	for attempt, prefill := range engine.prefills {
		if now.Sub(prefill.startedAt) > prefillTimeout {
			delete(engine.prefills, attempt)
			continue
		}
		tokens += float64(prefill.tokens)
		if prefill.startedAt.Before(oldest) {
			oldest = prefill.startedAt
		}
	}
	return max(tokens-now.Sub(oldest).Seconds()*rate, 0)
}

// Placement is the engine for a prompt, or the reason why there is none.
type Placement struct {
	Index int // of the target
	Fault Fault
	// Wait is how long the prompt must wait because the engine has named a limit, or because all that could take it have.
	Wait time.Duration
}

// Choose returns the target for the prompt and counts the prompt there until FinishPrefill.
func (engines *Engines) Choose(now time.Time, targets []Target, prompt Prompt) Placement {
	if !prompt.hashed {
		prompt = prompt.WithPrefix()
	}
	chooser := engines.Chooser
	candidates, fault := chooser.candidates(now, targets, Request{Exclude: prompt.Exclude, MayWait: true})
	if fault != Chosen {
		return Placement{Fault: fault}
	}
	engines.maxParts = maxParts(len(targets))
	engines.adoptHint(targets, prompt)
	tolerance := costTolerance
	if !engines.isCached(prompt) {
		tolerance = uncachedCostTolerance
	}
	best, bestCost := -1, 0.0
	var leastWait time.Duration // of the engines that may not get the prompt within MaxWait
	for _, i := range candidates {
		wait := engines.wait(now, targets[i])
		if wait > prompt.MaxWait {
			if leastWait == 0 || wait < leastWait {
				leastWait = wait
			}
			continue
		}
		cost := engines.cost(now, targets[i], prompt) + wait.Seconds()
		if best >= 0 && cost >= bestCost-tolerance.Seconds() && (cost > bestCost+tolerance.Seconds() || rendezvousScore(prompt.rank, targets[i].ID) < rendezvousScore(prompt.rank, targets[best].ID)) {
			continue
		}
		if !chooser.admitCold(now, targets[i], ownerColdShare) {
			continue
		}
		best, bestCost = i, cost
	}
	if best < 0 {
		return Placement{Fault: AllFull, Wait: leastWait}
	}
	placement := Placement{Index: best}
	if engines.Pacer != nil {
		wait, granted := engines.Pacer.Take(now, targets[best].ID, prompt.MaxWait)
		if !granted {
			return Placement{Fault: AllFull, Wait: wait}
		}
		placement.Wait = wait
	}
	engines.startPrefill(now, targets[best], prompt)
	return placement
}

// wait returns how long a prompt must wait because the engine has named a limit.
func (engines *Engines) wait(now time.Time, target Target) time.Duration {
	if engines.Pacer == nil {
		return 0
	}
	return engines.Pacer.Wait(now, target.ID)
}

// isCached reports whether an engine is known to cache the longest shared part.
func (engines *Engines) isCached(prompt Prompt) bool {
	if !prompt.prefix.ok {
		return false
	}
	for _, engine := range engines.engines {
		if engine.cache.parts.Contains(prompt.prefix.key) {
			return true
		}
	}
	return false
}

// adoptHint applies the sender's hint while no engine is known to cache the prompt, because this daemon may have become
// the placer only now.
func (engines *Engines) adoptHint(targets []Target, prompt Prompt) {
	if prompt.Hint == "" || !prompt.prefix.ok || engines.isCached(prompt) {
		return
	}
	for _, target := range targets {
		if target.ID == prompt.Hint {
			engines.addParts(engines.engine(target), prompt.prefix.shared())
		}
	}
}

// cost returns the expected time to the first token in seconds, plus what the prompt costs the other requests.
func (engines *Engines) cost(now time.Time, target Target, prompt Prompt) float64 {
	engine := engines.engine(target)
	state := engines.Chooser.state(target.ID)
	tokens := float64(engine.cache.uncachedTokens(prompt.prefix))*prefillWeight + engine.backlogTokens(now, engines.prefillRate)
	if prompt.Zone != "" && prompt.Zone != target.DataCentre {
		tokens += tokensPerRemoteMB * float64(prompt.InputBytes) / 1e6
	}
	state.decay(now)
	cost := tokens/engines.prefillRate + prefillOverhead.Seconds()
	if now.Before(target.ColdUntil) {
		cost *= 2
	}
	return cost * max(state.slowdown, 1) * (1 + failurePenalty*state.failureRate)
}

func (engines *Engines) startPrefill(now time.Time, target Target, prompt Prompt) {
	engine := engines.engine(target)
	engine.prefills[prompt.Attempt] = prefill{tokens: engine.cache.uncachedTokens(prompt.prefix), startedAt: now, alone: len(engine.prefills) == 0}
	if prompt.prefix.total <= engines.MemoryTokens { // engines reject a larger one
		engines.addParts(engine, prompt.prefix.parts)
	}
}

func (engines *Engines) addParts(engine *engine, parts []prefixPart) {
	engine.cache.add(parts, int(float64(engines.MemoryTokens)*cacheShare), cmp.Or(engines.maxParts, maxEngineParts))
}

// FinishPrefill records that an engine has prefilled a prompt, or will not; took is the time to the first event.
func (engines *Engines) FinishPrefill(now time.Time, id, attempt string, outcome Outcome, took time.Duration) {
	engine := engines.engines[id]
	if engine == nil {
		return
	}
	prefill, found := engine.prefills[attempt]
	if !found {
		return
	}
	delete(engine.prefills, attempt)
	expected := float64(prefill.tokens)/engines.prefillRate + prefillOverhead.Seconds()
	if outcome == Succeeded && prefill.alone && prefill.tokens >= minRateSampleTokens {
		measuredRate := float64(prefill.tokens) / max(took-prefillOverhead, time.Millisecond).Seconds()
		engines.prefillRate += (min(max(measuredRate, minPrefillRate), maxPrefillRate) - engines.prefillRate) * prefillRateSmoothing
	}
	if !prefill.alone && outcome == Succeeded {
		expected = max(expected, took.Seconds()) // it waited for other prefills, which says nothing about the engine
	}
	engines.Chooser.RecordOutcome(now, id, outcome, took.Seconds()/expected)
}
