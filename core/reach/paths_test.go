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
			for _, round := range test.rounds {
				paths.Judge(now, round[0], round[1])
			}
			if paths.Lost() != test.lost {
				t.Errorf("lost %v", paths.Lost())
			}
		})
	}
}
