package reach

import "time"

const (
	window        = 2 * time.Second // age up to which a result counts
	minFailed     = 2               // targets that must have failed for a suspicion; a single one may have crashed
	minProbed     = 3               // targets that somebody must reach for a judgement
	lostShare     = 0.6             // share of the probes that must fail for that
	returnedShare = 0.6             // share that must succeed for the paths to be back
	returnRounds  = 2               // consecutive rounds in which they must, so that a path that comes and goes is not used
)

// Paths judges the paths of one daemon to the targets; the zero value has not lost them. It is not safe for concurrent use.
//
// It is made for a partition between a daemon and most targets, of which only some requests tell at first.
type Paths struct {
	results    map[string]result // newest one by target
	lost       bool
	goodRounds int
	changedAt  time.Time
}

type result struct {
	at      time.Time
	reached bool
}

// Observe records that a target was reached, or that it was not.
func (paths *Paths) Observe(now time.Time, target string, reached bool) {
	if paths.results == nil {
		paths.results = map[string]result{}
	}
	for known, old := range paths.results {
		if now.Sub(old.at) > window {
			delete(paths.results, known)
		}
	}
	paths.results[target] = result{at: now, reached: reached}
}

// Suspect reports whether probes should find out if the paths are lost: the newest results of several targets are failures, and they are
// at least as many as those that were reached.
func (paths *Paths) Suspect(now time.Time) bool {
	failed, reached := 0, 0
	for _, result := range paths.results {
		switch {
		case now.Sub(result.at) > window:
		case result.reached:
			reached++
		default:
			failed++
		}
	}
	return failed >= minFailed && failed >= reached
}

// Judge applies a round of probes of random targets, of which this daemon reached some and only others reached some more, and reports
// whether the judgement has changed. A target that nobody reaches says nothing about the paths.
func (paths *Paths) Judge(now time.Time, reached, onlyOthers int) bool {
	before := paths.lost
	probed := reached + onlyOthers
	share := float64(reached) / float64(max(probed, 1))
	switch {
	case probed < minProbed:
	case !paths.lost:
		paths.lost, paths.goodRounds = 1-share >= lostShare, 0
	case share >= returnedShare:
		if paths.goodRounds++; paths.goodRounds >= returnRounds {
			paths.lost, paths.results = false, nil
		}
	default:
		paths.goodRounds = 0
	}
	if paths.lost != before {
		paths.changedAt = now
	}
	return paths.lost != before
}

// Lost reports whether the paths are lost.
func (paths *Paths) Lost() bool { return paths.lost }

// LostSince reports whether the paths are lost or were at some time since the given one.
func (paths *Paths) LostSince(since time.Time) bool {
	return paths.lost || paths.changedAt.After(since)
}
