package pool

import (
	"testing"
	"time"

	"catkincove/core"
)

// TestMismatchedResponse guards against conclusions about a request that are drawn from a response to another one: that it has ended, so that a cold target
// gets a second one while it still works on it, or that its content is sound, so that content that crashed a target runs beside other requests.
func TestMismatchedResponse(t *testing.T) {
	t.Run("cold target", func(t *testing.T) {
		dispatcher := newPool(1, 1, 1)
		now := simStart.Add(time.Second)
		grant := requestGrant(dispatcher, now, 1, nil).Grant
		dispatcher.Release(now, core.Release{Grant: grant.ID, Outcome: core.OutcomeMismatched})
		if reply := requestGrant(dispatcher, now, 2, nil); reply.Grant != nil {
			t.Errorf("granted %s, which may still run the first request", reply.Grant.Target)
		}
		now = now.Add(time.Second)
		dispatcher.ApplyLoadReport(now, "t0", core.LoadReport{StartID: "1"})
		if assignments := dispatcher.Dispatch(now); len(assignments) != 1 {
			t.Errorf("%d grants after a load report without running requests, want 1", len(assignments))
		}
	})
	t.Run("suspect", func(t *testing.T) {
		dispatcher, now := newThreeTargetPool()
		first := requestSuspect(dispatcher, now, "r1", false).Grant
		now = now.Add(time.Millisecond)
		dispatcher.Release(now, core.Release{Grant: first.ID, Outcome: core.OutcomeDisconnected})
		dispatcher.LoadReportFailed(now, first.Target)
		second := requestSuspect(dispatcher, now, "r1", true).Grant
		dispatcher.Release(now, core.Release{Grant: second.ID, Outcome: core.OutcomeMismatched})
		if suspects := dispatcher.Suspects(now); len(suspects) != 1 || suspects[0].State != core.SuspectExclusive {
			t.Errorf("suspects are %+v, want the content to run exclusively", suspects)
		}
	})
	t.Run("target in trouble", func(t *testing.T) {
		dispatcher := newPool(2, 4, 8)
		mismatches := 0
		for i := range 100 {
			now := simStart.Add(time.Duration(i) * 20 * time.Millisecond)
			dispatcher.Tick(now)
			for _, name := range []core.TargetName{"t0", "t1"} {
				dispatcher.ApplyLoadReport(now, name, core.LoadReport{StartID: "1"})
			}
			reply := requestGrant(dispatcher, now, i, nil)
			if reply.Grant == nil {
				t.Fatalf("request %d got %+v", i, reply)
			}
			outcome := core.OutcomeDone
			if reply.Grant.Target == "t0" {
				outcome = core.OutcomeMismatched
				mismatches++
			}
			dispatcher.Release(now.Add(time.Millisecond), core.Release{Grant: reply.Grant.ID, Outcome: outcome})
		}
		if mismatches > 2*maxConsecutiveFailures {
			t.Errorf("%d of 100 requests went to a target that responds to others", mismatches)
		}
	})
}
