package limit

import "time"

// Evidence is what a response of a target says about its limit.
type Evidence struct {
	Target    string
	StartedAt time.Time // start of the target's run
	Named     bool      // the response names a limit
	Rate      float64   // requests per second from all daemons, if one is named
	// At is the time at which a response that names a limit arrived, or at which the request of one that names none was sent: a
	// response that was begun before the target named its limit does not lift it.
	At time.Time
}

// Table holds the newest evidence of each target. The zero value is ready to use; it is not safe for concurrent use.
type Table struct {
	states map[string]*state
}

type state struct {
	evidence Evidence
}

// Observe merges evidence and reports whether it changes the limit of its target. Evidence of an earlier run and evidence that is
// older than what is known are ignored.
func (table *Table) Observe(evidence Evidence) bool {
	known := table.states[evidence.Target]
	if known == nil {
		if !evidence.Named {
			return false
		}
		if table.states == nil {
			table.states = map[string]*state{}
		}
		table.states[evidence.Target] = &state{evidence: evidence}
		return true
	}
	before := known.evidence
	newRun := evidence.StartedAt.After(before.StartedAt)
	if !newRun && (evidence.StartedAt.Before(before.StartedAt) || !evidence.At.After(before.At)) {
		return false
	}
	known.evidence = evidence
	return before.Named != evidence.Named || evidence.Named && before.Rate != evidence.Rate
}

// Rate returns the limit of a target, and false if it has none.
func (table *Table) Rate(target string) (float64, bool) {
	known := table.states[target]
	if known == nil || !known.evidence.Named {
		return 0, false
	}
	return known.evidence.Rate, true
}
