package admit_test

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// TestReturnsReplay guards against callers that wait for a share of their time limit, 4 to 7 s, although the queue that they were turned away for has drained
// long before.
//
// The goal is that after a burst of a second at most 99 in 100 of those that were turned away are answered within a quarter of their 20 s, and that nobody is
// turned away for good.
func TestReturnsReplay(t *testing.T) {
	const goal = 5 * time.Second
	for _, test := range []struct {
		name   string
		bursts []burst
	}{
		{"one second of the least urgent route", []burst{{"chat", 5 * time.Second, 6 * time.Second, 6}}},
		{"a crowd of the least urgent route", []burst{{"chat", 5 * time.Second, 5500 * time.Millisecond, 12}}},
		{"a crowd of all", []burst{{"", 5 * time.Second, 5500 * time.Millisecond, 3.2}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var visits []*visit
			for seed := range uint64(6) {
				visits = append(visits, run(smallDesk(), test.bursts, 100+seed)...)
			}
			sums := tallies(visits)
			for name, sum := range sums {
				t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
			}
			var times []time.Duration
			for _, visit := range visits {
				if visit.attempts > 1 && !visit.failed {
					times = append(times, visit.respondedAt.Sub(visit.arrivedAt))
				}
			}
			slices.Sort(times)
			if sums[""].refused > 0 {
				t.Errorf("%d callers are turned away for good", sums[""].refused)
			}
			if len(times) == 0 {
				t.Fatal("nobody was turned away")
			}
			if p99 := times[len(times)*99/100]; p99 > goal {
				t.Errorf("99 in 100 of %d callers that return are answered within %v, goal %v", len(times), p99, goal)
			}
		})
	}
}
