package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestPacedRequests guards against a limited target that gets more in any 4 s than one and a half times its limit and 5 requests, for
// any load and any change of the limit that is not above it, and against one that gets nothing.
func TestPacedRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0, 50).Draw(t, "rate")
		gap := time.Duration(rapid.IntRange(1, 300).Draw(t, "gap")) * time.Millisecond
		maxWait := time.Duration(rapid.IntRange(0, 3000).Draw(t, "maxWait")) * time.Millisecond
		var table Table
		now := start
		table.Observe(Evidence{Target: "a", Named: true, Rate: rate, At: now})
		var sent []time.Time
		for end := now.Add(12 * time.Second); now.Before(end); now = now.Add(gap) {
			if rapid.IntRange(0, 9).Draw(t, "again") == 0 { // named again, sometimes lower
				table.Observe(Evidence{Target: "a", Named: true, Rate: rate * float64(rapid.IntRange(1, 2).Draw(t, "half")) / 2, At: now})
			}
			if wait, granted := table.Take(now, "a", maxWait); granted {
				sent = append(sent, now.Add(wait))
			}
		}
		checkRate(t, sent, rate)
		if len(sent) == 0 {
			t.Fatalf("no request in 12 s with a limit of %v", rate)
		}
	})
}

// checkRate fails if more requests were sent in any 4 s than one and a half times the limit and 5.
func checkRate(t *rapid.T, sent []time.Time, rate float64) {
	for i, from := range sent {
		count := 0
		for _, at := range sent[i:] {
			if at.Sub(from) <= 4*time.Second {
				count++
			}
		}
		if float64(count) > 1.5*rate*4+5 {
			t.Fatalf("%d requests in 4 s with a limit of %v", count, rate)
		}
	}
}

// TestReservations guards against requests that wait although they cannot be sent in time, against two that are promised the same
// time, and against a refused one that delays others.
func TestReservations(t *testing.T) {
	var table Table
	table.Observe(Evidence{Target: "a", Named: true, Rate: 2, At: at(0)})
	tests := []struct {
		at, maxWait, wait float64 // seconds
		granted           bool
	}{
		{0, 0, 0.5, false}, // another daemon may have sent just before
		{0, 1, 0.5, true},
		{0, 1, 1, true},
		{0, 1, 1.5, false},
		{0.1, 1, 1.4, false},
		{0.6, 1, 0.9, true},
		{10, 0, 0, true},
		{10, 0, 0.25, false}, // one and a quarter of a second's worth may be sent at once
	}
	for i, test := range tests {
		wait, granted := table.Take(at(test.at), "a", time.Duration(test.maxWait*float64(time.Second)))
		if difference := wait.Seconds() - test.wait; granted != test.granted || difference > 0.001 || difference < -0.001 {
			t.Errorf("request %d: %v, %v; want %v s, %v", i, wait, granted, test.wait, test.granted)
		}
	}
	if wait, granted := table.Take(at(10), "b", 0); wait != 0 || !granted {
		t.Errorf("target without a limit: %v, %v", wait, granted)
	}
}

// TestSweep guards against a limit that is forgotten while its target gets no requests, after which all daemons would send at once.
func TestSweep(t *testing.T) {
	var table Table
	for _, target := range []string{"registered", "gone", "lifted"} {
		table.Observe(Evidence{Target: target, Named: true, Rate: 1, At: at(0)})
	}
	table.Observe(Evidence{Target: "lifted", At: at(1)})
	table.Sweep(at(600), func(target string) bool { return target != "gone" })
	if _, limited := table.Rate("registered"); !limited || len(table.states) != 1 {
		t.Errorf("kept %v", table.states)
	}
}

// TestRelayedEvidence guards against statuses that carry what other daemons have seen from daemon to daemon, which never ends.
func TestRelayedEvidence(t *testing.T) {
	var table Table
	table.Observe(Evidence{Target: "seen", Named: true, Rate: 1, At: at(0)})
	table.Merge(Evidence{Target: "heard", Named: true, Rate: 1, At: at(0)})
	table.Merge(Evidence{Target: "seen again by another", Named: true, Rate: 1, At: at(0)})
	table.Observe(Evidence{Target: "seen again by another", Named: true, Rate: 2, At: at(1)})
	if own, all, some := table.Evidence(false, 9), table.Evidence(true, 9), table.Evidence(true, 2); len(own) != 2 || len(all) != 3 || len(some) != 2 {
		t.Errorf("%d of %d, %d of at most 2", len(own), len(all), len(some))
	}
}
