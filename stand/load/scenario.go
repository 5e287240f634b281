package load

import (
	"context"
	"fmt"
	"time"

	"catkincove/core/config"
	"catkincove/stand/engine"
	"catkincove/stand/world"
)

const (
	steadyLoad        = 0.7
	doubleLoad        = 2.0
	smallShare        = 0.15 // fraction of the capacity that small teams offer
	normalShare       = 0.45 // fraction of the capacity that the large team offers in the scenario calm
	burstLoad         = 0.6
	burstFactor       = 2.0 // rate of the burst as a multiple of the capacity of its stage
	burstStart        = 2 * time.Second
	burstDuration     = time.Second
	drainStart        = time.Second
	drainTime         = 3200 * time.Millisecond // time until a data centre that was taken out of service has no work left
	outageTime        = time.Second
	targetsPerFaulty  = 10
	crashInterval     = 700 * time.Millisecond
	unlimitedFailures = 1 << 30
)

// Scenario is one load and the faults injected under it.
type Scenario struct {
	Name   string
	Load   float64 // offered rate as a fraction of the capacity
	Cold   bool    // skip the warm-up
	faults func(ctx context.Context, run *run)
	offer  func(mix Mix, settings Settings, from, until time.Duration) []Arrival // nil means offerAll
}

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{Name: "steady", Load: steadyLoad},
	{Name: "double", Load: doubleLoad},
	{Name: "leave", Load: 0.5, faults: loseDataCentre},
	{Name: "failing", Load: steadyLoad, faults: fail},
	{Name: "crashing", Load: steadyLoad, faults: crash},
	{Name: "calm", Load: smallShare + normalShare, offer: offerByTeamSize(normalShare)},
	{Name: "flood", Load: smallShare + doubleLoad, offer: offerByTeamSize(doubleLoad)},
	{Name: "cold", Load: steadyLoad, Cold: true},
	{Name: "burst", Load: burstLoad, offer: burst},
}

// ScenarioOf returns the scenario with the name, or an error if there is none.
func ScenarioOf(name string) (Scenario, error) {
	for _, scenario := range Scenarios {
		if scenario.Name == name {
			return scenario, nil
		}
	}
	return Scenario{}, fmt.Errorf("unknown scenario %q", name)
}

func offerAll(mix Mix, settings Settings, from, until time.Duration) []Arrival {
	rate := settings.Load * settings.Capacity
	return newStream(settings.Seed, 1, mix.Kinds, mix.Teams).arrivals(from, until, mix.wave(rate))
}

// offerByTeamSize returns an offer in which the requests of small teams don't depend on the load of the large team.
func offerByTeamSize(large float64) func(Mix, Settings, time.Duration, time.Duration) []Arrival {
	return func(mix Mix, settings Settings, from, until time.Duration) []Arrival {
		var smallTeams, largeTeams []Team
		for _, team := range mix.Teams {
			if team.Large {
				largeTeams = append(largeTeams, team)
			} else {
				smallTeams = append(smallTeams, team)
			}
		}
		return merge(
			newStream(settings.Seed, 2, mix.Kinds, smallTeams).arrivals(from, until, mix.wave(smallShare*settings.Capacity)),
			newStream(settings.Seed, 3, mix.Kinds, largeTeams[:1]).arrivals(from, until, mix.wave(large*settings.Capacity)),
		)
	}
}

// burst adds requests of the mix's extra kind for a second, at twice the capacity of their last stage.
func burst(mix Mix, settings Settings, from, until time.Duration) []Arrival {
	stage := mix.Extra.Stages[len(mix.Extra.Stages)-1]
	targets := float64(len(dataCentres) * mix.worldOptions().TargetsPerDataCentre[stage])
	rate := burstFactor * targets * fixedServiceSlots / fixedServiceTime.Seconds()
	extra := newStream(settings.Seed, 4, []Kind{mix.Extra}, []Team{{Name: burstTeam}})
	extra.extra = true
	return merge(
		offerAll(mix, settings, from, until),
		extra.arrivals(from+burstStart, min(until, from+burstStart+burstDuration), func(time.Duration) float64 { return rate }),
	)
}

// loseDataCentre takes a data centre out of service, takes all its targets down after the drain time, and brings it back.
func loseDataCentre(ctx context.Context, run *run) {
	drained := dataCentres[0]
	drained.State = config.Out
	run.sleep(ctx, drainStart)
	run.recordFaultError(run.system.setDataCentre(ctx, drained))
	run.sleep(ctx, drainTime)
	run.platform.TakeDown(drained.Name)
	run.sleep(ctx, outageTime)
	run.platform.BringUp(drained.Name)
	run.recordFaultError(run.system.setDataCentre(ctx, dataCentres[0]))
}

// faultyTargets returns a tenth of the generating targets, at least one.
func faultyTargets(platform *world.World) []*world.Target {
	all := platform.TargetsOf(generate, "")
	return all[:max(1, len(all)/targetsPerFaulty)]
}

func fail(_ context.Context, run *run) {
	for _, target := range faultyTargets(run.platform) {
		target.EditFaults(func(faults *engine.Faults) { faults.FailNext = unlimitedFailures })
	}
}

func crash(ctx context.Context, run *run) {
	for ctx.Err() == nil {
		for _, target := range faultyTargets(run.platform) {
			target.Crash()
			run.scriptedCrashes++
		}
		run.sleep(ctx, crashInterval)
	}
}
