package batch

import (
	"testing"
	"time"
)

// TestLoad guards against a log that does not tell what occupies a target: the results of its calls, those that it retains, or
// those that the pool does not know.
func TestLoad(t *testing.T) {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(3))
	pool.workers["t0"].retain("h", retainedResult{bytes: 1000, expires: start.Add(time.Second)})
	pool.Submit(Job{Pieces: 9, ResultBytes: 2_000_000, SoftDeadline: start.Add(time.Second), Deadline: start.Add(2 * time.Second)})
	pool.SetTargets(targets(1))
	pool.Dispatch(start)
	pool.workers["t0"].unaccounted = unaccounted{bytes: 500, until: start.Add(time.Second)}
	queued, loads := pool.Load(start, 1)
	want := TargetLoad{ID: "t0", Calls: 1, FreeBytes: 1_098_500, ReservedBytes: 16_000_000, RetainedBytes: 1000, UnaccountedBytes: 500, Slowdown: 1, Usable: true}
	if queued != 1 || len(loads) != 1 || loads[0] != want {
		t.Errorf("%d queued, %+v, want 1 and %+v", queued, loads, want)
	}
}
