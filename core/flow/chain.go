package flow

import (
	"context"
	"errors"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
)

// StageResults are those of one stage of a request.
type StageResults struct {
	Handles  []string
	Sender   string               // peer address of the daemon whose pool counts them; empty means the present sender of the service
	Until    time.Time            // the first of them may expire then
	Runs     map[string]TargetRun // runs of the targets that hold them, by address
	Released bool                 // the inputs of the stage were released, also if it has failed
}

// StageCall asks for the results of one stage.
type StageCall struct {
	Stage   int
	Inputs  []string
	Release bool // the inputs may be released before the stage ends
	Again   bool // the stage runs again, or its inputs were produced again
}

// ChainHost does what the stages of a request need; its methods are safe for concurrent use.
type ChainHost interface {
	// Produce has the pieces of a stage produced; a *batch.StageError says why there are no results.
	Produce(ctx context.Context, call StageCall) (StageResults, error)
	// Release frees results.
	Release(stage int, results StageResults)
	// CountsReleased reports whether the early release of the results has reached the pool that counts them.
	CountsReleased(stage int, results StageResults) bool
	// ShortOfRoom reports whether the targets of a stage have little room for results.
	ShortOfRoom(stage int) bool
	// GoesOn reports whether the runs of the targets that hold the results go on.
	GoesOn(results StageResults) bool
	// Forecast returns the request as it would be admitted now.
	Forecast() admit.Request
	// Reran reports a decision after a consumer found an input gone; see DecideRerun.
	Reran(consumer int, rerun Rerun)
	// ReportPanic reports a panic of a stage.
	ReportPanic(value any, stack []byte)
}

// Chain runs the stages of one request and holds their results until no other stage needs them; those of stages that none follows
// are held until Free. It must not be copied.
type Chain struct {
	Stages       []core.StageSpec
	Pieces       func(stage int) int // 0 means that the stage is omitted
	Host         ChainHost
	Clock        core.Clock
	ReleaseEarly bool // inputs may be released before the stage that has fetched them ends

	mutex            sync.Mutex
	done             []chan struct{} // by stage; closed when its present run has ended
	results          []StageResults
	lost             []bool // the results were released although a later stage needs them
	releasing        []bool // the present run of the only consumer may release the results
	runs             []int  // by stage; number of runs that have begun
	pendingConsumers []int  // number of later stages that still need the results
	err              error
	reruns           sync.Mutex // held while stages run again
	repeated         []bool     // by consumer; stages ran again for it
}

// Run runs all stages; after an error no results are held.
func (chain *Chain) Run(ctx context.Context) error {
	count := len(chain.Stages)
	chain.done, chain.results, chain.lost = make([]chan struct{}, count), make([]StageResults, count), make([]bool, count)
	chain.releasing = make([]bool, count)
	chain.runs, chain.pendingConsumers, chain.repeated = make([]int, count), make([]int, count), make([]bool, count+1)
	all := make([]int, count)
	for i, stage := range chain.Stages {
		all[i], chain.done[i] = i, make(chan struct{})
		for _, dependency := range stage.After {
			chain.pendingConsumers[dependency]++
		}
	}
	return chain.run(ctx, all, false)
}

// Repeat has those results produced again that the request's target found gone, or all inputs of it if nothing shows which; after an
// error no results are held.
func (chain *Chain) Repeat(ctx context.Context) error {
	consumer := len(chain.Stages)
	_, used, err := chain.inputs(chain.targetInputs())
	if err == nil {
		err = chain.rerun(ctx, consumer, used, &batch.StageError{Stage: consumer, Fault: core.PieceInputGone})
	}
	if err != nil {
		chain.Free()
	}
	return err
}

// Results returns what is held of a stage.
func (chain *Chain) Results(stage int) StageResults {
	chain.mutex.Lock()
	defer chain.mutex.Unlock()
	return chain.results[stage]
}

// Free frees all results.
func (chain *Chain) Free() {
	for stage := range chain.results {
		chain.free(stage)
	}
}

func (chain *Chain) free(stage int) {
	chain.mutex.Lock()
	unneeded := chain.results[stage]
	chain.results[stage] = StageResults{}
	chain.mutex.Unlock()
	chain.Host.Release(stage, unneeded)
}

// locked calls the function under the mutex, which a panic of the function releases.
func (chain *Chain) locked(function func()) {
	chain.mutex.Lock()
	defer chain.mutex.Unlock()
	function()
}

// run runs the stages side by side, each after those that it depends on.
func (chain *Chain) run(ctx context.Context, stages []int, again bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := slices.Clone(chain.done) // stages that run again replace theirs
	var group sync.WaitGroup
	for _, i := range stages {
		group.Go(func() {
			defer close(done[i])
			defer func() {
				if value := recover(); value != nil {
					chain.Host.ReportPanic(value, debug.Stack())
					chain.fail(cancel, core.Errorf(core.Internal, "stage %d: panic: %v", i, value))
				}
			}()
			if err := chain.runStage(ctx, i, again); err != nil {
				chain.fail(cancel, err)
			}
		})
	}
	group.Wait()
	chain.mutex.Lock()
	err := chain.err
	chain.mutex.Unlock()
	if err != nil && !again {
		chain.Free()
	}
	return err
}

// fail keeps the first error, from which the others follow, and cancels the other stages.
func (chain *Chain) fail(cancel context.CancelFunc, err error) {
	chain.mutex.Lock()
	defer chain.mutex.Unlock()
	if chain.err == nil {
		chain.err = err
	}
	cancel()
}

func (chain *Chain) runStage(ctx context.Context, i int, again bool) error {
	after := chain.Stages[i].After
	call := StageCall{Stage: i, Again: again}
	for {
		inputs, used, err := chain.inputs(after)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			return err
		case chain.Pieces(i) == 0:
			return nil
		}
		call.Inputs, call.Release = inputs, !call.Again && chain.allowRelease(after, used)
		produced, err := chain.Host.Produce(ctx, call)
		if failed := (*batch.StageError)(nil); errors.As(err, &failed) && failed.Fault == core.PieceInputGone && !again {
			chain.locked(func() { chain.endRelease(after, used, produced.Released) })
			if err := chain.rerun(ctx, i, used, err); err != nil {
				return err
			}
			call.Again = true
			continue
		}
		if err != nil {
			return err
		}
		chain.finish(i, used, produced)
		return nil
	}
}

// inputs waits for the stages and returns the handles of their results, with the number of the run of each that made them.
func (chain *Chain) inputs(after []int) (handles []string, used []int, err error) {
	for {
		chain.mutex.Lock()
		open := slices.IndexFunc(after, func(stage int) bool { return !isClosed(chain.done[stage]) })
		if open >= 0 {
			done := chain.done[after[open]]
			chain.mutex.Unlock()
			<-done
			continue
		}
		for _, stage := range after {
			if len(chain.results[stage].Handles) != chain.Pieces(stage) {
				// A piece must get all inputs or none.
				err = core.Errorf(core.Unavailable, "stage %d holds %d of %d results", stage, len(chain.results[stage].Handles), chain.Pieces(stage))
			}
			handles, used = append(handles, chain.results[stage].Handles...), append(used, chain.runs[stage])
		}
		chain.mutex.Unlock()
		return handles, used, err
	}
}

func isClosed(done chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// endRelease notes whether the inputs of a stage have been released, now that it does not release them any more. It leaves out inputs
// that were produced again since the stage took them. The chain must be locked.
func (chain *Chain) endRelease(after, used []int, released bool) {
	for i, stage := range after {
		if chain.runs[stage] == used[i] {
			chain.releasing[stage], chain.lost[stage] = false, chain.lost[stage] || released
		}
	}
}

// finish holds the results of a stage and frees its inputs, from the runs that it used, that no other stage needs.
func (chain *Chain) finish(i int, used []int, produced StageResults) {
	after := chain.Stages[i].After
	chain.locked(func() {
		chain.results[i] = produced
		chain.endRelease(after, used, produced.Released)
		for j, dependency := range after {
			if produced.Released && chain.runs[dependency] == used[j] && chain.Host.CountsReleased(dependency, chain.results[dependency]) {
				chain.results[dependency] = StageResults{}
			}
		}
	})
	chain.unpin(after)
}

// unpin counts one consumer less of each stage and frees the results that no other one needs.
func (chain *Chain) unpin(stages []int) {
	unneeded := make([]StageResults, len(stages))
	chain.locked(func() {
		for i, stage := range stages {
			if chain.pendingConsumers[stage]--; chain.pendingConsumers[stage] == 0 {
				unneeded[i], chain.results[stage] = chain.results[stage], StageResults{}
			}
		}
	})
	for i, stage := range stages {
		chain.Host.Release(stage, unneeded[i])
	}
}

// allowRelease reports whether the results of the stages may be released as soon as the targets of the next stage have
// fetched them: no other stage needs them, and their own targets are short of room. They count as lost from then on.
func (chain *Chain) allowRelease(stages, used []int) bool {
	chain.mutex.Lock()
	defer chain.mutex.Unlock()
	for i, stage := range stages {
		if chain.runs[stage] != used[i] || chain.pendingConsumers[stage] > 1 || !chain.Host.ShortOfRoom(stage) {
			return false
		}
	}
	if !chain.ReleaseEarly {
		return false
	}
	for _, stage := range stages {
		chain.releasing[stage] = true
	}
	return len(stages) > 0
}

func (chain *Chain) targetInputs() []int { return core.Route{Stages: chain.Stages}.Leaves() }

// rerun runs those stages again whose results a consumer needs and which are gone, once for each stage and if there is time;
// otherwise it returns the error. It returns at once if another stage had the inputs produced again meanwhile. How often targets of the
// request are tried is bounded by the caller.
func (chain *Chain) rerun(ctx context.Context, consumer int, used []int, gone error) error {
	chain.reruns.Lock()
	defer chain.reruns.Unlock()
	stages, err := chain.decideRerun(ctx, consumer, used, gone)
	if err != nil || len(stages) == 0 {
		return err
	}
	return chain.run(ctx, stages, true)
}

// decideRerun returns the stages that have to run again, which are reopened, or the error if the request ends. The results that the
// decision counts as held are pinned meanwhile, since other consumers go on.
func (chain *Chain) decideRerun(ctx context.Context, consumer int, used []int, gone error) ([]int, error) {
	after := chain.targetInputs()
	if consumer < len(chain.Stages) {
		after = chain.Stages[consumer].After
	}
	var replaced, repeated bool
	var pinned []int
	held := make([]Held, len(chain.Stages))
	chain.locked(func() {
		for i, stage := range after {
			replaced = replaced || chain.runs[stage] != used[i]
		}
		if replaced {
			return
		}
		repeated = chain.repeated[consumer]
		chain.repeated[consumer] = consumer < len(chain.Stages)
		for stage, results := range chain.results {
			held[stage] = Held{Until: results.Until, Lost: chain.lost[stage] || chain.releasing[stage] || !chain.Host.GoesOn(results)}
		}
		for stage, consumers := range chain.pendingConsumers {
			if consumers > 0 { // the results of the other stages are freed already, or held until Free
				pinned = append(pinned, stage)
				chain.pendingConsumers[stage]++
			}
		}
	})
	defer func() { chain.unpin(pinned) }()
	if replaced {
		return nil, nil
	}
	if repeated || ctx.Err() != nil {
		return nil, gone
	}
	decision := DecideRerun(chain.Clock.Now(), chain.Host.Forecast(), held, consumer)
	chain.Host.Reran(consumer, decision)
	if !decision.Feasible {
		return nil, gone
	}
	chain.reopen(decision.Stages)
	return decision.Stages, nil
}

// reopen frees what is left of the results of stages that run again. Stages that have not taken their inputs yet wait for the new ones.
func (chain *Chain) reopen(stages []int) {
	chain.mutex.Lock()
	unneeded := make([]StageResults, len(stages))
	for i, stage := range stages {
		unneeded[i] = chain.results[stage]
		chain.results[stage], chain.done[stage] = StageResults{}, make(chan struct{})
		chain.lost[stage], chain.releasing[stage] = false, false
		chain.runs[stage]++
		for _, dependency := range chain.Stages[stage].After {
			chain.pendingConsumers[dependency]++
		}
	}
	chain.mutex.Unlock()
	for i, stage := range stages {
		chain.Host.Release(stage, unneeded[i])
	}
}
