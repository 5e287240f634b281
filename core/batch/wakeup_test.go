package batch

import (
	"testing"
	"time"

	"catkincove/core"
)

// TestQueuedJobIsWoken guards against a job that waits until its deadline although a target could take it, because what it waits
// for changes with time alone and the pool does not ask to be woken then: two of three pieces of a request waited for 5.8 s beside
// idle targets, for results that had been freed without the pool and expired.
func TestQueuedJobIsWoken(t *testing.T) {
	const large = 15_000_000 // one result of this size fits
	soon := Job{Pieces: 1, ResultBytes: large, SoftDeadline: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second)}
	for _, test := range []struct {
		name     string
		targets  []Target
		maxCalls int
		job      Job
		before   func(pool *Pool)
		from, by time.Duration // when the call is sent, or the job ends
		late     bool          // the job ends
	}{
		{"retained results expire", targets(1), 1, soon, func(pool *Pool) {
			pool.workers["t0"].retain("h", retainedResult{bytes: large, expires: start.Add(3 * time.Second)})
		}, 3 * time.Second, 3005 * time.Millisecond, false},
		{"unaccounted results expire", targets(1), 1, soon, func(pool *Pool) {
			pool.workers["t0"].unaccounted = unaccounted{bytes: 17_100_000, until: start.Add(warehouseSpec.ResultTTL)}
		}, 4 * time.Second, 4005 * time.Millisecond, false},
		{"a slow target is tried again", targets(2), 1, soon, func(pool *Pool) {
			pool.workers["t0"].retain("h", retainedResult{bytes: large, expires: start.Add(time.Minute)})
			pool.workers["t1"].slowdown, pool.workers["t1"].slowdownAt = 5, start
		}, 4 * time.Second, 4005 * time.Millisecond, false},
		{
			"a full target near the inputs", []Target{{ID: "near", DataCentre: "a"}, {ID: "far", DataCentre: "b"}}, 1,
			Job{Pieces: 1, ResultBytes: large, DataCentre: "a", SoftDeadline: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second)},
			func(pool *Pool) {
				pool.workers["near"].retain("h", retainedResult{bytes: large, expires: start.Add(time.Minute)})
			},
			1600 * time.Millisecond, 1800 * time.Millisecond, false,
		},
		{
			"a target with two slots", targets(1), 2, Job{Pieces: 16, SoftDeadline: start.Add(2 * time.Second), Deadline: start.Add(6 * time.Second)},
			func(*Pool) {}, 0, 5 * time.Millisecond, false,
		},
		{"the caller can still retry", targets(1), 1, soon, func(pool *Pool) {
			pool.workers["t0"].retain("h", retainedResult{bytes: large, expires: start.Add(time.Minute)})
		}, 2500 * time.Millisecond, 3 * time.Second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			spec := warehouseSpec
			spec.MaxCalls = test.maxCalls
			pool := New(spec)
			pool.SetTargets(test.targets)
			test.before(pool)
			test.job.LastAttempt = !test.late
			pool.Submit(test.job)
			now, wakeups := start, 0
			for wakeups = range 100 {
				calls, ended, _ := pool.Dispatch(now)
				waiting := len(pool.queue) // the call with the last piece has been sent
				if elapsed := now.Sub(start); waiting == 0 || len(ended) > 0 {
					if elapsed < test.from || elapsed > test.by || test.late != (len(ended) > 0) {
						t.Errorf("%d calls are sent and %+v ends after %v, want that between %v and %v", len(calls), ended, elapsed, test.from, test.by)
					}
					break
				}
				if now = pool.NextWakeup(now); now.IsZero() {
					t.Fatal("the pool does not ask to be woken")
				}
			}
			if wakeups > 30 {
				t.Errorf("the pool asked to be woken %d times", wakeups)
			}
		})
	}
}

// TestStallOfSlowTargetWakesSeldom guards against a pool that wakes each millisecond for seconds while a call runs at a slow target: the time from which the
// call counts as stalled was taken from a slowdown that had decayed more than it has by then.
func TestStallOfSlowTargetWakesSeldom(t *testing.T) {
	const maxWakeups = 30
	for _, slowdown := range []float64{1, 3, 8, maxSlowdown} {
		pool := New(warehouseSpec)
		pool.SetTargets(targets(1))
		pool.workers["t0"].slowdown, pool.workers["t0"].slowdownAt = slowdown, start
		pool.Submit(Job{Pieces: 1, LastAttempt: true, SoftDeadline: start.Add(time.Minute), Deadline: start.Add(2 * time.Minute)})
		calls, _, _ := pool.Dispatch(start)
		if len(calls) != 1 {
			t.Fatalf("slowdown %v: %d calls", slowdown, len(calls))
		}
		call := pool.calls[calls[0].ID]
		call.expected = time.Second
		now, wakeups := start, 0
		for ; !call.stalled && wakeups < 100_000; wakeups++ {
			if now = pool.NextWakeup(now); now.IsZero() {
				t.Fatalf("slowdown %v: the pool does not ask to be woken", slowdown)
			}
			before := call.startedAt
			pool.Dispatch(now)
			if !call.startedAt.Equal(before) {
				t.Fatalf("slowdown %v: a stall of the process is assumed", slowdown)
			}
		}
		t.Logf("slowdown %v: stalled after %v and %d wake-ups", slowdown, now.Sub(start), wakeups)
		if wakeups > maxWakeups {
			t.Errorf("slowdown %v: %d wake-ups, want at most %d", slowdown, wakeups, maxWakeups)
		}
	}
}

// TestWakeupOfLongQueueIsCheap guards against a pool that searches its whole queue once for each target at every event, after a daemon has crashed whose
// results still occupy the targets: an event took half a millisecond with 40 targets and 1000 pieces.
func TestWakeupOfLongQueueIsCheap(t *testing.T) {
	const maxAllocations = 10 // for any number of targets
	pool := longQueue(40, 1000)
	now := start.Add(time.Second)
	pool.Dispatch(now)
	if allocations := testing.AllocsPerRun(10, func() { pool.NextWakeup(now) }); allocations > maxAllocations {
		t.Errorf("%v allocations, want at most %d", allocations, maxAllocations)
	}
}

// TestFailingTargetGetsOneCall guards against a target that keeps failing and gets a call for each of its slots when its backoff ends, all of which fail.
func TestFailingTargetGetsOneCall(t *testing.T) {
	spec := warehouseSpec
	spec.MaxCalls = 4
	pool := New(spec)
	pool.SetTargets(targets(1))
	for range (spec.MaxCalls + 1) * spec.MaxPieces {
		pool.Submit(Job{Pieces: 1, LastAttempt: true, SoftDeadline: start.Add(20 * time.Second), Deadline: start.Add(time.Minute)})
	}
	now := start
	calls, _, _ := pool.Dispatch(now)
	if len(calls) != spec.MaxCalls {
		t.Fatalf("%d calls at a sound target, want %d", len(calls), spec.MaxCalls)
	}
	for range 3 {
		for _, call := range calls {
			pool.Finish(now, call.ID, Failed, nil)
		}
		now = now.Add(maxFailureBackoff)
		if calls, _, _ = pool.Dispatch(now); len(calls) != 1 {
			t.Fatalf("%d calls at a failing target, want 1", len(calls))
		}
	}
	results := make([]core.PieceResult, len(calls[0].Pieces))
	for i := range results {
		results[i].Handle = "h"
	}
	pool.Finish(now, calls[0].ID, Responded, results)
	if calls, _, _ = pool.Dispatch(now); len(calls) != spec.MaxCalls {
		t.Errorf("%d calls after a success, want %d", len(calls), spec.MaxCalls)
	}
}
