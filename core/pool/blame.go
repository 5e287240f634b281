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
		known = &suspicion{}
		blame.suspicions[fingerprint] = known
	}
	if known.state != core.SuspectNone && !known.passed {
		return
	}
	*known = suspicion{state: core.SuspectAlone, since: now, here: true}
}

// newContent notes a request of a failed target with the present finding.
func (blame *blame) newContent(entry *entry) content {
	found := content{fingerprint: entry.fingerprint, alone: entry.alone}
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
		if content.alone {
			known := blame.suspicions[content.fingerprint]
			known.state, known.since, known.here = core.SuspectQuarantined, now, true
			quarantined++
		}
	}
	blame.crashes = append(blame.crashes, crash)
	blame.forgiveCorrelated()
	return quarantined
}

// forgiveCorrelated takes back the findings of crashes that coincide on several targets with different contents.
//
// A content that was on two of the crashed targets stays suspect.
func (blame *blame) forgiveCorrelated() {
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
	if len(crashedTargets) < correlatedTargets {
		return
	}
	for _, crash := range blame.crashes {
		for _, content := range crash.contents {
			if crashesOf[content.fingerprint] == 1 {
				blame.restore(content)
			}
		}
	}
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

func (blame *blame) restore(content content) {
	known := blame.suspicions[content.fingerprint]
	if known == nil {
		return
	}
	if content.before.state == core.SuspectNone {
		delete(blame.suspicions, content.fingerprint)
		return
	}
	running := known.running
	*known = content.before
	known.running = running
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
	*known = suspicion{state: core.SuspectNone, since: now, here: true}
}

func (blame *blame) expire(now time.Time) {
	for fingerprint, known := range blame.suspicions {
		if now.Sub(known.since) >= quarantineFor {
			delete(blame.suspicions, fingerprint)
		}
	}
}

// learn takes a finding of another daemon over when it is newer, or graver at the same time.
func (blame *blame) learn(now time.Time, finding core.Suspect) {
	since := now.Add(-finding.Age)
	if finding.Age >= quarantineFor {
		return
	}
	known := blame.suspicions[finding.Fingerprint]
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
