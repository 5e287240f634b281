package batch

import (
	"fmt"
	"testing"
	"time"

	"catkincove/core"
)

// BenchmarkBusyPool measures the cost of one job at the daemon that sends the batches of a fleet: 18 targets, some
// hundred queued pieces, and results that are retained until their requests have started.
func BenchmarkBusyPool(b *testing.B) {
	spec := core.BatchSpec{MaxPieces: 50, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 3 * time.Millisecond, MaxResultBytes: 1 << 40, ResultTTL: 4 * time.Second}
	pool := New(spec)
	var targets []Target
	for i := range 18 {
		targets = append(targets, Target{ID: fmt.Sprintf("i-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: string(rune('a' + i%4))})
	}
	pool.SetTargets(targets)
	now := start
	type running struct {
		call Call
		ends time.Time
	}
	var calls []running
	var retained []string
	made := 0
	step := func() {
		started, _, _ := pool.Dispatch(now)
		for _, call := range started {
			calls = append(calls, running{call, now.Add(300 * time.Millisecond)})
		}
		pool.NextWakeup(now)
	}
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / 500)
		pool.Submit(Job{Attempt: fmt.Sprint(i), Pieces: 3, Class: "c", SoftDeadline: now.Add(2 * time.Second), Deadline: now.Add(6 * time.Second), ResultBytes: 10})
		step()
		for len(calls) > 0 && !calls[0].ends.After(now) {
			results := make([]core.PieceResult, len(calls[0].call.Pieces))
			for k := range results {
				made++
				results[k].Handle = fmt.Sprint(calls[0].call.Target.Address, "/", made)
				retained = append(retained, results[k].Handle)
			}
			pool.Finish(now, calls[0].call.ID, Responded, results)
			calls = calls[1:]
			step()
		}
		for len(retained) > 1500 {
			pool.Free(retained[:3])
			retained = retained[3:]
			step()
		}
		if i%25 == 0 {
			pool.Forecast(now)
		}
	}
}

// BenchmarkLongQueue measures one event while all targets are busy and full of results that the pool does not know.
func BenchmarkLongQueue(b *testing.B) {
	for _, queue := range []int{100, 1000} {
		b.Run(fmt.Sprint(queue, " pieces"), func(b *testing.B) {
			pool := longQueue(40, queue)
			now := start.Add(time.Second)
			for b.Loop() {
				pool.Dispatch(now)
				pool.NextWakeup(now)
			}
		})
	}
}

// longQueue returns a pool whose targets are busy and full of results that it does not know, with queued pieces of many sizes.
func longQueue(targetCount, pieces int) *Pool {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(targetCount))
	for i := range pieces / 4 {
		pool.Submit(Job{Pieces: 4, LastAttempt: true, ResultBytes: int64(1_000_000 + i%50*1000), SoftDeadline: start.Add(8 * time.Second), Deadline: start.Add(12 * time.Second)})
	}
	for _, worker := range pool.workers {
		worker.inFlight = pool.spec.MaxCalls
		worker.recordFull(start, 1_000_000)
		worker.unaccounted = unaccounted{bytes: usableResultBytes(pool.spec), until: start.Add(pool.spec.ResultTTL)}
	}
	return pool
}
