package reach

import (
	"cmp"
	"slices"
	"time"
)

const (
	window        = 2 * time.Second        // age up to which a failure counts
	silence       = 600 * time.Millisecond // time without a byte after which a target that works on a request is silent
	minUnreached  = 2                      // targets that must be silent or have failed for a suspicion; a single one may have crashed
	minProbed     = 3                      // targets that somebody must reach for a judgement
	lostShare     = 0.6                    // share of the probes that must fail for that
	returnedShare = 0.6                    // share of the probes of a round that must succeed for the paths to be back
	returnRounds  = 2                      // consecutive rounds in which they must, so that a path that comes and goes is not used
	pooledShare   = 0.75                   // share of the probes of the newest rounds together that must succeed as well
	pooledRounds  = 4                      // number of these rounds: one or two often meet mostly reached targets while a third of all is

	postponement = 4 // rounds for which a target that nobody reaches is passed over for others
)

// Paths judges the paths of one daemon to the targets; the zero value has not lost them. It is not safe for concurrent use.
//
// It is made for a partition between a daemon and most targets, of which only some requests tell at first.
type Paths struct {
	targets    map[string]*contact
	lost       bool
	goodRounds int
	changedAt  time.Time
	rounds     int            // rounds of probes so far
	probedIn   map[string]int // newest round in which a target was chosen
	recent     [][]Probe      // newest rounds since the paths were lost
	doubtedAt  time.Time      // newest round, if a target was reached only by others in it
}

// Probe is the result of a connection to a target, which other daemons try as well if this one fails.
type Probe struct {
	Target        string
	Reached       bool
	OthersReachIt bool
}

// contact is what a daemon has seen of a target.
type contact struct {
	waits    []*Wait // oldest first
	heardAt  time.Time
	failedAt time.Time
}

// Wait is a request that a target works on.
type Wait struct {
	target string
	since  time.Time
}

// Begin records that a target gets a request; End ends the wait for it.
func (paths *Paths) Begin(now time.Time, target string) *Wait {
	wait := &Wait{target: target, since: now}
	contact := paths.contact(target)
	contact.waits = append(contact.waits, wait)
	return wait
}

// End ends the wait for a target.
func (paths *Paths) End(wait *Wait) {
	contact := paths.contact(wait.target)
	contact.waits = slices.DeleteFunc(contact.waits, func(other *Wait) bool { return other == wait })
}

// Observe records that a target was reached, or that it was not.
func (paths *Paths) Observe(now time.Time, target string, reached bool) {
	contact := paths.contact(target)
	if reached {
		contact.heardAt = now
	} else {
		contact.failedAt = now
	}
}

func (paths *Paths) contact(target string) *contact {
	if paths.targets == nil {
		paths.targets = map[string]*contact{}
	}
	known := paths.targets[target]
	if known == nil {
		known = &contact{}
		paths.targets[target] = known
	}
	return known
}

// Suspect reports whether probes should find out if the paths are lost: several targets are silent or have failed, and they are at least
// as many as those that were heard lately, or only others reached a target in the newest round. Requests go on at the targets that are
// reached, and may tell nothing of the rest.
func (paths *Paths) Suspect(now time.Time) bool {
	unreached, reached := 0, 0
	for target, contact := range paths.targets {
		switch {
		case contact.isSilent(now) || contact.hasFailed(now):
			unreached++
		case now.Sub(contact.heardAt) <= silence:
			reached++
		case len(contact.waits) == 0 && now.Sub(contact.heardAt) > window:
			delete(paths.targets, target)
		}
	}
	return unreached >= minUnreached && unreached >= reached || now.Sub(paths.doubtedAt) <= window
}

func (contact *contact) isSilent(now time.Time) bool {
	return len(contact.waits) > 0 && now.Sub(contact.waits[0].since) > silence && now.Sub(contact.heardAt) > silence
}

func (contact *contact) hasFailed(now time.Time) bool {
	return contact.failedAt.After(contact.heardAt) && now.Sub(contact.failedAt) <= window
}

// Choose returns some of the targets for the next round of probes: those that were probed longest ago, in random order.
func (paths *Paths) Choose(targets []string, count int, shuffle func(count int, swap func(i, j int))) []string {
	chosen := slices.Clone(targets)
	shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
	slices.SortStableFunc(chosen, func(a, b string) int { return cmp.Compare(paths.probedIn[a], paths.probedIn[b]) })
	probedIn := make(map[string]int, len(targets))
	for _, target := range targets {
		probedIn[target] = paths.probedIn[target]
	}
	chosen = chosen[:min(len(chosen), count)]
	paths.rounds++
	for _, target := range chosen {
		probedIn[target] = paths.rounds
	}
	paths.probedIn = probedIn
	return chosen
}

// Judge applies a round of probes, and reports whether the judgement has changed. A target that nobody reaches says nothing about the paths.
func (paths *Paths) Judge(now time.Time, round []Probe) bool {
	before := paths.lost
	probed, share := summarise(round)
	paths.doubtedAt = time.Time{}
	if slices.ContainsFunc(round, func(probe Probe) bool { return !probe.Reached && probe.OthersReachIt }) {
		paths.doubtedAt = now
	}
	switch {
	case probed < minProbed:
		paths.postpone(round)
	case !paths.lost:
		paths.lost, paths.goodRounds, paths.recent = 1-share >= lostShare, 0, nil
	default:
		paths.recent = append(paths.recent[max(len(paths.recent)-pooledRounds+1, 0):], round)
		if share < returnedShare {
			paths.goodRounds = 0
			break
		}
		paths.goodRounds++
		if _, pooled := summarise(paths.newestProbes()); paths.goodRounds >= returnRounds && pooled >= pooledShare {
			paths.lost = false
			paths.forgetFailures()
		}
	}
	if paths.lost != before {
		paths.changedAt = now
	}
	return paths.lost != before
}

// postpone lets targets that nobody reached in a round wait longer for their next probe than the others. With a number of targets that is a
// multiple of the probes, the same targets would meet in a round each time otherwise, perhaps too few reached ones for a judgement.
func (paths *Paths) postpone(round []Probe) {
	for _, probe := range round {
		if _, known := paths.probedIn[probe.Target]; known && !probe.Reached && !probe.OthersReachIt {
			paths.probedIn[probe.Target] += postponement
		}
	}
}

// newestProbes returns the newest probe of each target in the recent rounds.
func (paths *Paths) newestProbes() []Probe {
	var newest []Probe
	seen := map[string]bool{}
	for _, round := range slices.Backward(paths.recent) {
		for _, probe := range round {
			if !seen[probe.Target] {
				seen[probe.Target] = true
				newest = append(newest, probe)
			}
		}
	}
	return newest
}

// summarise returns how many of the probed targets somebody reaches, and the share of them that this daemon reaches.
func summarise(round []Probe) (probed int, share float64) {
	reached := 0
	for _, probe := range round {
		if probe.Reached {
			reached++
		}
		if probe.Reached || probe.OthersReachIt {
			probed++
		}
	}
	return probed, float64(reached) / float64(max(probed, 1))
}

func (paths *Paths) forgetFailures() {
	for _, contact := range paths.targets {
		contact.failedAt = time.Time{}
	}
}

// Lost reports whether the paths are lost.
func (paths *Paths) Lost() bool { return paths.lost }

// LostSince reports whether the paths are lost or were at some time since the given one.
func (paths *Paths) LostSince(since time.Time) bool {
	return paths.lost || paths.changedAt.After(since)
}
