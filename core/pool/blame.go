package pool

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
)

const (
	// quarantineFor is how long a content that crashed a target alone is refused, and how long findings are kept.
	quarantineFor = 10 * time.Minute
	// correlationWindow and correlatedTargets tell a failed rack from a content that crashes targets.
	correlationWindow = 2 * time.Second
	correlatedTargets = 3
	// resolveWithin is how long broken connections wait for a load report that tells whether the target crashed.
	resolveWithin = time.Second
	// clockTolerance covers the rounding of ages when findings pass between daemons.
	clockTolerance = 100 * time.Millisecond
	// clearedFor is how long a cleared content is kept, so that other daemons learn that it is cleared.
	clearedFor = 30 * time.Second
	// mostSuspicions bounds the memory when very many connections break, to about 1 MB.
	mostSuspicions = 8192
	// mostReported bounds the findings in one heartbeat.
	mostReported = 256
)

// suspicion is what is known about one content.
type suspicion struct {
	state   core.SuspectState
	since   time.Time
	here    bool // found in this pool
	passed  bool // finished alone in this pool, but was found elsewhere
	running bool // runs alone at present, or its broken connection is not yet explained
}

// content is one request that was on a target when it failed.
type content struct {
	grant       core.GrantID
	fingerprint core.Fingerprint
	alone       bool
	before      suspicion // to go back to when nobody is blamed
}

// incident is a broken connection that may turn out to be a crash.
type incident struct {
	target   core.TargetName
	at       time.Time
	contents []content
}

// blame attributes crashes to contents.
type blame struct {
	targets    int // of the pool
	suspicions map[core.Fingerprint]*suspicion
	crashes    []*incident // of the last correlationWindow
}

// state returns how a content is to be treated in this pool.
func (blame *blame) state(fingerprint core.Fingerprint) core.SuspectState {
	known := blame.suspicions[fingerprint]
	if known == nil || (known.passed && known.state == core.SuspectAlone) {
		return core.SuspectNone
	}
	return known.state
}

// openFor returns how long further crashes may still show that the content is not to blame.
func (blame *blame) openFor(now time.Time, fingerprint core.Fingerprint) time.Duration {
	known := blame.suspicions[fingerprint]
	if known == nil || !known.here {
		return 0
	}
	return known.since.Add(correlationWindow).Sub(now)
}

func (blame *blame) isRunning(fingerprint core.Fingerprint) bool {
	known := blame.suspicions[fingerprint]
	return known != nil && known.running
}

func (blame *blame) run(fingerprint core.Fingerprint) {
	if known := blame.suspicions[fingerprint]; known != nil {
		known.running = true
	}
}

func (blame *blame) stop(fingerprint core.Fingerprint) {
	if known := blame.suspicions[fingerprint]; known != nil {
		known.running = false
	}
}

func (blame *blame) stopRunning() {
	for _, known := range blame.suspicions {
		known.running = false
	}
}

// suspect makes a content run alone from now on; a quarantined one stays so.
func (blame *blame) suspect(now time.Time, fingerprint core.Fingerprint) {
	known := blame.suspicions[fingerprint]
	if known == nil {
		if len(blame.suspicions) >= mostSuspicions {
			return
		}
		known = &suspicion{}
		blame.suspicions[fingerprint] = known
	}
	if known.state != core.SuspectNone && !known.passed {
		return
	}
	*known = newSuspicion(core.SuspectAlone, now)
}

// newContent notes a request of a failed target with the present finding.
func (blame *blame) newContent(entry *entry) content {
	found := content{grant: entry.id, fingerprint: entry.fingerprint, alone: entry.alone}
	if known := blame.suspicions[entry.fingerprint]; known != nil {
		found.before = *known
		found.before.running = false
	}
	return found
}

// crashed blames the contents of a crashed target, or nobody when several targets crash at the same time.
func (blame *blame) crashed(now time.Time, crash *incident) (quarantined int) {
	for _, content := range crash.contents {
		blame.suspect(now, content.fingerprint)
		blame.stop(content.fingerprint)
		if known := blame.suspicions[content.fingerprint]; content.alone && known != nil {
			known.state, known.since, known.here = core.SuspectQuarantined, now, true
			quarantined++
		}
	}
	blame.crashes = append(blame.crashes, crash)
	blame.forgiveCorrelated(now)
	return quarantined
}

// forgiveCorrelated takes back the findings of crashes that coincide on several targets with different contents.
//
// A content that was on all targets but one stays suspect; one that was on all of them stays as it was found. Others
// were on two targets of the failed rack because they were repeated.
func (blame *blame) forgiveCorrelated(now time.Time) {
	latest := blame.crashes[0].at
	for _, crash := range blame.crashes {
		latest = later(latest, crash.at)
	}
	blame.crashes = slices.DeleteFunc(blame.crashes, func(crash *incident) bool {
		return latest.Sub(crash.at) > correlationWindow
	})
	crashedTargets := map[core.TargetName]bool{}
	crashesOf := map[core.Fingerprint]int{}
	for _, crash := range blame.crashes {
		crashedTargets[crash.target] = true
		for fingerprint := range crash.fingerprints() {
			crashesOf[fingerprint]++
		}
	}
	needed := blame.correlated()
	if len(crashedTargets) < needed {
		return
	}
	// The latest crash is taken back first, so that the finding before the first one is left.
	for _, crash := range slices.Backward(blame.crashes) {
		for _, content := range crash.contents {
			unexplained := len(crashedTargets) - crashesOf[content.fingerprint]
			switch {
			case unexplained >= needed-1:
				blame.restore(now, content)
			case unexplained > 0:
				blame.suspectOnly(content.fingerprint)
			}
		}
	}
}

// correlated returns how many targets have to crash for a failure of the rack; a pool of two targets has no third.
func (blame *blame) correlated() int {
	if blame.targets == 2 {
		return 2
	}
	return correlatedTargets
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (crash *incident) fingerprints() map[core.Fingerprint]bool {
	fingerprints := make(map[core.Fingerprint]bool, len(crash.contents))
	for _, content := range crash.contents {
		fingerprints[content.fingerprint] = true
	}
	return fingerprints
}

// restore goes back to the finding before a crash.
func (blame *blame) restore(now time.Time, content content) {
	known := blame.suspicions[content.fingerprint]
	if known == nil {
		return
	}
	if content.before.state == core.SuspectNone {
		known.clear(now)
		return
	}
	running := known.running
	*known = content.before
	known.running = running
}

// clear makes the content unsuspected, in a way that other daemons take over.
func (suspicion *suspicion) clear(now time.Time) {
	if suspicion.state == core.SuspectNone {
		return
	}
	running := suspicion.running
	*suspicion = newSuspicion(core.SuspectNone, later(now, suspicion.since.Add(2*clockTolerance)))
	suspicion.running = running
}

func newSuspicion(state core.SuspectState, since time.Time) suspicion {
	return suspicion{state: state, since: since, here: true}
}

// suspectOnly ends the quarantine of a content, which then runs alone.
func (blame *blame) suspectOnly(fingerprint core.Fingerprint) {
	known := blame.suspicions[fingerprint]
	if known != nil && known.state == core.SuspectQuarantined {
		known.state = core.SuspectAlone
	}
}

// finishedAlone clears a content that did not crash the target on which it ran alone.
func (blame *blame) finishedAlone(now time.Time, fingerprint core.Fingerprint) {
	known := blame.suspicions[fingerprint]
	if known == nil || known.state != core.SuspectAlone {
		return
	}
	if !known.here {
		known.passed = true
		return
	}
	known.clear(now)
}

func (blame *blame) expire(now time.Time) {
	for fingerprint, known := range blame.suspicions {
		age := now.Sub(known.since)
		if age >= quarantineFor || (known.state == core.SuspectNone && age >= clearedFor) {
			delete(blame.suspicions, fingerprint)
		}
	}
}

// learn takes a finding of another daemon over when it is newer, or graver at the same time.
func (blame *blame) learn(now time.Time, finding core.Suspect) {
	since := now.Add(-finding.Age)
	known := blame.suspicions[finding.Fingerprint]
	if finding.Age >= quarantineFor || (known == nil && len(blame.suspicions) >= mostSuspicions) {
		return
	}
	if known == nil {
		blame.suspicions[finding.Fingerprint] = &suspicion{state: finding.State, since: since}
		return
	}
	newer := since.Sub(known.since) > clockTolerance
	graver := finding.State > known.state && since.Sub(known.since) >= -clockTolerance
	if newer || graver {
		changed := known.state != finding.State
		known.state, known.since = finding.State, since
		known.here = known.here && !changed
		known.passed = known.passed && !changed
	}
}

// reported returns the newest findings for a heartbeat; a cleared content is reported with SuspectNone.
func (blame *blame) reported(now time.Time) []core.Suspect {
	suspects := make([]core.Suspect, 0, len(blame.suspicions))
	for fingerprint, known := range blame.suspicions {
		age := max(0, now.Sub(known.since))
		suspects = append(suspects, core.Suspect{Fingerprint: fingerprint, State: known.state, Age: age})
	}
	slices.SortFunc(suspects, func(a, b core.Suspect) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return suspects[:min(len(suspects), mostReported)]
}
