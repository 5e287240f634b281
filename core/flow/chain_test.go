package flow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
	"catkincove/core/fakes"
)

// questionStages are a chain of three stages beside one with large results.
var questionStages = []core.StageSpec{
	{Service: "portal", ResultBytes: 1_500_000}, {Service: "portal", ResultBytes: 8000}, {Service: "maps", After: []int{1}, ResultBytes: 60_000},
	{Service: "accounts", After: []int{2}, ResultBytes: 6000},
}

// sharedStages share inputs: stages 0 and 1 have two consumers each.
var sharedStages = []core.StageSpec{
	{Service: "portal", ResultBytes: 8000}, {Service: "maps", After: []int{0}, ResultBytes: 60_000}, {Service: "accounts", After: []int{0}, ResultBytes: 6000},
	{Service: "maps", After: []int{1, 2}, ResultBytes: 6000}, {Service: "accounts", After: []int{1}, ResultBytes: 6000},
}

const (
	stageCall  = 400 * time.Millisecond
	firstEvent = 100 * time.Millisecond // after the last stage
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// question returns the request of questionStages with calls of stageCall and the time left.
func question(softLeft, left time.Duration) admit.Request {
	return chainRequest(questionStages, softLeft, left)
}

// chainRequest returns the request of the stages with calls of stageCall and the time left.
func chainRequest(stages []core.StageSpec, softLeft, left time.Duration) admit.Request {
	request := admit.Request{TimeToFirstEvent: firstEvent, SoftTimeLeft: softLeft, TimeLeft: left}
	for _, spec := range stages {
		request.Stages = append(request.Stages, admit.Stage{Spec: spec, Pieces: 1, ForecastFresh: true, Forecast: batch.Forecast{Capacity: 5, Call: stageCall}})
	}
	return request
}

// TestDecideRerun guards against a request all of whose stages run again when one result is gone, and against one that runs again
// without time for it: until it fails late, it takes targets from requests that can still be served.
func TestDecideRerun(t *testing.T) {
	live := Held{Until: start.Add(4 * time.Second)}
	const target = 4
	for _, test := range []struct {
		name     string
		held     []Held
		consumer int
		change   func(*admit.Request)
		stages   []int
		time     time.Duration
		feasible bool
	}{
		{"input of the second stage", []Held{live, live, {}, {}}, 2, nil, []int{1}, 3 * stageCall, true},
		{"input of the third stage, whose own was freed", []Held{live, {}, live, {}}, 3, nil, []int{1, 2}, 3 * stageCall, true},
		{"input of the third stage, whose own is held", []Held{live, live, live, {}}, 3, nil, []int{2}, 2 * stageCall, true},
		{"large result lost with its target", []Held{{live.Until, true}, {}, {}, live}, target, nil, []int{0}, stageCall, true},
		{"last result of the chain expired", []Held{live, {}, {}, {Until: start}}, target, nil, []int{1, 2, 3}, 3 * stageCall, true},
		{"large result expires before the chain has run", []Held{{Until: start.Add(time.Second)}, {}, {}, {}}, target, nil, []int{0, 1, 2, 3}, 3 * stageCall, true},
		{"nothing shows which", []Held{live, {}, {}, live}, target, nil, []int{0, 1, 2, 3}, 3 * stageCall, true},
		{"no time", []Held{live, {}, live, {}}, 3, func(request *admit.Request) { request.TimeLeft = 3 * stageCall }, []int{1, 2}, 3 * stageCall, false},
		{"time, past the soft deadline", []Held{live, {}, live, {}}, 3, func(request *admit.Request) { request.SoftTimeLeft = 0 }, []int{1, 2}, 3 * stageCall, true},
		{"no time behind the jobs that are not late", []Held{live, live, live, {}}, 3, func(request *admit.Request) {
			request.SoftTimeLeft = 0
			request.Stages[2].Forecast.Ahead = []time.Duration{0, 50 * time.Second}
		}, []int{1, 2}, 10*time.Second + 3*stageCall, false},
		{"no target", []Held{live, live, live, {}}, 3, func(request *admit.Request) { request.Stages[2].Forecast.Capacity = 0 }, []int{2}, 2 * stageCall, false},
		{"targets pause", []Held{live, live, live, {}}, 3, func(request *admit.Request) { request.Stages[2].Forecast.PausedFor = 5500 * time.Millisecond }, []int{2}, 2 * stageCall, false},
		{"no target of a stage that is held", []Held{live, live, live, {}}, 3, func(request *admit.Request) { request.Stages[1].Forecast.Capacity = 0 }, []int{2}, 2 * stageCall, true},
	} {
		request := question(4*time.Second, 6*time.Second)
		if test.change != nil {
			test.change(&request)
		}
		got := DecideRerun(start, request, test.held, test.consumer)
		test.time += firstEvent
		if !slices.Equal(got.Stages, test.stages) || got.Time != test.time || got.Feasible != test.feasible {
			t.Errorf("%s: %+v, want stages %v in %v, feasible %v", test.name, got, test.stages, test.time, test.feasible)
		}
	}
}

// lossyHost produces results at targets that restart, which loses their results; its handles name stage, run of the target and number.
type lossyHost struct {
	stages []core.StageSpec
	random *rand.Rand
	clock  *fakes.Clock
	loss   float64       // chance that a target restarts before a call
	early  bool          // targets are short of room and release inputs early
	delay  time.Duration // of forecasts; other consumers end meanwhile

	mutex    sync.Mutex
	runs     map[string]int  // by target
	results  map[string]bool // that exist
	made     int
	produced []int // by stage
	reruns   []Rerun
	left     time.Duration
	t        *testing.T
}

func (host *lossyHost) target(stage int) string {
	return fmt.Sprint(host.stages[stage].Service, host.random.IntN(3))
}

func (host *lossyHost) restart(target string) {
	host.runs[target]++
	for handle := range host.results {
		if strings.HasPrefix(handle, target+"/") {
			delete(host.results, handle)
		}
	}
}

func (host *lossyHost) Produce(_ context.Context, call StageCall) (StageResults, error) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	if host.random.Float64() < host.loss {
		host.restart(host.target(host.random.IntN(len(host.stages))))
	}
	if len(call.Inputs) != len(host.stages[call.Stage].After) {
		host.t.Errorf("stage %d is given inputs %v", call.Stage, call.Inputs)
	}
	for i, input := range call.Inputs {
		if !strings.Contains(input, fmt.Sprintf("/stage%d/", host.stages[call.Stage].After[i])) {
			host.t.Errorf("stage %d is given input %s", call.Stage, input)
		}
		if !host.results[input] {
			return StageResults{}, &batch.StageError{Stage: call.Stage, Fault: core.PieceInputGone}
		}
	}
	if call.Release {
		for _, input := range call.Inputs {
			delete(host.results, input)
		}
	}
	target := host.target(call.Stage)
	host.runs[target] += 0 // it is known
	host.made++
	host.produced[call.Stage]++
	handle := fmt.Sprintf("%s/%d/stage%d/%d", target, host.runs[target], call.Stage, host.made)
	host.results[handle] = true
	return StageResults{Handles: []string{handle}, Released: call.Release, Until: host.clock.Now().Add(time.Hour), Runs: map[string]TargetRun{target: {target, start.Add(time.Duration(host.runs[target]))}}}, nil
}

func (host *lossyHost) Release(_ int, results StageResults) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, handle := range results.Handles {
		delete(host.results, handle)
	}
}

func (host *lossyHost) GoesOn(results StageResults) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	known := map[string]TargetRun{}
	for target, run := range host.runs {
		known[target] = TargetRun{target, start.Add(time.Duration(run))}
	}
	return results.GoesOn(known)
}

func (host *lossyHost) CountsReleased(int, StageResults) bool { return true }
func (host *lossyHost) ShortOfRoom(int) bool                  { return host.early }
func (host *lossyHost) ReportPanic(value any, _ []byte)       { host.t.Errorf("panic: %v", value) }

func (host *lossyHost) Forecast() admit.Request {
	time.Sleep(host.delay)
	return chainRequest(host.stages, host.left, host.left)
}

func (host *lossyHost) Reran(_ int, rerun Rerun) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.reruns = append(host.reruns, rerun)
}

// TestChainsBesideRestarts guards against stage work that is thrown away: targets of stages restart in the middle of chains, and all
// stages of each request that had lost one result ran again. It also guards against results that nobody frees, and pieces that are given
// only some of their inputs.
func TestChainsBesideRestarts(t *testing.T) {
	for _, left := range []time.Duration{10 * time.Second, time.Second} {
		host := &lossyHost{stages: questionStages, random: rand.New(rand.NewPCG(1, 2)), clock: &fakes.Clock{}, loss: 0.2, runs: map[string]int{}, results: map[string]bool{}, produced: make([]int, 4), left: left, t: t}
		served, lost := 0, 0
		const requests = 2000
		for range requests {
			chain := &Chain{Stages: questionStages, Pieces: func(int) int { return 1 }, Host: host, Clock: host.clock}
			err := chain.Run(t.Context())
			for err == nil { // the target of the request fetches its inputs
				host.mutex.Lock()
				large, last := !host.results[chain.Results(0).Handles[0]], !host.results[chain.Results(3).Handles[0]]
				host.mutex.Unlock()
				if !large && !last {
					break
				}
				lost++
				err = chain.Repeat(t.Context())
				again := host.reruns[len(host.reruns)-1].Stages
				if slices.Contains(again, 0) != large || slices.Contains(again, 3) != last {
					t.Errorf("stages %v run again; the result of the large stage is gone: %v, that of the last one: %v", again, large, last)
				}
			}
			if failure := (*batch.StageError)(nil); err == nil {
				served++
			} else if !errors.As(err, &failure) {
				t.Fatal(err)
			}
			chain.Free()
			if len(host.results) > 0 {
				t.Fatalf("results %v are held", host.results)
			}
		}
		again := make([]int, 4)
		for _, rerun := range host.reruns {
			if rerun.Feasible != (rerun.Time <= left) {
				t.Errorf("%+v with %v left", rerun, left)
			}
			for _, stage := range rerun.Stages {
				again[stage]++
			}
		}
		t.Logf("%v left: %d of %d served, %d decisions, %d of them after a target of the request found one gone; stages produced %v, missing %v", left, served, requests, len(host.reruns), lost, host.produced, again)
		if left > 5*time.Second && served < requests*95/100 {
			t.Errorf("%d of %d are served", served, requests)
		}
	}
}

// TestSharedInputsBesideRestarts guards against requests that end, and results that stay held, because consumers of a shared input end,
// or release theirs, while other stages run again.
func TestSharedInputsBesideRestarts(t *testing.T) {
	for _, early := range []bool{false, true} {
		host := &lossyHost{stages: sharedStages, random: rand.New(rand.NewPCG(3, 4)), clock: &fakes.Clock{}, loss: 0.1, early: early, delay: 20 * time.Microsecond, runs: map[string]int{}, results: map[string]bool{}, produced: make([]int, len(sharedStages)), left: 10 * time.Second, t: t}
		const requests = 4000
		served := 0
		for range requests {
			chain := &Chain{Stages: sharedStages, Pieces: func(int) int { return 1 }, Host: host, Clock: host.clock, ReleaseEarly: true}
			err := chain.Run(t.Context())
			if failure := (*batch.StageError)(nil); err == nil {
				served++
				for handle := range host.results {
					if !strings.Contains(handle, "/stage3/") && !strings.Contains(handle, "/stage4/") {
						t.Fatalf("%s is held after its last consumer", handle)
					}
				}
			} else if !errors.As(err, &failure) {
				t.Fatal(err)
			}
			chain.Free()
			if len(host.results) > 0 {
				t.Fatalf("results %v are held", host.results)
			}
		}
		t.Logf("early release %v: %d of %d served, %d decisions, stages produced %v", early, served, requests, len(host.reruns), host.produced)
		if served < requests*95/100 {
			t.Errorf("early release %v: %d of %d are served", early, served, requests)
		}
	}
}
