package admit_test

import (
	"cmp"
	"testing"
	"time"
)

// TestUrgentRouteReplay guards against a burst of the least urgent route that makes the most urgent one late: its jobs were due earlier, so that it waited for them, and was
// turned away for them.
//
// The goal is that 99 in 100 of the most urgent route's requests are in time, and that the burst costs no other route its floor of one half.
func TestUrgentRouteReplay(t *testing.T) {
	for _, test := range []struct {
		name  string
		burst burst
	}{
		{"one second", burst{"chat", 5 * time.Second, 6 * time.Second, 6}},
		{"a crowd", burst{"chat", 5 * time.Second, 5500 * time.Millisecond, 12}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var visits []*visit
			for seed := range uint64(6) {
				visits = append(visits, run(smallDesk(), []burst{test.burst}, 200+seed)...)
			}
			for name, sum := range tallies(visits) {
				t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
				inTime, goal := float64(sum.inTime)/float64(sum.asked), 0.5
				if name == "check" {
					goal = 0.99
				}
				if inTime < goal {
					t.Errorf("%.4f of the requests of route %q are in time, goal %.2f", inTime, name, goal)
				}
			}
		})
	}
}
