package batch

import (
	"testing"
	"time"

	"catkincove/core"
)

// TestRepeats guards against a second copy of a response that is taken for the response to another call.
func TestRepeats(t *testing.T) {
	done := func(handles ...string) []core.PieceResult {
		var results []core.PieceResult
		for _, handle := range handles {
			results = append(results, core.PieceResult{Handle: handle})
		}
		return results
	}
	var repeats Repeats
	for _, test := range []struct {
		name     string
		after    time.Duration
		results  []core.PieceResult
		repeated bool
	}{
		{"first", 0, done("a", "b"), false},
		{"other handles", time.Second, done("c", "d"), false},
		{"copy", 2 * time.Second, done("a", "b"), true},
		{"copy of a part", 3 * time.Second, done("x", "d"), true},
		{"no handles", 4 * time.Second, []core.PieceResult{{Fault: core.PieceNoRoom}}, false},
		{"no handles again", 5 * time.Second, []core.PieceResult{{Fault: core.PieceNoRoom}}, false},
		{"copy after a rotation", RepeatsRetention + time.Second, done("c", "d"), true},
		{"same name long after", time.Minute, done("e"), false},
		{"handle of an expired response", 2 * time.Minute, done("a"), false},
	} {
		if repeated := repeats.Add(start.Add(test.after), test.results); repeated != test.repeated {
			t.Errorf("%s: repeated %v", test.name, repeated)
		}
	}
}
