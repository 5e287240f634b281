package canary

import (
	"testing"
	"time"
)

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
