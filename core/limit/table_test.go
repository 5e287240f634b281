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

// TestEvidenceAgesOnce guards against a limit that is lifted late or never, because two daemons tell each other of the response that named
// it again and again, each time a little younger.
func TestEvidenceAgesOnce(t *testing.T) {
	const delay = 50 * time.Millisecond // of a status that is cached and sent
	var one, other Table
	one.Observe(Evidence{ID: 1, Target: "a", Named: true, Rate: 1, At: at(0)})
	for range 100 {
		for _, exchange := range [][2]*Table{{&one, &other}, {&other, &one}} {
			for _, evidence := range exchange[0].Evidence(true, 9) {
				evidence.At = evidence.At.Add(delay)
				exchange[1].Merge(evidence)
			}
		}
	}
	one.Observe(Evidence{ID: 2, Target: "a", At: at(0.9)}) // sent after the response that named the limit
	for _, evidence := range one.Evidence(true, 9) {
		other.Merge(evidence)
	}
	for name, table := range map[string]*Table{"one": &one, "other": &other} {
		if _, limited := table.Rate("a"); limited {
			t.Errorf("%s still knows the limit", name)
		}
	}
}

// TestInferBrittle guards against targets of a brittle service that count as sound ones because they have not responded, and against ones whose own newer response, or
// limit, counts for less than that of another target.
func TestInferBrittle(t *testing.T) {
	brittle := func(target string, seconds float64) Evidence {
		return Evidence{ID: uint64(seconds), Target: target, Named: true, Brittle: true, Rate: 4, At: at(seconds)}
	}
	for _, test := range []struct {
		name     string
		evidence []Evidence
		rate     float64 // of target b; 0 if it has no limit
		brittle  bool
	}{
		{"nothing is known", nil, 0, false},
		{"another target is brittle", []Evidence{brittle("a", 1)}, 4, true},
		{"a target of another service is brittle", []Evidence{brittle("z", 1)}, 0, false},
		{"another target is brittle no longer", []Evidence{brittle("a", 1), {ID: 2, Target: "a", At: at(2)}}, 0, false},
		{"another target names a rate", []Evidence{{ID: 1, Target: "a", Named: true, Rate: 3, At: at(1)}}, 0, false},
		{"it has said since that it is not", []Evidence{brittle("b", 1), brittle("a", 1), {ID: 2, Target: "b", At: at(2)}}, 0, false},
		{"it has said before that it is not", []Evidence{brittle("b", 1), {ID: 2, Target: "b", At: at(2)}, brittle("a", 3)}, 4, true},
		{"it names a rate", []Evidence{brittle("a", 2), {ID: 1, Target: "b", Named: true, Rate: 3, At: at(1)}}, 3, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			for _, evidence := range test.evidence {
				table.Observe(evidence)
			}
			runs := []Run{{Target: "a"}, {Target: "b"}, {Target: "c"}}
			table.InferBrittle(runs)
			if again := table.InferBrittle(runs); len(again) > 0 {
				t.Errorf("inferred again: %+v", again)
			}
			evidence, _ := table.Of("b")
			if evidence.Brittle != test.brittle || evidence.Rate != test.rate {
				t.Errorf("evidence %+v", evidence)
			}
		})
	}
}
