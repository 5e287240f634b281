package admit_test

import (
	"cmp"
	"slices"
	"testing"
	"time"
)

// TestLateOrderReplay guards against callers that are turned away for good because late requests with many seconds left go
// before those that are about to fail: all routes burst while two targets of a stage are lost, and their time limits differ.
//
// The goal is that of failures on a day with trouble, 0.5 in 100.
func TestLateOrderReplay(t *testing.T) {
	sums := runSeeds(smallDesk().withTargets("stock", 3), []burst{{"", 5 * time.Second, 11 * time.Second, 1.8}}, 6)
	for name, sum := range sums {
		t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
	}
	if refused := float64(sums[""].refused) / float64(sums[""].asked); refused > 0.005 {
		t.Errorf("%.4f of the requests are turned away for good, goal 0.005", refused)
	}
}

// TestCrashReplay guards against callers that are turned away for good after all daemons have crashed: those that return were
// rejected once they had waited for a stage for a second, with most of their time left. The targets are then short of
// capacity for seconds, because results of the crashed daemons expire only after their TTL.
//
// The goal is that of a burst with two fifths of the targets of a stage lost: of the requests that arrive in the four seconds after the
// crash fewer than 3 in 100 are turned away for good.
func TestCrashReplay(t *testing.T) {
	const window = 4 * time.Second
	desk := smallDesk()
	desk.crashAt, desk.downFor = 15*time.Second, 500*time.Millisecond
	var visits []*visit
	for seed := range uint64(12) {
		visits = append(visits, run(desk, nil, seed)...)
	}
	visits = slices.DeleteFunc(visits, func(visit *visit) bool {
		sinceCrash := visit.arrivedAt.Sub(replayStart) - desk.crashAt
		return visit.crashed || sinceCrash < 0 || sinceCrash > desk.downFor+window
	})
	sums := tallies(visits)
	for name, sum := range sums {
		t.Logf("%-8s %v", cmp.Or(name, "all"), sum)
	}
	if refused := float64(sums[""].refused) / float64(sums[""].asked); refused > 0.03 {
		t.Errorf("%.4f of the requests are turned away for good, goal 0.03", refused)
	}
}
