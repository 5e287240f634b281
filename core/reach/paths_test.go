package reach

import (
	"fmt"
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
