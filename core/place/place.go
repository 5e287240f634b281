package place

import (
	"cmp"
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core/gauge"
)

const (
	failureRateSmoothing   = 0.3                    // smoothing factor (alpha) of the moving average of a target's failure rate
	slowdownSmoothing      = 0.2                    // smoothing factor (alpha) of the moving average of a target's slowdown
	maxSlowdown            = 20.0                   // upper bound of the slowdown of a single response
	minBackoff             = 300 * time.Millisecond // backoff after a failure, doubled with each consecutive one
	maxBackoff             = 4 * time.Second        // longest backoff of a target that keeps failing; then one request probes it
	failurePenalty         = 4.0                    // a target that always fails counts as 1 + failurePenalty times slower
	affinityLoadMargin     = 3.0                    // requests in flight that a target with affinity may have beyond affinityLoadFactor
	affinityLoadFactor     = 1.6                    // multiple of the mean load up to which a target keeps its affinity
	affinitySlowdownFactor = 4.0                    // a target this many times slower than the median loses its affinity
	coldShare              = 0.2                    // share of a cold target's limit that all daemons together use when each places its own requests
	coldBurst              = 2.0                    // requests that a cold target may get at once from the daemon that places all prompts
	decayHalfLife          = 4 * time.Second        // half-life of a target's failure rate and slowdown, so that it gets requests again
	stateTTL               = time.Minute            // lifetime of the state of a target that is no longer used
	connectionShare        = 0.8                    // share of a target's connection limit that all daemons use together
)

// Target is a candidate for a request.
type Target struct {
	ID             string
	Address        string
	DataCentre     string
	Version        string    // version of its software
	StartedAt      time.Time // start of this run; prompts cached by earlier runs are gone
	ColdUntil      time.Time
	ColdRate       float64 // requests per second that it tolerates while cold, from all daemons; 0 means no limit
	MaxConnections int     // limit for all daemons together; 0 means no limit
}

// Versions selects targets by their software version; the zero value selects all.
type Versions struct {
	Only   string // the one version that is selected; empty means any
	Except string // a version that is not; empty means none
}

// Of returns the selected targets.
func (versions Versions) Of(targets []Target) []Target {
	if versions == (Versions{}) {
		return targets
	}
	var matching []Target
	for _, target := range targets {
		if (versions.Only == "" || target.Version == versions.Only) && (versions.Except == "" || target.Version != versions.Except) {
			matching = append(matching, target)
		}
	}
	return matching
}

// Request holds the criteria for choosing a target.
type Request struct {
	AffinityKey string   // identifies a shared part of the prompt; targets that have cached it are preferred; empty means none
	DataCentre  string   // its targets are preferred to those that have cached the prompt; empty means none
	Exclude     []string // targets that were tried before
	Probe       bool     // the request is idempotent, so it may probe whether a target has recovered
	MayWait     bool     // the request may wait for a target that is held
}

// Fault says why no target was chosen.
type Fault int

// The faults.
const (
	Chosen Fault = iota
	NoTargets
	AllEjected
	AllFull
)

// String returns the name used in logs.
func (fault Fault) String() string {
	names := [...]string{"Chosen", "NoTargets", "AllResting", "AllFull"}
	if fault < 0 || int(fault) >= len(names) {
		return "Unknown" // received from another daemon
	}
	return names[fault]
}

// Outcome is the end of a request at a target.
type Outcome int

// The outcomes.
const (
	Succeeded     Outcome = iota
	ErrorResponse         // the target responded with an error of its own
	Rejected              // the target states that it did not run the request
	Disconnected          // no response, or an incomplete one
	TimedOut              // no response for far longer than usual
	Inconclusive          // the caller left, or the request never reached the target
)

type state struct {
	inFlight            int
	slowdown            float64 // moving average of measured to usual response time, as of decayedAt; 0 before the first
	failureRate         float64 // moving average of failed responses, as of decayedAt
	decayedAt           time.Time
	consecutiveFailures int
	backoffUntil        time.Time
	probing             bool // one request in flight tests whether the target has recovered
	cold                bucket
	coldUntil           time.Time // end of the cold phase that the bucket is for
	heldUntil           time.Time // the target has named a limit and may not get a request before this time
	told                gauge.Gauge
	predicted           float64 // told.Prediction when the target was last chosen; 0 before
	lastUsed            time.Time
}

// decay moves the failure rate towards 0 and the slowdown towards 1 with the time since the last call.
func (state *state) decay(now time.Time) {
	weight := math.Exp2(-now.Sub(state.decayedAt).Seconds() / decayHalfLife.Seconds())
	state.failureRate *= weight
	if state.slowdown == 0 {
		state.slowdown = 1
	}
	state.slowdown = 1 + (state.slowdown-1)*weight
	state.decayedAt = now
}

// bucket is a token bucket.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// take removes one token. The bucket starts empty, because daemons that all started with a token would send too many
// requests at once.
func (bucket *bucket) take(now time.Time, rate, burst float64) bool {
	if !bucket.refilledAt.IsZero() {
		bucket.tokens = min(bucket.tokens+rate*now.Sub(bucket.refilledAt).Seconds(), burst)
	}
	bucket.refilledAt = now
	if bucket.tokens < 1 {
		return false
	}
	bucket.tokens--
	return true
}

// Chooser chooses targets; Random must be set. It is not safe for concurrent use.
//
// It is made for targets that are slow, failing or unresponsive while they report that they are healthy, cold targets
// that return together, and a prompt that gets much of the traffic.
type Chooser struct {
	Random *rand.Rand
	// Daemons is how many daemons may send to the same targets; 0 counts as 1.
	Daemons int
	// ColdOver and ColdSlack limit the requests to a cold target in one second: rate x ColdOver + ColdSlack.
	ColdOver, ColdSlack float64

	states map[string]*state
}

func (chooser *Chooser) state(id string) *state {
	if chooser.states == nil {
		chooser.states = map[string]*state{}
	}
	found := chooser.states[id]
	if found == nil {
		found = &state{}
		chooser.states[id] = found
	}
	return found
}

// Choose returns the index of the target for the request and counts the request there until Finish.
func (chooser *Chooser) Choose(now time.Time, targets []Target, request Request) (int, Fault) {
	candidates, fault := chooser.candidates(now, targets, request)
	if fault != Chosen {
		return 0, fault
	}
	var order []int
	if request.AffinityKey != "" {
		order = chooser.byAffinity(now, targets, candidates, request)
	} else {
		order = chooser.byLoad(now, targets, candidates)
	}
	for _, i := range order {
		state := chooser.state(targets[i].ID)
		if !chooser.admitCold(now, targets[i], coldShare/float64(max(chooser.Daemons, 1))) {
			continue
		}
		state.inFlight++
		state.lastUsed = now
		state.probing = state.consecutiveFailures > 0
		state.sentTold(now)
		return i, Chosen
	}
	return 0, AllFull
}

// candidates leaves out excluded, ejected and full targets. When all are ejected, it returns the one whose backoff ends
// first, because an attempt may succeed and a rejection never does.
func (chooser *Chooser) candidates(now time.Time, targets []Target, request Request) ([]int, Fault) {
	var usable, backingOff []int
	full := false
	for i, target := range targets {
		if slices.Contains(request.Exclude, target.ID) {
			continue
		}
		state := chooser.state(target.ID)
		limit := int(float64(target.MaxConnections) * connectionShare / float64(max(chooser.Daemons, 1)))
		switch {
		case !request.MayWait && now.Before(state.heldUntil):
			full = true
		case target.MaxConnections > 0 && state.inFlight >= max(limit, 2):
			full = true
		case now.Before(state.backoffUntil) || state.consecutiveFailures > 0 && state.probing && state.inFlight > 0:
			backingOff = append(backingOff, i)
		default:
			usable = append(usable, i)
		}
	}
	if request.Probe {
		for _, i := range usable {
			if state := chooser.state(targets[i].ID); state.consecutiveFailures > 0 && state.inFlight == 0 {
				return []int{i}, Chosen // its cost would exceed that of any other, so it could never show that it has recovered
			}
		}
	}
	switch {
	case len(usable) > 0:
		return usable, Chosen
	case len(backingOff) > 0:
		soonest := slices.MinFunc(backingOff, func(a, b int) int {
			return chooser.state(targets[a].ID).backoffUntil.Compare(chooser.state(targets[b].ID).backoffUntil)
		})
		return []int{soonest}, Chosen
	case full:
		return nil, AllFull
	default:
		return nil, NoTargets
	}
}

// HasUsable reports whether there is a target, other than the excluded ones, that is neither full nor ejected.
func (chooser *Chooser) HasUsable(now time.Time, targets []Target, exclude []string) bool {
	candidates, fault := chooser.candidates(now, targets, Request{Exclude: exclude})
	return fault == Chosen && !now.Before(chooser.state(targets[candidates[0]].ID).backoffUntil)
}

// cost returns the expected time of one more request at the target, which has others from other daemons, relative to a usual response.
func (chooser *Chooser) cost(now time.Time, target Target, others float64) float64 {
	state := chooser.state(target.ID)
	state.decay(now)
	cost := max(state.slowdown, 0.1) * state.told.Stretch(now, 0) * (float64(state.inFlight+1) + others) * (1 + failurePenalty*state.failureRate)
	if now.Before(target.ColdUntil) {
		cost *= 2
	}
	return cost
}

// byLoad puts the cheaper of two random candidates first (power of two choices), so that daemons do not all choose the
// same target.
func (chooser *Chooser) byLoad(now time.Time, targets []Target, candidates []int) []int {
	order := slices.Clone(candidates)
	chooser.Random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	if len(order) < 2 {
		return order
	}
	first, second := targets[order[0]], targets[order[1]]
	firstOthers, secondOthers := chooser.others(now, first, second)
	if chooser.cost(now, second, secondOthers) < chooser.cost(now, first, firstOthers) {
		order[0], order[1] = order[1], order[0]
	}
	return order
}

// byAffinity orders the candidates by rendezvous hash of the affinity key, so that all daemons agree on the target that
// caches the prompt without communicating. Overloaded, slow and cold targets come last.
func (chooser *Chooser) byAffinity(now time.Time, targets []Target, candidates []int, request Request) []int {
	order := slices.Clone(candidates)
	key := xxhash.Sum64String(request.AffinityKey)
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(rendezvousScore(key, targets[b].ID), rendezvousScore(key, targets[a].ID)), cmp.Compare(a, b))
	})
	loadLimit, slowdownLimit := chooser.affinityLimits(now, targets, candidates)
	accepted := func(i int) bool {
		state := chooser.state(targets[i].ID)
		return float64(state.inFlight) <= loadLimit && state.slowdown <= slowdownLimit && !now.Before(targets[i].ColdUntil)
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(btoi(!accepted(a)), btoi(!accepted(b))),
			cmp.Compare(btoi(request.outsideDataCentre(targets[a])), btoi(request.outsideDataCentre(targets[b]))))
	})
	return order
}

func (request Request) outsideDataCentre(target Target) bool {
	return request.DataCentre != "" && target.DataCentre != request.DataCentre
}

// PreferredDataCentre returns the data centre of the target with affinity to the prompt; empty without targets.
func PreferredDataCentre(targets []Target, prompt string) string {
	if len(targets) == 0 {
		return ""
	}
	key := xxhash.Sum64String(prompt)
	return slices.MaxFunc(targets, func(a, b Target) int {
		return cmp.Compare(rendezvousScore(key, a.ID), rendezvousScore(key, b.ID))
	}).DataCentre
}

// affinityLimits returns the load and the slowdown above which a target temporarily has no affinity.
func (chooser *Chooser) affinityLimits(now time.Time, targets []Target, candidates []int) (loadLimit, slowdownLimit float64) {
	sum := 0
	var slowdowns []float64
	for _, i := range candidates {
		state := chooser.state(targets[i].ID)
		sum += state.inFlight
		state.decay(now)
		slowdowns = append(slowdowns, state.slowdown)
	}
	limit := float64(sum)/float64(len(candidates))*affinityLoadFactor + affinityLoadMargin
	slices.Sort(slowdowns)
	return limit, slowdowns[len(slowdowns)/2]*affinitySlowdownFactor + 1
}

// admitCold reports whether a cold target may get one more request within a share of its limit; other targets always
// may.
func (chooser *Chooser) admitCold(now time.Time, target Target, share float64) bool {
	if target.ColdRate <= 0 || !now.Before(target.ColdUntil) {
		return true
	}
	state := chooser.state(target.ID)
	if now.After(state.coldUntil) {
		state.cold = bucket{} // every daemon of the fleet would hold a token from the phase before
	}
	state.coldUntil = target.ColdUntil
	rate := (target.ColdRate*chooser.ColdOver + chooser.ColdSlack) * share
	return state.cold.take(now, rate, max(min(rate, coldBurst), 1))
}

// Finish ends a request; slowdown is the measured time to its response relative to the usual one of its route.
func (chooser *Chooser) Finish(now time.Time, id string, outcome Outcome, slowdown float64) {
	state := chooser.state(id)
	state.inFlight = max(state.inFlight-1, 0)
	chooser.RecordOutcome(now, id, outcome, slowdown)
}

// RecordOutcome records an outcome without ending the request, for one whose response is still awaited.
func (chooser *Chooser) RecordOutcome(now time.Time, id string, outcome Outcome, slowdown float64) {
	state := chooser.state(id)
	state.lastUsed = now
	state.decay(now)
	failure := 0.0
	switch outcome {
	case Inconclusive:
		return
	case Succeeded:
		state.consecutiveFailures, state.probing = 0, false
		state.slowdown += (min(state.unexplained(slowdown), maxSlowdown) - state.slowdown) * slowdownSmoothing
	case ErrorResponse:
		failure = 1
	case Rejected:
		state.backoffUntil = now.Add(minBackoff / 3)
		return
	case Disconnected, TimedOut:
		failure = 1
		state.backoffUntil = now.Add(min(minBackoff<<min(state.consecutiveFailures, 5), maxBackoff))
		state.consecutiveFailures++
	}
	state.failureRate += (failure - state.failureRate) * failureRateSmoothing
}

// ForgetFailures forgets that targets failed, because the path to them did.
func (chooser *Chooser) ForgetFailures() {
	for _, state := range chooser.states {
		state.failureRate, state.consecutiveFailures, state.backoffUntil, state.probing = 0, 0, time.Time{}, false
	}
}

// Begin counts a request at a target that was chosen elsewhere, until Finish.
func (chooser *Chooser) Begin(now time.Time, id string) {
	state := chooser.state(id)
	state.inFlight++
	state.lastUsed = now
	state.probing = state.consecutiveFailures > 0
}

// Hold passes over a target that has named a limit for the time after which it may get a request.
func (chooser *Chooser) Hold(now time.Time, id string, wait time.Duration) {
	chooser.state(id).heldUntil = now.Add(wait)
	chooser.state(id).lastUsed = now
}

// HeldFor returns the time until the first of the targets that are held may get a request; 0 if none is held.
func (chooser *Chooser) HeldFor(now time.Time, targets []Target) time.Duration {
	var least time.Duration
	for _, target := range targets {
		if wait := chooser.state(target.ID).heldUntil.Sub(now); wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}

// Sweep removes the state of targets that have not been used for a minute.
func (chooser *Chooser) Sweep(now time.Time) {
	for id, state := range chooser.states {
		if state.inFlight == 0 && now.Sub(state.lastUsed) > stateTTL {
			delete(chooser.states, id)
		}
	}
}

// rendezvousScore returns the score of a target for the hash of a prompt.
func rendezvousScore(prompt uint64, id string) uint64 {
	seed := binary.BigEndian.AppendUint64(make([]byte, 0, 64), prompt) // room for most IDs, so that it stays on the stack
	return xxhash.Sum64(append(seed, id...))
}

func btoi(value bool) int {
	if value {
		return 1
	}
	return 0
}
