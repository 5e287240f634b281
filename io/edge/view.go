package edge

import (
	"time"

	"catkincove/core"
	"catkincove/core/place"
)

// view is an immutable summary of the routing and the targets, replaced when either changes.
type view struct {
	routing     core.Routing
	targets     map[string][]place.Target // by service; without draining targets and those in an evacuated data centre
	addresses   map[string]bool           // addresses of all registered targets
	services    map[string]string         // service by target address
	dataCentres map[string]string         // data centre by target address
}

// registry holds the newest state of each target, which older registrations must not override.
type registry struct {
	runs map[string]targetRun
}

// targetRun is the newest known state of one run of a target.
type targetRun struct {
	startedAt time.Time
	sequence  int64
	draining  bool
	coldUntil time.Time
	address   string
}

// merge merges a registration into the state of its target and returns that state; it returns false if the registration
// belongs to an earlier run. Draining is not undone within one run: an entry written before the drain may arrive late.
func (registry *registry) merge(now time.Time, entry core.TargetEntry) (targetRun, bool) {
	if registry.runs == nil {
		registry.runs = map[string]targetRun{}
	}
	known, found := registry.runs[entry.ID]
	switch {
	case !found || entry.StartedAt.After(known.startedAt):
		known = targetRun{startedAt: entry.StartedAt, sequence: -1}
	case entry.StartedAt.Before(known.startedAt):
		return known, false
	}
	if entry.Sequence > known.sequence || entry.ColdTimeLeft > 0 && entry.Sequence == known.sequence && known.coldUntil.IsZero() {
		known.coldUntil = time.Time{}
		if entry.ColdTimeLeft > 0 {
			known.coldUntil = now.Add(entry.ColdTimeLeft)
		}
	}
	known.sequence = max(known.sequence, entry.Sequence)
	known.draining = known.draining || entry.Draining
	known.address = entry.Address
	registry.runs[entry.ID] = known
	return known, true
}

// has reports whether a target is registered.
func (registry *registry) has(id string) bool {
	_, found := registry.runs[id]
	return found
}

// removeAbsent removes targets that are not in present.
func (registry *registry) removeAbsent(present map[string]bool) {
	for id := range registry.runs {
		if !present[id] {
			delete(registry.runs, id)
		}
	}
}
