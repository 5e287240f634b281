package batch

import (
	"slices"
	"testing"
	"time"

	"catkincove/core"
)

// sendingPool returns a pool with one target that has sent calls for some seconds.
func sendingPool() *Pool {
	pool := New(warehouseSpec)
	pool.SetTargets(targets(1))
	for before := releaseStarts + time.Second; before > 0; before -= time.Second {
		pool.Submit(Job{Pieces: 1, SoftDeadline: start, Deadline: start})
		calls, _, _ := pool.Dispatch(start.Add(-before))
		pool.Finish(start.Add(400*time.Millisecond-before), calls[0].ID, Responded, []core.PieceResult{{Handle: "w"}})
	}
	return pool
}

// TestNoReleaseAfterHandover guards against inputs that are released before they are fetched, because the target still works
// on a call of the daemon that sent before this one.
func TestNoReleaseAfterHandover(t *testing.T) {
	for _, test := range []struct {
		name     string
		pool     *Pool
		at       time.Duration
		released int
	}{{"first call", New(warehouseSpec), 0, 0}, {"sending for a while", sendingPool(), 0, 1}, {"after a pause in sending", sendingPool(), 10 * time.Second, 0}} {
		now := start.Add(test.at)
		test.pool.SetTargets(targets(1))
		test.pool.Submit(Job{Pieces: 1, Inputs: []string{"a"}, ReleaseInputs: true, SoftDeadline: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
		test.pool.Dispatch(now)
		if released := test.pool.FetchedInputs(now.Add(100 * time.Millisecond)); len(released) != test.released {
			t.Errorf("%s: released %v", test.name, released)
		}
	}
}

// TestInputsAreReleasedOnceFetched guards against inputs that are released while a piece may still have to fetch them, and
// against inputs that keep their place until the job ends although all pieces have fetched them.
func TestInputsAreReleasedOnceFetched(t *testing.T) {
	done := []core.PieceResult{{Handle: "r"}}
	for _, test := range []struct {
		name     string
		release  bool
		pieces   int
		event    func(pool *Pool, calls []Call) // at 50 ms
		released bool                           // at 100 ms
	}{
		{"all pieces have begun", true, 1, nil, true},
		{"another stage needs the inputs", false, 1, nil, false},
		{"a piece waits for a target", true, 9, nil, false},
		{"the call was rejected", true, 1, func(pool *Pool, calls []Call) {
			pool.Finish(start.Add(50*time.Millisecond), calls[0].ID, Rejected, nil)
		}, false},
		{"the call failed", true, 1, func(pool *Pool, calls []Call) { pool.Finish(start.Add(50*time.Millisecond), calls[0].ID, Failed, nil) }, false},
		{"the call has ended", true, 1, func(pool *Pool, calls []Call) {
			pool.Finish(start.Add(50*time.Millisecond), calls[0].ID, Responded, done)
		}, true},
		{"the job was cancelled", true, 1, func(pool *Pool, _ []Call) { pool.Cancel(2) }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			pool := sendingPool()
			pool.Submit(Job{Pieces: test.pieces, Inputs: []string{"a", "b"}, ReleaseInputs: test.release, SoftDeadline: start.Add(time.Second), Deadline: start.Add(5 * time.Second)})
			calls, _, _ := pool.Dispatch(start)
			if len(calls) != 1 {
				t.Fatalf("%d calls", len(calls))
			}
			if test.event != nil {
				test.event(pool, calls)
			}
			if early := pool.FetchedInputs(start.Add(60 * time.Millisecond)); len(early) != 0 {
				t.Errorf("released %v after 60 ms", early)
			}
			released := slices.Equal(pool.FetchedInputs(start.Add(100*time.Millisecond)), []string{"a", "b"})
			if released != test.released {
				t.Errorf("released %v after 100 ms, want %v", released, test.released)
			}
			if again := pool.FetchedInputs(start.Add(200 * time.Millisecond)); len(again) != 0 {
				t.Errorf("released %v again", again)
			}
		})
	}
}

// TestReleasedInputsAreGone guards against a job that goes on, or that is sent again and again, after its call failed and its
// inputs had been released, and against further early releases when targets fetch later than expected.
func TestReleasedInputsAreGone(t *testing.T) {
	pool := sendingPool()
	submit := func(now time.Time) CallID {
		pool.Submit(Job{Pieces: 1, Inputs: []string{"a"}, ReleaseInputs: true, SoftDeadline: now.Add(time.Second), Deadline: now.Add(5 * time.Second)})
		calls, _, _ := pool.Dispatch(now)
		return calls[0].ID
	}
	first := submit(start)
	if released := pool.FetchedInputs(start.Add(100 * time.Millisecond)); len(released) != 1 {
		t.Fatalf("released %v", released)
	}
	ended, _ := pool.Finish(start.Add(200*time.Millisecond), first, Failed, nil)
	if len(ended) != 1 || ended[0].Fault != core.PieceInputGone {
		t.Errorf("failed call: %+v", ended)
	}
	later := start.Add(time.Second)
	second := submit(later)
	pool.FetchedInputs(later.Add(100 * time.Millisecond))
	ended, _ = pool.Finish(later.Add(250*time.Millisecond), second, Responded, []core.PieceResult{{Fault: core.PieceInputGone}})
	if len(ended) != 1 || ended[0].Fault != core.PieceInputGone {
		t.Errorf("gone inputs: %+v", ended)
	}
	third := later.Add(time.Second)
	submit(third)
	if released := pool.FetchedInputs(third.Add(100 * time.Millisecond)); len(released) != 0 {
		t.Errorf("released %v although targets fetch later than expected", released)
	}
}

// chainLoad runs two stages of a desk in a burst: each request has six results of 60 KB in the first stage, whose targets hold
// those of little more than two calls, and ten pieces in the second one, which fetch all six. It returns the share of the
// requests that finish within the objective.
func chainLoad(release bool) float64 {
	first := newSimulation(core.BatchSpec{MaxPieces: 36, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 4800 * time.Microsecond, MaxResultBytes: 4_700_000, ResultTTL: 4 * time.Second}, 5)
	second := newSimulation(core.BatchSpec{MaxPieces: 58, MaxCalls: 1, CallOverhead: 200 * time.Millisecond, PieceTime: 3 * time.Millisecond, MaxResultBytes: 780_000, ResultTTL: 4 * time.Second}, 5)
	second.pool.spec.MaxResultBytes = 1 << 40 // its results go to the engines at once
	type request struct {
		arrived   time.Time
		firstJob  JobID
		secondJob JobID
		handles   []string
		submitted bool
		freed     bool
	}
	var requests []*request
	const objective, perSecond = 1500 * time.Millisecond, 74.0 // 444 pieces a second; full calls of the first stage process 483
	due := 0.0
	for first.now.Before(start.Add(14 * time.Second)) {
		if due += perSecond * 0.005; due >= 3 && first.now.Before(start.Add(9*time.Second)) { // callers come in groups
			for ; due >= 1; due-- {
				id := first.pool.Submit(Job{Attempt: "a", Pieces: 6, Class: "first", ResultBytes: 60_000, SoftDeadline: first.now.Add(objective - 350*time.Millisecond), Deadline: first.now.Add(5 * time.Second)})
				requests = append(requests, &request{arrived: first.now, firstJob: id})
			}
		}
		first.step()
		for _, request := range requests {
			result, ended := first.results[request.firstJob]
			switch {
			case !ended || result.Fault != core.PieceDone || request.freed:
			case !request.submitted:
				request.submitted, request.handles = true, result.Handles
				request.secondJob = second.pool.Submit(Job{
					Attempt: "a", Stage: 1, Pieces: 10, Class: "second", ResultBytes: 6000, Inputs: result.Handles, ReleaseInputs: release,
					SoftDeadline: request.arrived.Add(objective), Deadline: request.arrived.Add(5 * time.Second),
				})
			default:
				if _, ended := second.results[request.secondJob]; ended {
					request.freed = true
					first.pool.Free(request.handles)
				}
			}
		}
		second.step()
		first.pool.Free(second.pool.FetchedInputs(second.now))
	}
	inTime := 0
	for _, request := range requests {
		if request.submitted && second.results[request.secondJob].Fault == core.PieceDone && second.endedAt[request.secondJob].Sub(request.arrived) <= objective && !second.endedAt[request.secondJob].IsZero() {
			inTime++
		}
	}
	return float64(inTime) / float64(len(requests))
}

// TestBurstReleasesInputs guards against targets that are full of results which the next stage has fetched: at nine tenths of
// the capacity of their calls they could then make only calls that are half empty.
func TestBurstReleasesInputs(t *testing.T) {
	kept, released := chainLoad(false), chainLoad(true)
	if released < 0.95 || released < kept {
		t.Errorf("%.3f of the requests are in time with early release, %.3f without", released, kept)
	}
	t.Logf("in time: %.3f with early release, %.3f without", released, kept)
}
