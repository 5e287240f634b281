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
	results   map[string]bool                     // that exist
	produced  []int                               // by stage
	panics    string                              // a method that panics
	panicked  bool                                // a panic was reported
	onProduce func(call StageCall, run int) error // may be nil
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

func (host *scriptedHost) Produce(_ context.Context, call StageCall) (StageResults, error) {
	host.mutex.Lock()
	host.produced[call.Stage]++
	run := host.produced[call.Stage]
	host.mutex.Unlock()
	if !host.exists(call.Inputs...) {
		return StageResults{}, &batch.StageError{Stage: call.Stage, Fault: core.PieceInputGone}
	}
	if host.onProduce != nil {
		if err := host.onProduce(call, run); err != nil {
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

func (host *scriptedHost) GoesOn(StageResults) bool {
	host.enter("GoesOn")
	return true
}

func (host *scriptedHost) Forecast() admit.Request {
	host.enter("Forecast")
	return host.request
}

func (host *scriptedHost) Reran(int, Rerun)        { host.enter("Reran") }
func (host *scriptedHost) ReportPanic(any, []byte) { host.panicked = true }

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
			host.onProduce = func(call StageCall, run int) error {
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
