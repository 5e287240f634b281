package canary

import (
	"math/rand/v2"
	"testing"
	"time"

	"catkincove/core"
)

// TestLateFaults guards against success of a version that is slow only under the load of the last moments before it: what was fast before hid it.
func TestLateFaults(t *testing.T) {
	for _, seed := range []uint64{21, 27, 93} {
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
