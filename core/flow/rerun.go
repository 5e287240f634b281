package flow

import (
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
)

// Held says what is known of the results of one stage of a request.
type Held struct {
	Until time.Time // the first of them may expire then; zero means that none are held
	Lost  bool      // the run of a target that made one has ended, or they were released
}

func (held Held) at(at time.Time) bool { return !held.Lost && at.Before(held.Until) }

// Rerun says how a request goes on whose inputs are gone.
type Rerun struct {
	Stages   []int         // that run again, in their order
	Time     time.Duration // expected until the response begins
	Feasible bool          // there is time for it
}

// DecideRerun returns which stages of the chain have to run again after the consumer found an input gone: a stage, or the target
// of the request if consumer is the number of stages.
//
// Targets do not say which input is gone. It is one whose results have expired or were lost with their target; if there is none,
// any of the consumer's inputs may be gone. A stage that runs again needs its own inputs, which were freed when it had ended, unless
// another stage still needs them. What would expire before the stage that needs it has fetched it counts as gone.
func DecideRerun(now time.Time, chain admit.Request, held []Held, consumer int) Rerun {
	inputs := inputsOf(chain.Stages, consumer)
	gone := make([]bool, len(chain.Stages))
	evident := false
	for _, input := range inputs {
		gone[input] = !held[input].at(now)
		evident = evident || gone[input]
	}
	if !evident {
		for _, input := range inputs {
			gone[input] = true
		}
	}
	for {
		for again := true; again; {
			again = false
			for stage := range gone {
				for _, input := range inputsOf(chain.Stages, stage) {
					if gone[stage] && !gone[input] && !held[input].at(now) {
						gone[input], again = true, true
					}
				}
			}
		}
		rest := remainder(chain, gone, consumer)
		plan := forecast(rest)
		expired := false
		for stage := range len(chain.Stages) + 1 {
			if stage != consumer && (stage == len(chain.Stages) || !gone[stage]) {
				continue
			}
			fetched := now.Add(plan.TimeToResponse)
			if stage < len(chain.Stages) {
				fetched = now.Add(plan.TimeToResponse - plan.Remaining[stage] - plan.Slack[stage])
			}
			for _, input := range inputsOf(chain.Stages, stage) {
				if !gone[input] && !held[input].at(fetched) {
					gone[input], expired = true, true
				}
			}
		}
		if expired {
			continue
		}
		rerun := Rerun{Time: plan.TimeToResponse, Feasible: plan.TimeToResponse <= chain.TimeLeft}
		for stage, needed := range rest.Stages {
			if gone[stage] {
				rerun.Stages = append(rerun.Stages, stage)
			}
			if needed.Pieces > 0 && needed.ForecastFresh && (needed.Forecast.Capacity <= 0 || plan.TimeToResponse+needed.Forecast.PausedFor > chain.TimeLeft) {
				rerun.Feasible = false
			}
		}
		return rerun
	}
}

// remainder returns the chain without the pieces of the stages that do not run any more: those that are held, and those whose
// results are not needed for the consumer.
func remainder(chain admit.Request, gone []bool, consumer int) admit.Request {
	rest := chain
	rest.Stages = slices.Clone(chain.Stages)
	follows := func(stage int) bool { return false }
	follows = func(stage int) bool {
		return stage == consumer || slices.ContainsFunc(chain.Stages[stage].Spec.After, follows)
	}
	for stage := range rest.Stages {
		if !gone[stage] && !follows(stage) {
			rest.Stages[stage].Pieces = 0
		}
	}
	return rest
}

// forecast returns the schedule of the chain. Jobs past their soft deadline get only the slots that no other job needs.
func forecast(chain admit.Request) admit.Plan {
	plan := admit.Forecast(chain)
	if plan.TimeToResponse > chain.SoftTimeLeft {
		chain.SoftTimeLeft = max(chain.TimeLeft, 0)
		plan = admit.Forecast(chain)
	}
	return plan
}

// inputsOf returns the stages with pieces whose results a stage needs, or the target of the request, which needs those that no other
// stage follows.
func inputsOf(stages []admit.Stage, consumer int) []int {
	var inputs []int
	if consumer < len(stages) {
		inputs = stages[consumer].Spec.After
	} else {
		var route core.Route
		for _, stage := range stages {
			route.Stages = append(route.Stages, stage.Spec)
		}
		inputs = route.Leaves()
	}
	return slices.DeleteFunc(slices.Clone(inputs), func(input int) bool { return stages[input].Pieces == 0 })
}

// TargetRun is a run of a target.
type TargetRun struct {
	Target    string
	StartedAt time.Time
}

// RunsOf returns the runs of the targets that hold the results, by address, as far as they are known.
func RunsOf(handles []string, known map[string]TargetRun, address func(handle string) string) map[string]TargetRun {
	runs := map[string]TargetRun{}
	for _, handle := range handles {
		if run, found := known[address(handle)]; found {
			runs[address(handle)] = run
		}
	}
	return runs
}

// GoesOn reports whether the runs of the targets that hold the results are still known.
func (results StageResults) GoesOn(known map[string]TargetRun) bool {
	for address, run := range results.Runs {
		if now := known[address]; now.Target != run.Target || !now.StartedAt.Equal(run.StartedAt) {
			return false
		}
	}
	return true
}
