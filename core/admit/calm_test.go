package admit_test

import (
	"cmp"
	"testing"
	"time"
)

// TestCalmDeskReplay guards against callers that are rejected, and late for that reason alone, while nobody competes for the targets: the longest chain of
// the least urgent route takes four fifths of its latency objective, as much as the margins for more urgent routes leave it.
//
// The goal is that no route is served in time in fewer than 85 of 100 cases.
func TestCalmDeskReplay(t *testing.T) {
	for _, test := range []struct {
		name  string
		stock int
	}{{"all targets", 5}, {"one target lost", 4}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			desk := smallDesk().withTargets("stock", test.stock)
			desk.engineTime = 450 * time.Millisecond
			sums := runSeeds(desk, nil, 4)
			for name, sum := range sums {
				t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
				if inTime := float64(sum.inTime) / float64(sum.asked); inTime < 0.85 {
					t.Errorf("%.4f of the requests of route %q are in time, goal 0.85", inTime, name)
				}
			}
		})
	}
}
