package limit

import (
	"time"

	"catkincove/core"
)

// evidenceTTL is how long evidence that a target names no limit is kept, and that of a target that is registered no longer.
const evidenceTTL = time.Minute

// Evidence is what a response of a target says about its limit.
type Evidence struct {
	ID        uint64 // identifies the response over all daemons; 0 means unknown
	Target    string
	StartedAt time.Time // start of the target's run
	Named     bool      // the response names a limit
	Rate      float64   // requests per second from all daemons, if one is named; of a brittle target, the rejections that it bears
	Brittle   bool      // the limit is one on rejections
	// At is the time at which a response that names a limit arrived, or at which the request of one that names none was sent: a
	// response that was begun before the target named its limit does not lift it.
	At time.Time
}

// Table holds the newest evidence of each target. The zero value is ready to use; it is not safe for concurrent use.
type Table struct {
	states map[string]*state
	pauses map[string]pause // by target
}

type state struct {
	evidence  Evidence
	firstHand bool // this daemon got the response
	bucket    bucket
	pace      pace    // of a brittle target
	results   Results // of requests of this daemon that the pace does not know
}

var _ core.Pacer = (*Table)(nil)

// Observe merges evidence of a response that this daemon got and reports whether it changes the limit of its target. Evidence of an
// earlier run and evidence older than what is known are ignored.
func (table *Table) Observe(evidence Evidence) bool { return table.merge(evidence, true) }

// Merge is Observe for evidence that another daemon reported.
func (table *Table) Merge(evidence Evidence) bool { return table.merge(evidence, false) }

func (table *Table) merge(evidence Evidence, firstHand bool) bool {
	known := table.states[evidence.Target]
	if known == nil {
		if !evidence.Named {
			return false
		}
		if table.states == nil {
			table.states = map[string]*state{}
		}
		table.states[evidence.Target] = &state{evidence: evidence, firstHand: firstHand}
		return true
	}
	before := known.evidence
	if evidence.ID != 0 && evidence.ID == before.ID {
		return false // it looks younger each time that it comes back
	}
	newRun := evidence.StartedAt.After(before.StartedAt)
	if !newRun && (evidence.StartedAt.Before(before.StartedAt) || !evidence.At.After(before.At)) {
		return false
	}
	known.evidence, known.firstHand = evidence, firstHand
	return before.Named != evidence.Named || evidence.Named && before.Rate != evidence.Rate
}

// AnyBrittle reports whether some target has said last that it is brittle.
func (table *Table) AnyBrittle() bool {
	for _, known := range table.states {
		if known.evidence.Named && known.evidence.Brittle {
			return true
		}
	}
	return false
}

// Run is one run of a target.
type Run struct {
	Target    string
	StartedAt time.Time
}

// InferBrittle takes all given targets, those of one service, for brittle ones if the newest response of one of them says so, and returns what it has inferred: the
// targets of a service are brittle together, and those that get no requests cannot say it. What a target has said since goes first.
func (table *Table) InferBrittle(targets []Run) []Evidence {
	var newest Evidence
	for _, run := range targets {
		if known, found := table.Of(run.Target); found && known.Named && known.Brittle && known.At.After(newest.At) {
			newest = known
		}
	}
	if !newest.Brittle {
		return nil
	}
	var inferred []Evidence
	for _, run := range targets {
		evidence := newest
		evidence.Target, evidence.StartedAt = run.Target, run.StartedAt
		if known, found := table.Of(run.Target); (!found || !known.Named) && table.Merge(evidence) {
			inferred = append(inferred, evidence)
		}
	}
	return inferred
}

// Evidence returns what is known of up to most targets, in random order; of those whose responses this daemon got, or of all.
func (table *Table) Evidence(all bool, most int) []Evidence {
	var list []Evidence
	for _, state := range table.states {
		if len(list) < most && (all || state.firstHand) {
			list = append(list, state.evidence)
		}
	}
	return list
}

// Of returns the newest evidence of a target, and false if there is none.
func (table *Table) Of(target string) (Evidence, bool) {
	known := table.states[target]
	if known == nil {
		return Evidence{}, false
	}
	return known.evidence, true
}

// Sweep removes old evidence of targets that name no limit or are not registered. A limit of a registered target stays, however
// long it gets no requests.
func (table *Table) Sweep(now time.Time, registered func(target string) bool) {
	table.sweepPauses(now)
	for target, state := range table.states {
		if now.Sub(state.evidence.At) > evidenceTTL && !(state.evidence.Named && registered(target)) {
			delete(table.states, target)
		}
	}
}

// Rate implements core.Pacer; a lower limit than minRate counts as minRate.
func (table *Table) Rate(target string) (float64, bool) {
	known := table.states[target]
	if known == nil || !known.evidence.Named {
		return 0, false
	}
	rate := known.evidence.Rate
	if known.evidence.Brittle {
		rate = known.pace.rate
	}
	return max(rate, minRate), true
}
