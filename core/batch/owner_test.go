package batch

import (
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

// TestAbandon guards against results of a terminated daemon that occupy room until they expire, against jobs of it that are still
// sent, and against results of other daemons that are freed with them.
func TestAbandon(t *testing.T) {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(1))
	submit := func(owner string) JobID {
		return pool.Submit(Job{Attempt: "a", Pieces: 1, Owner: owner, ResultBytes: 1_500_000, SoftDeadline: start.Add(time.Second), Deadline: start.Add(5 * time.Second)})
	}
	submit("gone")
	submit("alive")
	submit("")
	calls, _, _ := pool.Dispatch(start)
	results := []core.PieceResult{{Handle: "of gone"}, {Handle: "of alive"}, {Handle: "of this daemon"}}
	pool.Finish(start.Add(300*time.Millisecond), calls[0].ID, Responded, results)
	running := submit("gone")
	calls, _, _ = pool.Dispatch(start.Add(300 * time.Millisecond))
	waiting := submit("gone")
	ended, unused := pool.Abandon("gone")
	slices.SortFunc(ended, func(a, b Result) int { return int(a.Job - b.Job) })
	if len(ended) != 2 || ended[0].Job != running || ended[1].Job != waiting || !slices.Equal(unused, []string{"of gone"}) {
		t.Errorf("ended %+v, unused %v", ended, unused)
	}
	if _, unused := pool.Finish(start.Add(600*time.Millisecond), calls[0].ID, Responded, []core.PieceResult{{Handle: "too late"}}); !slices.Equal(unused, []string{"too late"}) {
		t.Errorf("after the call: unused %v", unused)
	}
	if calls, _, _ := pool.Dispatch(start.Add(700 * time.Millisecond)); len(calls) > 0 {
		t.Errorf("%d calls for jobs of a daemon that is gone", len(calls))
	}
	if ended, unused := pool.Abandon(""); len(ended)+len(unused) > 0 {
		t.Errorf("no owner: ended %+v, unused %v", ended, unused)
	}
}
