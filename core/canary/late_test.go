package canary

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"catkincove/core"
)

// TestLateFaults guards against success of a version that is slow only under the load of the last moments before it: what was fast before hid it.
func TestLateFaults(t *testing.T) {
	for _, seed := range []uint64{21, 27, 93, 111} {
		random := rand.New(rand.NewPCG(seed, 11))
		situation := sizes[seed%uint64(len(sizes))]
		situation.slow, situation.load = 3+3*random.Float64(), 0.1+0.7*random.Float64()
		if result := situation.replay(seed); result.phase != core.RolloutRolledBack {
			t.Errorf("seed %d: %+v %+v", seed, situation, result)
		}
	}
}

// TestSettledDaemon guards against a daemon whose last requests to the old version count from the arrival of the report, one interval late.
func TestSettledDaemon(t *testing.T) {
	judge := NewJudge(JudgeOptions{IssuedAt: testStart})
	var recorder Recorder
	recorder.End(testStart, recorder.Begin(testStart, "a", Old), Good)
	for _, after := range []time.Duration{settleTime - 1, settleTime} {
		judge.Add(testStart.Add(after), "a", recorder.Report(testStart.Add(after)), 0)
		if settled := judge.daemons["a"].hasSettled(); settled != (after >= settleTime) {
			t.Errorf("after %v: settled %v", after, settled)
		}
	}
}

// TestMoves guards against routes that move late at a daemon because the grant of that moment was lost.
func TestMoves(t *testing.T) {
	var splitter Splitter
	grant := Grant{Sequence: 1, Share: 0.001, For: time.Second, Bounds: Bounds{Share: 1}, Moves: []Move{{Route: "a", After: 200 * time.Millisecond}}}
	splitter.Use(testStart, grant)
	for _, test := range []struct {
		at    time.Duration
		route string
		want  Arm
	}{{199, "a", Old}, {200, "a", New}, {200, "b", Old}, {1000, "a", Old}} {
		if arm := splitter.ChooseRoute(testStart.Add(test.at*time.Millisecond), test.route); arm != test.want {
			t.Errorf("route %s after %d ms: %v", test.route, test.at, arm)
		}
	}
}

// TestMovedRouteStays guards against a route that goes back to the old version after its move, because the same grant arrives once more, and
// against one that stays moved though the newer grant no longer names it.
func TestMovedRouteStays(t *testing.T) {
	grant := func(sequence int64, routes ...string) Grant {
		grant := Grant{Sequence: sequence, Share: 0.001, For: time.Second, Bounds: Bounds{Share: 1}}
		for _, route := range routes {
			grant.Moves = append(grant.Moves, Move{Route: route, After: 200 * time.Millisecond})
		}
		return grant
	}
	for _, test := range []struct {
		name  string
		grant Grant
		at    time.Duration // of the grant; the first one arrives at 0
		then  time.Duration // of the request
		want  Arm
	}{
		{"same grant after the move", grant(1, "a"), 250, 260, New},
		{"same grant before the move", grant(1, "a"), 150, 210, New},
		{"same grant with less time left", grant(1, "a").WithAge(100 * time.Millisecond), 100, 150, Old},
		{"newer grant without it", grant(2, "b"), 250, 260, Old},
		{"newer grant after the first has expired", grant(2, "a"), 1050, 1060, Old},
	} {
		var splitter Splitter
		splitter.Use(testStart, grant(1, "a"))
		splitter.Use(testStart.Add(test.at*time.Millisecond), test.grant)
		if arm := splitter.ChooseRoute(testStart.Add(test.then*time.Millisecond), "a"); arm != test.want {
			t.Errorf("%s: arm %v at %d ms, want %v", test.name, arm, test.then, test.want)
		}
	}
}

// TestBudgetBetweenReports guards against a plan that takes the bound for larger than it is, because requests since the last reports did not count, and against
// one that a silent daemon uses up though its grant has ended.
func TestBudgetBetweenReports(t *testing.T) {
	judge := NewJudge(JudgeOptions{IssuedAt: testStart, Bounds: testBounds})
	var recorder Recorder
	for second := range 3 {
		for range 100 {
			recorder.Begin(testStart, "a", Old)
		}
		judge.Add(testStart.Add(time.Duration(second)*time.Second), "a", recorder.Report(testStart), 0)
	}
	judge.ramp.share = 0.5
	reported, end, fleet := testStart.Add(2*time.Second), testStart.Add(10*time.Second), Fleet{Daemons: []core.MemberID{"a"}}
	before, _, _ := judge.budget(reported, end, fleet)
	for _, test := range []struct {
		silent time.Duration
		want   float64
	}{{200 * time.Millisecond, 0.1}, {grantFor, 0.5}, {4 * time.Second, 0.5}} {
		after, _, _ := judge.budget(reported.Add(test.silent), end, fleet)
		if used := before - after; math.Abs(used-test.want) > 0.01 {
			t.Errorf("%v after the report at share 0.5, %.2f s of full traffic are used, want %.2f", test.silent, used, test.want)
		}
	}
}
