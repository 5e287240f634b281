package flow

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
	"catkincove/core/fakes"
)

// scriptedHost is a ChainHost that plays a script; it keeps the results until they are released.
type scriptedHost struct {
	mutex     sync.Mutex
	results   map[string]bool                                          // that exist
	produced  []int                                                    // by stage
	lost      string                                                   // a handle whose target has restarted
	forecast  func()                                                   // called during Forecast; may be nil
	panics    string                                                   // a method that panics
	panicked  bool                                                     // a panic was reported
	onProduce func(ctx context.Context, call StageCall, run int) error // may be nil
	request   admit.Request
}

// scriptedChain returns a chain of the stages, with one piece each and time for all, and its host.
func scriptedChain(stages []core.StageSpec) (*Chain, *scriptedHost) {
	host := &scriptedHost{results: map[string]bool{}, produced: make([]int, len(stages)), request: admit.Request{SoftTimeLeft: time.Hour, TimeLeft: time.Hour}}
	for _, spec := range stages {
		host.request.Stages = append(host.request.Stages, admit.Stage{Spec: spec, Pieces: 1, ForecastFresh: true, Forecast: batch.Forecast{Capacity: 5, Call: stageCall}})
	}
	return &Chain{Stages: stages, Pieces: func(int) int { return 1 }, Host: host, Clock: &fakes.Clock{}, ReleaseEarly: true}, host
}

func (host *scriptedHost) enter(method string) {
	if host.panics == method {
		panic(method)
	}
}

func (host *scriptedHost) exists(handles ...string) bool {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	return !slices.ContainsFunc(handles, func(handle string) bool { return !host.results[handle] })
}

func (host *scriptedHost) remove(handles ...string) {
	host.mutex.Lock()
	defer host.mutex.Unlock()
	for _, handle := range handles {
		delete(host.results, handle)
	}
}

func (host *scriptedHost) Produce(ctx context.Context, call StageCall) (StageResults, error) {
	host.mutex.Lock()
	host.produced[call.Stage]++
	run := host.produced[call.Stage]
	host.mutex.Unlock()
	if !host.exists(call.Inputs...) {
		return StageResults{}, &batch.StageError{Stage: call.Stage, Fault: core.PieceInputGone}
	}
	if host.onProduce != nil {
		if err := host.onProduce(ctx, call, run); err != nil {
			return StageResults{}, err
		}
	}
	handle := fmt.Sprintf("stage%d/%d", call.Stage, run)
	host.mutex.Lock()
	defer host.mutex.Unlock()
	host.results[handle] = true
	return StageResults{Handles: []string{handle}, Until: time.Now().Add(time.Hour), Released: call.Release}, nil
}

func (host *scriptedHost) Release(_ int, results StageResults) { host.remove(results.Handles...) }

func (host *scriptedHost) CountsReleased(_ int, results StageResults) bool {
	host.enter("CountsReleased")
	return true
}

func (host *scriptedHost) ShortOfRoom(int) bool {
	host.enter("ShortOfRoom")
	return true
}

func (host *scriptedHost) GoesOn(results StageResults) bool {
	host.enter("GoesOn")
	return !slices.Contains(results.Handles, host.lost)
}

func (host *scriptedHost) Forecast() admit.Request {
	host.enter("Forecast")
	if host.forecast != nil {
		host.forecast()
	}
	return host.request
}

func (host *scriptedHost) Reran(int, Rerun)        { host.enter("Reran") }
func (host *scriptedHost) ReportPanic(any, []byte) { host.panicked = true }

// ended waits until the present run of a stage has ended.
func (chain *Chain) ended(stage int) {
	chain.mutex.Lock()
	done := chain.done[stage]
	chain.mutex.Unlock()
	<-done
}

// runWithin runs the chain and fails the test if that takes longer than any machine needs.
func runWithin(t *testing.T, chain *Chain) error {
	t.Helper()
	ended := make(chan error, 1)
	go func() { ended <- chain.Run(t.Context()) }()
	select {
	case err := <-ended:
		return err
	case <-time.After(5 * time.Second):
		t.Fatal("the chain has not ended after 5 s")
		return nil
	}
}

// TestPanickingHost guards against a request that never ends because a method of the host panicked while the chain was locked.
func TestPanickingHost(t *testing.T) {
	for _, method := range []string{"ShortOfRoom", "CountsReleased", "GoesOn", "Forecast", "Reran"} {
		t.Run(method, func(t *testing.T) {
			chain, host := scriptedChain([]core.StageSpec{{}, {After: []int{0}}})
			host.panics = method
			host.onProduce = func(_ context.Context, call StageCall, run int) error {
				if call.Stage == 1 && run == 1 && method != "CountsReleased" {
					return &batch.StageError{Stage: 1, Fault: core.PieceInputGone}
				}
				return nil
			}
			err := runWithin(t, chain)
			if failure := (*core.Error)(nil); !errors.As(err, &failure) || failure.Kind != core.Internal || !host.panicked {
				t.Errorf("error %v, panic reported: %v", err, host.panicked)
			}
		})
	}
}

// TestConsumerEndsDuringRerun guards against a request that ends although all it needs was held when it was decided which stages run
// again: another consumer of a shared input ended during the decision, and the input was freed. It also guards against inputs that stay
// pinned after the decision.
func TestConsumerEndsDuringRerun(t *testing.T) {
	for _, feasible := range []bool{true, false} {
		chain, host := scriptedChain([]core.StageSpec{{}, {After: []int{0}}, {After: []int{0}}, {After: []int{1}}})
		chain.ReleaseEarly = false
		if !feasible {
			host.request.TimeLeft = 0
		}
		decides := make(chan struct{})
		host.onProduce = func(_ context.Context, call StageCall, run int) error {
			switch {
			case call.Stage == 2:
				<-decides
			case call.Stage == 3 && run == 1:
				host.lost = call.Inputs[0]
				host.remove(host.lost)
				return &batch.StageError{Stage: 3, Fault: core.PieceInputGone}
			}
			return nil
		}
		host.forecast = func() {
			close(decides)
			chain.ended(2)
		}
		err := runWithin(t, chain)
		if want := []int{1, 2, 1, 2}; feasible && (err != nil || !slices.Equal(host.produced, want)) {
			t.Errorf("error %v, stages produced %v, want %v", err, host.produced, want)
		}
		if !feasible && err == nil {
			t.Error("no error without time")
		}
		if feasible && (host.exists("stage0/1") || host.exists("stage1/2")) {
			t.Errorf("results %v are held after their last consumer", host.results)
		}
		chain.Free()
		if len(host.results) > 0 {
			t.Errorf("feasible %v: results %v are held after Free", feasible, host.results)
		}
	}
}

// TestInputReleasedDuringRerun guards against a request that ends because its rerun counts on an input that the targets of a running
// stage release as soon as they have fetched it, and against new results that are taken for the released ones.
func TestInputReleasedDuringRerun(t *testing.T) {
	// Stage 4 has stage 2 begin when stage 1 has ended, so that stage 2 is the only consumer of stage 0 and may release its results.
	chain, host := scriptedChain([]core.StageSpec{{}, {After: []int{0}}, {After: []int{0, 4}}, {After: []int{1}}, {}})
	fetches, released, ends := make(chan struct{}), make(chan struct{}), make(chan struct{})
	host.onProduce = func(ctx context.Context, call StageCall, run int) error {
		switch {
		case call.Stage == 1 && run == 2:
			close(ends)
			chain.ended(2)
		case call.Stage == 2:
			if !call.Release {
				t.Error("stage 2 may not release its inputs")
			}
			close(fetches)
			<-released
			host.remove(call.Inputs...)
			released <- struct{}{}
			select {
			case <-ends:
			case <-ctx.Done():
			}
		case call.Stage == 3 && run == 1:
			<-fetches
			host.lost = call.Inputs[0]
			host.remove(host.lost)
			return &batch.StageError{Stage: 3, Fault: core.PieceInputGone}
		case call.Stage == 4:
			chain.ended(1)
		}
		return nil
	}
	host.forecast = func() {
		released <- struct{}{}
		<-released
	}
	err := runWithin(t, chain)
	if want := []int{2, 2, 1, 2, 1}; err != nil || !slices.Equal(host.produced, want) {
		t.Errorf("error %v, stages produced %v, want %v", err, host.produced, want)
	}
	chain.Free()
	if len(host.results) > 0 {
		t.Errorf("results %v are held after Free", host.results)
	}
}
