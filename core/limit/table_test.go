package limit

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// TestEvidence guards against a limit that is lifted by a response which was begun before the target named it, by an older
// report or by an earlier run of the target, and against one that outlives its run.
func TestEvidence(t *testing.T) {
	named := func(rate, seconds float64) Evidence {
		return Evidence{Target: "a", Named: true, Rate: rate, At: at(seconds)}
	}
	none := func(seconds float64) Evidence { return Evidence{Target: "a", At: at(seconds)} }
	nextRun := func(evidence Evidence) Evidence { evidence.StartedAt = at(5); return evidence }
	tests := []struct {
		name     string
		evidence []Evidence
		rate     float64
		limited  bool
	}{
		{"never named", []Evidence{none(1)}, 0, false},
		{"named", []Evidence{named(2, 1)}, 2, true},
		{"named again with another rate", []Evidence{named(2, 1), named(0.5, 2)}, 0.5, true},
		{"older statement", []Evidence{named(2, 2), named(0.5, 1)}, 2, true},
		{"zero", []Evidence{named(0, 1)}, minRate, true},
		{"response to a request sent before", []Evidence{named(2, 2), none(1.9)}, 2, true},
		{"response to a request sent after", []Evidence{named(2, 2), none(2.1)}, 0, false},
		{"named again later", []Evidence{named(2, 2), none(2.1), named(3, 4)}, 3, true},
		{"next run", []Evidence{named(2, 2), nextRun(none(6))}, 0, false},
		{"response of an earlier run", []Evidence{nextRun(named(2, 6)), none(7)}, 2, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			for _, evidence := range test.evidence {
				table.Observe(evidence)
			}
			if rate, limited := table.Rate("a"); rate != test.rate || limited != test.limited {
				t.Errorf("limit %v, %v; want %v, %v", rate, limited, test.rate, test.limited)
			}
		})
	}
}
