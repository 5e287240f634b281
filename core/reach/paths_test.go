package reach

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSuspect guards against crashed targets that are taken for lost paths, and against a partition that is not noticed.
func TestSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name            string
		failed, reached int
		age             time.Duration
		want            bool
	}{
		{"nothing", 0, 0, 0, false},
		{"one crashed target", 1, 0, 0, false},
		{"some of many crashed", 3, 12, 0, false},
		{"two failed, none was reached", 2, 0, 0, true},
		{"most failed", 8, 3, 0, true},
		{"old failures", 8, 0, 3 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var paths Paths
			for i := range test.failed {
				paths.Observe(now, fmt.Sprint("failed", i), false)
			}
			for i := range test.reached {
				paths.Observe(now, fmt.Sprint("reached", i), true)
			}
			if got := paths.Suspect(now.Add(test.age)); got != test.want {
				t.Errorf("suspect %v", got)
			}
		})
	}
}

// TestPartialSilence guards against a partition that is noticed only when its connections time out, because some targets are still
// reached: the third cut of the day "cut" on gw-wien was noticed after 3.9 s.
func TestPartialSilence(t *testing.T) {
	const (
		targets = 36
		contact = 3 * time.Second        // time after the beginning of a cut from which callers must be served
		round   = time.Second            // longest round of probes
		gap     = 100 * time.Millisecond // between requests
		latency = 60 * time.Millisecond
	)
	for _, test := range []struct {
		name        string
		reachable   int
		streaming   bool // open streams with an event each 30 ms at all targets when the cut begins
		wantSuspect bool
	}{
		{"no path is cut", targets, false, false},
		{"no path is cut, open streams", targets, true, false},
		{"one silent target", targets - 1, false, false},
		{"five of 36 are reached", 5, false, true},
		{"five of 36 are reached, open streams", 5, true, true},
		{"none is reached", 0, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var paths Paths
			start := time.Unix(1000, 0)
			replies := map[time.Time][]func(now time.Time){}
			suspectAt := time.Duration(-1)
			for since := -2 * time.Second; since < contact-round; since += 10 * time.Millisecond {
				now := start.Add(since)
				for _, reply := range replies[now] {
					reply(now)
				}
				delete(replies, now)
				name := func(i int) string { return fmt.Sprint("target", i) }
				if test.streaming {
					for i := range targets {
						if since == -2*time.Second {
							paths.Begin(now, name(i))
						}
						if (since < 0 || i < test.reachable) && since%(30*time.Millisecond) == 0 {
							paths.Observe(now, name(i), true)
						}
					}
				}
				if since%gap == 0 {
					target := random.IntN(targets)
					wait := paths.Begin(now, name(target))
					if since < 0 || target < test.reachable {
						at := now.Add(latency)
						replies[at] = append(replies[at], func(now time.Time) {
							paths.End(wait)
							paths.Observe(now, name(target), true)
						})
					}
				}
				if suspectAt < 0 && paths.Suspect(now) {
					suspectAt = since
				}
			}
			if suspect := suspectAt >= 0; suspect != test.wantSuspect {
				t.Errorf("suspect %v", suspect)
			}
			t.Logf("suspect after %v", suspectAt)
		})
	}
}

// TestJudge guards against paths that count as lost after few probes or while most targets are reached, and against a judgement that
// changes back and forth while a path comes and goes.
func TestJudge(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name   string
		rounds [][2]int // reached, reached by others only
		lost   bool
	}{
		{"few probes", [][2]int{{0, 2}}, false},
		{"nobody reaches the targets", [][2]int{{0, 0}}, false},
		{"only others reach them", [][2]int{{0, 5}}, true},
		{"one of five is reached", [][2]int{{1, 4}}, true},
		{"half are reached", [][2]int{{3, 3}}, false},
		{"one good round", [][2]int{{0, 5}, {5, 0}}, true},
		{"two good rounds", [][2]int{{0, 5}, {5, 0}, {4, 1}}, false},
		{"good and bad rounds", [][2]int{{0, 5}, {5, 0}, {1, 4}, {5, 0}}, true},
		{"the paths return while most targets are down", [][2]int{{0, 5}, {3, 0}, {3, 0}}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var paths Paths
			targets := 0
			for _, round := range test.rounds {
				var probes []Probe
				for i := range round[0] + round[1] {
					probes = append(probes, Probe{Target: fmt.Sprint("target", targets), Reached: i < round[0], OthersReachIt: true})
					targets++
				}
				paths.Judge(now, probes)
			}
			if paths.Lost() != test.lost {
				t.Errorf("lost %v", paths.Lost())
			}
		})
	}
}

// TestPartialCut guards against a daemon that takes its paths for back while it reaches a third of the targets, because a round of probes
// met mostly those: it keeps its callers' requests, gets those of other daemons and takes up the batches of the fleet again, which all
// fail. It also guards against a cut that is noticed too late, or whose end is: after the first round of probes, which another daemon asks
// for, requests go on at the targets that are reached, so that nothing else is suspect.
func TestPartialCut(t *testing.T) {
	const (
		seeds       = 1000
		probes      = 5
		detected    = 3  // rounds of probes until the paths are lost
		cutRounds   = 20 // rounds while they are cut
		returnsIn   = 5  // rounds after the cut until they are back
		mostReached = 3  // one of this many targets is reached during the cut
	)
	for _, targets := range []int{10, 36, 120} {
		t.Run(fmt.Sprint(targets, " targets"), func(t *testing.T) {
			var names []string
			for i := range targets {
				names = append(names, fmt.Sprint("target", i))
			}
			late, returned, lateReturn := 0, 0, 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				var paths Paths
				now := time.Unix(1000, 0)
				reachable := map[string]bool{}
				for _, i := range random.Perm(targets)[:targets/mostReached] {
					reachable[names[i]] = true
				}
				probe := func(cut bool) {
					now = now.Add(500 * time.Millisecond)
					for name := range reachable {
						paths.Observe(now, name, true)
					}
					if paths.rounds > 0 && !paths.Lost() && !paths.Suspect(now) {
						return
					}
					var round []Probe
					for _, name := range paths.Choose(names, probes, random.Shuffle) {
						round = append(round, Probe{Target: name, Reached: !cut || reachable[name], OthersReachIt: true})
					}
					paths.Judge(now, round)
				}
				rounds := 0
				for ; rounds < cutRounds && !paths.Lost(); rounds++ {
					probe(true)
				}
				if rounds > detected {
					late++
				}
				for ; rounds < cutRounds && paths.Lost(); rounds++ {
					probe(true)
				}
				if !paths.Lost() {
					returned++
					continue
				}
				for rounds = 0; rounds < cutRounds && paths.Lost(); rounds++ {
					probe(false)
				}
				if rounds > returnsIn {
					lateReturn++
				}
			}
			t.Logf("of %d cuts, %d noticed late, %d taken for over, %d whose end is noticed late", seeds, late, returned, lateReturn)
			if late > seeds/50 || returned > seeds/100 || lateReturn > seeds/100 {
				t.Errorf("of %d cuts, %d noticed late, %d taken for over, %d whose end is noticed late", seeds, late, returned, lateReturn)
			}
		})
	}
}

// TestJudgedBesideTargetsThatNobodyReaches guards against lost paths that are never noticed, or never taken for back, because the targets that
// somebody reaches are spread over rounds that each meet too few of them for a judgement, the same ones each time.
func TestJudgedBesideTargetsThatNobodyReaches(t *testing.T) {
	const (
		seeds    = 500
		probes   = 5
		maxTaken = 25 // rounds, ten seconds
	)
	for _, test := range []struct{ targets, alive int }{{8, 3}, {10, 3}, {10, 4}, {15, 4}, {15, 6}, {20, 4}} {
		t.Run(fmt.Sprint(test.alive, " of ", test.targets), func(t *testing.T) {
			var names []string
			for i := range test.targets {
				names = append(names, fmt.Sprint("target", i))
			}
			unnoticed, notBack := 0, 0
			for seed := range uint64(seeds) {
				random := rand.New(rand.NewPCG(seed, 1))
				var paths Paths
				now := time.Unix(1000, 0)
				alive := map[string]bool{}
				for _, i := range random.Perm(test.targets)[:test.alive] {
					alive[names[i]] = true
				}
				judgedAs := func(lost bool) bool {
					for range maxTaken {
						now = now.Add(400 * time.Millisecond)
						var round []Probe
						for _, name := range paths.Choose(names, probes, random.Shuffle) {
							round = append(round, Probe{Target: name, Reached: alive[name] && !lost, OthersReachIt: alive[name]})
						}
						if paths.Judge(now, round); paths.Lost() == lost {
							return true
						}
					}
					return false
				}
				if !judgedAs(true) {
					unnoticed++
					paths.lost = true
				}
				if !judgedAs(false) {
					notBack++
				}
			}
			if unnoticed > 0 || notBack > 0 {
				t.Errorf("of %d cuts, %d are not noticed and the end of %d is not, in %d rounds each", seeds, unnoticed, notBack, maxTaken)
			}
		})
	}
}
