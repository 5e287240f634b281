package canary

import (
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
	for _, test := range []struct {
		after   time.Duration
		settled bool
	}{{settleTime - time.Millisecond, false}, {settleTime, true}} {
		now := testStart.Add(test.after)
		judge.Add(now, "a", recorder.Report(now), 0)
		if settled := judge.daemons["a"].hasSettled(); settled != test.settled {
			t.Errorf("after %v: settled %v", test.after, settled)
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
