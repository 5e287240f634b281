package batch

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// warehouseSpec describes targets that process eight pieces in 368 ms and hold twelve large results.
var warehouseSpec = core.BatchSpec{
	MaxPieces: 8, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 21 * time.Millisecond, MaxResultBytes: 18_000_000, ResultTTL: 4 * time.Second,
}

func targets(count int) []Target {
	var list []Target
	for i := range count {
		list = append(list, Target{ID: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i)})
	}
	return list
}

// simulation runs a pool against targets that take their declared time, multiplied by their slowdown.
type simulation struct {
	pool         *Pool
	now          time.Time
	running      map[CallID]runningCall
	slowdowns    map[string]float64
	unresponsive map[string]bool
	results      map[JobID]Result
	endedAt      map[JobID]time.Time
	calls        int
	pieces       int
	pieceTime    time.Duration
	unused       int
}

type runningCall struct {
	call Call
	ends time.Time
}

func newSimulation(spec core.BatchSpec, count int) *simulation {
	simulation := &simulation{
		pool: New(spec), now: start, running: map[CallID]runningCall{}, slowdowns: map[string]float64{}, unresponsive: map[string]bool{},
		results: map[JobID]Result{}, endedAt: map[JobID]time.Time{}, pieceTime: spec.PieceTime,
	}
	simulation.pool.SetTargets(targets(count))
	return simulation
}

func (simulation *simulation) record(ended []Result, unused []string) {
	for _, result := range ended {
		simulation.results[result.Job] = result
		simulation.endedAt[result.Job] = simulation.now
	}
	simulation.pool.Free(unused)
	simulation.unused += len(unused)
}

func (simulation *simulation) dispatch() {
	calls, ended, unused := simulation.pool.Dispatch(simulation.now)
	simulation.record(ended, unused)
	for _, call := range calls {
		took := simulation.pool.spec.CallOverhead + simulation.pieceTime*time.Duration(len(call.Pieces))
		if factor := simulation.slowdowns[call.Target.ID]; factor > 0 {
			took = time.Duration(float64(took) * factor)
		}
		simulation.calls++
		simulation.pieces += len(call.Pieces)
		ends := simulation.now.Add(took)
		if simulation.unresponsive[call.Target.ID] {
			ends = simulation.now.Add(call.Timeout)
		}
		simulation.running[call.ID] = runningCall{call: call, ends: ends}
	}
}

// step advances the time by 5 ms.
func (simulation *simulation) step() {
	simulation.now = simulation.now.Add(5 * time.Millisecond)
	for id, flight := range simulation.running {
		if flight.ends.After(simulation.now) {
			continue
		}
		delete(simulation.running, id)
		if simulation.unresponsive[flight.call.Target.ID] {
			simulation.record(simulation.pool.Finish(simulation.now, id, Failed, nil))
			continue
		}
		var results []core.PieceResult
		for i := range flight.call.Pieces {
			results = append(results, core.PieceResult{Handle: fmt.Sprintf("%s/%d-%d", flight.call.Target.Address, id, i)})
		}
		simulation.record(simulation.pool.Finish(simulation.now, id, Responded, results))
	}
	simulation.dispatch()
}

func (simulation *simulation) submit(pieces int, softTime, deadline time.Duration) JobID {
	id := simulation.pool.Submit(Job{
		Attempt: fmt.Sprint(simulation.now, len(simulation.pool.jobs)), Pieces: pieces, Class: "quote/0", ResultBytes: 8000,
		SoftDeadline: simulation.now.Add(softTime), Deadline: simulation.now.Add(deadline),
	})
	simulation.dispatch()
	return id
}

func (simulation *simulation) run(duration time.Duration) {
	for end := simulation.now.Add(duration); simulation.now.Before(end); {
		simulation.step()
	}
}

// TestBurstFillsBatches guards against nearly empty calls while pieces wait: four targets can process 47 pieces a
// second in full batches, but not one by one.
func TestBurstFillsBatches(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 4)
	var ids []JobID
	for range 20 * 47 / 2 {
		ids = append(ids, simulation.submit(2, 2*time.Second, 6*time.Second))
		simulation.run(2 * time.Second / 47)
	}
	simulation.run(3 * time.Second)
	late := 0
	for _, id := range ids {
		if result, ended := simulation.results[id]; !ended || result.Fault != core.PieceDone {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d jobs have no result", late, len(ids))
	}
	if mean := float64(simulation.pieces) / float64(simulation.calls); mean < 2 {
		t.Errorf("%.1f pieces a call", mean)
	}
}

// TestOverloadPrefersJobsOnTime guards against a queue in which, under overload, every job waits until all of them miss
// their soft deadline.
func TestOverloadPrefersJobsOnTime(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 1) // 21.7 pieces a second
	type sent struct {
		id           JobID
		softDeadline time.Time
	}
	var jobs []sent
	for range 300 { // 60 pieces a second for 5 s
		id := simulation.submit(1, time.Second, 1200*time.Millisecond)
		jobs = append(jobs, sent{id, simulation.now.Add(time.Second)})
		simulation.run(time.Second / 60)
	}
	simulation.run(3 * time.Second)
	onTime := 0
	for _, job := range jobs {
		if simulation.results[job.id].Fault == core.PieceDone && len(simulation.results[job.id].Handles) > 0 && !simulation.endedAt[job.id].After(job.softDeadline) {
			onTime++
		}
	}
	// In 5 s the target processes 108 pieces at 21.7 a second; a FIFO queue has fewer than 30 of them on time.
	if onTime < 80 {
		t.Errorf("%d of %d jobs met their soft deadline", onTime, len(jobs))
	}
	for _, job := range jobs {
		if _, ended := simulation.results[job.id]; !ended {
			t.Fatalf("job %d was neither completed nor rejected", job.id)
		}
	}
}

// TestInfeasibleJobIsRejectedAtOnce guards against jobs that stay queued until their deadline although they cannot meet
// it.
func TestInfeasibleJobIsRejectedAtOnce(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 1)
	id := simulation.submit(1, 100*time.Millisecond, 150*time.Millisecond)
	if result := simulation.results[id]; result.Fault != core.PieceLate {
		t.Errorf("fault is %v", result.Fault)
	}
}

// TestSlowTarget guards against jobs that wait for a target that has become five times slower, and against sending it
// further work.
func TestSlowTarget(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 3)
	simulation.run(10 * time.Millisecond)
	simulation.slowdowns["t0"] = 5
	var ids []JobID
	for range 100 {
		ids = append(ids, simulation.submit(1, time.Second, 4*time.Second))
		simulation.run(50 * time.Millisecond)
	}
	simulation.run(2 * time.Second)
	slow := 0
	for i, id := range ids {
		begun := start.Add(10*time.Millisecond + time.Duration(i)*50*time.Millisecond)
		if simulation.endedAt[id].Sub(begun) > time.Second {
			slow++
		}
	}
	if slow > 5 {
		t.Errorf("%d of %d jobs took more than a second", slow, len(ids))
	}
}

// TestUnresponsiveTarget guards against losing the jobs that were sent to a target that never responds.
func TestUnresponsiveTarget(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 2)
	simulation.unresponsive["t0"] = true
	var ids []JobID
	for range 20 {
		ids = append(ids, simulation.submit(1, 2*time.Second, 4*time.Second))
		simulation.run(100 * time.Millisecond)
	}
	simulation.run(4 * time.Second)
	for _, id := range ids {
		if simulation.results[id].Fault != core.PieceDone || len(simulation.results[id].Handles) != 1 {
			t.Errorf("job %d: %+v", id, simulation.results[id])
		}
	}
}

// TestResultCapacity guards against results that exceed the capacity of a target: eleven of 1.5 MB fit beside the
// margin.
func TestResultCapacity(t *testing.T) {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(1))
	now := start
	retained := 0
	for range 4 {
		pool.Submit(Job{Attempt: "a", Pieces: 4, ResultBytes: 1_500_000, SoftDeadline: now.Add(3 * time.Second), Deadline: now.Add(4 * time.Second)})
	}
	var handles []string
	for range 10 {
		calls, _, _ := pool.Dispatch(now)
		now = now.Add(300 * time.Millisecond)
		for _, call := range calls {
			var results []core.PieceResult
			for i := range call.Pieces {
				handle := fmt.Sprintf("10.0.0.0:80/%d-%d", call.ID, i)
				handles = append(handles, handle)
				results = append(results, core.PieceResult{Handle: handle})
			}
			retained += len(call.Pieces)
			pool.Finish(now, call.ID, Responded, results)
		}
	}
	if retained != 11 {
		t.Errorf("%d results are retained, capacity is 11", retained)
	}
	pool.Free(handles)
	if calls, _, _ := pool.Dispatch(now); len(calls) != 1 {
		t.Errorf("%d calls after the results were freed", len(calls))
	}
}

// TestCallTextIsBounded guards against calls that repeat a long key for each of their pieces, and against pieces that are not sent because of it.
func TestCallTextIsBounded(t *testing.T) {
	spec := warehouseSpec
	spec.MaxPieces, spec.MaxCalls = 48, 1
	for _, test := range []struct{ key, calls int }{{16, 2}, {maxCallText / 4, 12}, {2 * maxCallText, 48}} {
		pool := New(spec)
		pool.SetTargets(targets(1))
		pool.Submit(Job{Attempt: "a", Pieces: 48, Key: strings.Repeat("k", test.key), SoftDeadline: start.Add(time.Hour), Deadline: start.Add(time.Hour)})
		now, sent, calls := start, 0, 0
		for sent < 48 && calls < 100 {
			started, _, _ := pool.Dispatch(now)
			for _, call := range started {
				text := 0
				for _, piece := range call.Pieces {
					text += len(piece.Key) + len(piece.Attempt)
				}
				if text > maxCallText+test.key+1 {
					t.Fatalf("key of %d bytes: a call has %d", test.key, text)
				}
				calls, sent = calls+1, sent+len(call.Pieces)
				pool.Finish(now, call.ID, Responded, make([]core.PieceResult, len(call.Pieces)))
			}
			if now = now.Add(300 * time.Millisecond); len(started) == 0 {
				break
			}
		}
		t.Logf("key of %d bytes: %d pieces in %d calls", test.key, sent, calls)
		if sent != 48 || calls > test.calls {
			t.Errorf("key of %d bytes: %d pieces in %d calls, expected 48 in %d at most", test.key, sent, calls, test.calls)
		}
	}
}

// TestCancelledJob guards against sending pieces of cancelled jobs, and against results that nobody frees.
func TestCancelledJob(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 1)
	running := simulation.submit(1, time.Second, 2*time.Second)
	waiting := simulation.submit(1, time.Second, 2*time.Second)
	simulation.pool.Cancel(running)
	simulation.pool.Cancel(waiting)
	simulation.run(time.Second)
	if simulation.calls != 1 || simulation.unused != 1 || len(simulation.results) != 0 {
		t.Errorf("%d calls, %d unused results, %d results", simulation.calls, simulation.unused, len(simulation.results))
	}
}

// TestForecastGrowsWithTheQueue guards against daemons that keep admitting work for a pool with a long queue.
func TestForecastGrowsWithTheQueue(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 2)
	empty := simulation.pool.Forecast(simulation.now).Wait(2 * time.Second)
	for range 40 {
		simulation.submit(1, 2*time.Second, 4*time.Second)
	}
	full := simulation.pool.Forecast(simulation.now)
	if empty != 0 || full.Wait(2500*time.Millisecond) < 500*time.Millisecond {
		t.Errorf("wait is %v for an empty pool, %v for 40 pieces", empty, full.Wait(2500*time.Millisecond))
	}
	if urgent := full.Wait(500 * time.Millisecond); urgent >= full.Wait(2500*time.Millisecond) {
		t.Errorf("an urgent job waits %v", urgent)
	}
	if forecast := New(warehouseSpec).Forecast(start); forecast.Capacity != 0 {
		t.Errorf("capacity without targets is %v", forecast.Capacity)
	}
}

// TestUnaccountedResults guards against repeated calls to a target that is full of results which nobody frees, as after
// a crash of all daemons: each such call costs 200 ms and produces nothing.
func TestUnaccountedResults(t *testing.T) {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(1))
	now := start
	calls := 0
	for end := now.Add(warehouseSpec.ResultTTL); now.Before(end); now = now.Add(100 * time.Millisecond) {
		pool.Submit(Job{Attempt: "a", Pieces: 1, ResultBytes: 1_500_000, SoftDeadline: now.Add(9 * time.Second), Deadline: now.Add(9 * time.Second)})
		started, _, _ := pool.Dispatch(now)
		for _, call := range started {
			calls++
			results := make([]core.PieceResult, len(call.Pieces))
			for i := range results {
				results[i].Fault = core.PieceNoRoom
			}
			pool.Finish(now.Add(200*time.Millisecond), call.ID, Responded, results)
		}
	}
	// Calls of 200 ms, each followed by a backoff of 200 ms, would be 10 in 4 s.
	if calls > 6 {
		t.Errorf("%d calls to a full target in %v", calls, warehouseSpec.ResultTTL)
	}
}

// TestPiecesStayNearTheirInputs guards against results that cross data centres although a target near them has a free
// slot in time, and against pieces that wait for such a target past their soft deadline.
func TestPiecesStayNearTheirInputs(t *testing.T) {
	for _, test := range []struct {
		name     string
		softTime time.Duration
		want     string
	}{
		{"time to wait", 3 * time.Second, "near"},
		{"no time to wait", 500 * time.Millisecond, "far"},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := New(warehouseSpec)
			pool.SetTargets([]Target{{ID: "near", Address: "10.0.0.1:80", DataCentre: "a"}, {ID: "far", Address: "10.0.0.2:80", DataCentre: "b"}})
			pool.Submit(Job{Attempt: "first", Pieces: 8, DataCentre: "a", SoftDeadline: start.Add(time.Second), Deadline: start.Add(3 * time.Second)})
			first, _, _ := pool.Dispatch(start)
			if len(first) != 1 || first[0].Target.ID != "near" {
				t.Fatalf("first calls are %+v", first)
			}
			now := start.Add(50 * time.Millisecond)
			pool.Submit(Job{Attempt: "second", Pieces: 1, DataCentre: "a", SoftDeadline: now.Add(test.softTime), Deadline: now.Add(4 * time.Second)})
			second, _, _ := pool.Dispatch(now)
			if len(second) == 0 {
				now = start.Add(368 * time.Millisecond)
				pool.Finish(now, first[0].ID, Responded, make([]core.PieceResult, 8))
				second, _, _ = pool.Dispatch(now)
			}
			if len(second) != 1 || second[0].Target.ID != test.want {
				t.Errorf("calls are %+v, want one to %s", second, test.want)
			}
		})
	}
}

// TestStalledProcess guards against a daemon that mistakes a stall of its own process for slow targets: after a stall
// of 5 s it repeated all calls, and forecast waits of seconds for an idle pool.
func TestStalledProcess(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 4)
	for range 4 {
		simulation.submit(4, time.Second, 9*time.Second) // as many pieces as a call takes while other targets are idle
	}
	before := simulation.calls
	simulation.pool.NextWakeup(simulation.now)
	simulation.now = simulation.now.Add(5 * time.Second)
	simulation.dispatch() // a timer fires before the responses have been read
	simulation.run(10 * time.Millisecond)
	if simulation.calls != before {
		t.Errorf("%d calls were repeated", simulation.calls-before)
	}
	forecast := simulation.pool.Forecast(simulation.now)
	if forecast.Capacity < 3.5 || forecast.Wait(2*time.Second) > 100*time.Millisecond {
		t.Errorf("forecast is %+v", forecast)
	}
}

// TestDrainQueue guards against jobs that stay queued at a daemon that is leaving, and against executing pieces twice
// that are in flight.
func TestDrainQueue(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 1)
	running := simulation.submit(4, time.Second, 3*time.Second)
	waiting := simulation.submit(4, time.Second, 3*time.Second)
	moved := simulation.pool.DrainQueue()
	if len(moved) != 1 || moved[0].Job != waiting || moved[0].Fault != core.PieceMoved {
		t.Errorf("moved %+v", moved)
	}
	simulation.run(time.Second)
	if result := simulation.results[running]; len(result.Handles) != 4 || simulation.calls != 1 {
		t.Errorf("result %+v after %d calls", result, simulation.calls)
	}
}

// TestHandover guards against a new sender that mistakes targets for slow ones and sends everything twice, because its
// calls wait behind those of the previous sender.
func TestHandover(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 2)
	simulation.slowdowns["t0"], simulation.slowdowns["t1"] = 2, 2
	for range 2 {
		simulation.submit(4, 2*time.Second, 4*time.Second)
	}
	simulation.run(700 * time.Millisecond)
	if simulation.calls != 2 {
		t.Errorf("%d calls for 2 jobs", simulation.calls)
	}
	if forecast := simulation.pool.Forecast(simulation.now); forecast.Capacity < 2 {
		t.Errorf("capacity is %v", forecast.Capacity)
	}
}

// TestStallAfterHandover guards against calls of one piece each at all targets for the rest of the handover period, because the first calls of a new
// sender were stalled for a moment: 42 calls for 120 pieces.
func TestStallAfterHandover(t *testing.T) {
	spec := warehouseSpec
	spec.CallOverhead, spec.PieceTime = 40*time.Millisecond, 2*time.Millisecond
	simulation := newSimulation(spec, 2)
	simulation.slowdowns["t0"], simulation.slowdowns["t1"] = 8, 8
	for range 2 {
		simulation.submit(5, 2*time.Second, 6*time.Second)
	}
	clear(simulation.slowdowns)
	for range 22 {
		simulation.submit(5, 2*time.Second, 6*time.Second)
	}
	simulation.run(2 * time.Second)
	if mean := float64(simulation.pieces) / float64(simulation.calls); simulation.pieces < 24*5 || mean < 4 { // as in TestBatchingAcrossDaemons
		t.Errorf("%d pieces were sent in %d calls", simulation.pieces, simulation.calls)
	}
}

// TestTargetStaysFull guards against calls to a full target that follow each other without a backoff: doubled 36 times, it
// overflowed.
func TestTargetStaysFull(t *testing.T) {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(1))
	worker := pool.workers["t0"]
	now := start
	for round := range 80 {
		worker.recordFull(now, 1_500_000)
		backoff := worker.fullUntil.Sub(now)
		if backoff < fullBackoff || backoff > maxFullBackoff {
			t.Fatalf("backoff after %d calls without capacity is %v", round+1, backoff)
		}
		now = worker.fullUntil
	}
}
