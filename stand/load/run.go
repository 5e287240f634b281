package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/stand/world"
)

// Names of the two systems.
const (
	Policy   = "catkincove"
	Baseline = "baseline"
)

const (
	warmCalls      = 5
	callerPatience = 200 * time.Millisecond // beyond the deadline, after which a caller leaves
	warmLoad       = 0.5
	settling       = time.Second // from the start of the window until the goodput counts
)

// Settings choose one run.
type Settings struct {
	Mix      string
	Scenario string
	Seed     uint64
	Load     float64       // of the capacity; 0 is the scenario's own
	Capacity float64       // requests per second; 0 is the nominal one of the mix
	Warmup   time.Duration // before the window
	Window   time.Duration
	Log      zerolog.Logger
	Watch    func(line string) // nil, or gets what happens to the pools
}

// run is one load on one system.
type run struct {
	settings Settings
	mix      Mix
	scenario Scenario
	platform *world.World
	system   system
	began    time.Time
	mutex    sync.Mutex
	outcomes []outcome
	faults   error
	scripted int // crashes by the scenario
}

// Run offers the load to one system and reports what came of it.
func Run(ctx context.Context, name string, settings Settings) (Report, error) {
	mix, mixErr := MixOf(settings.Mix)
	scenario, scenarioErr := ScenarioOf(settings.Scenario)
	if err := errors.Join(mixErr, scenarioErr); err != nil {
		return Report{}, err
	}
	if settings.Load == 0 {
		settings.Load = scenario.Load
	}
	if settings.Capacity == 0 {
		settings.Capacity = mix.Nominal()
	}
	if scenario.Cold {
		settings.Warmup = 0
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	platform, err := world.Start(ctx, mix.worldOptions())
	if err != nil {
		return Report{}, fmt.Errorf("start stand-ins: %w", err)
	}
	defer platform.Close()
	run := &run{settings: settings, mix: mix, scenario: scenario, platform: platform}
	if err := run.start(ctx, name); err != nil {
		return Report{}, err
	}
	defer run.system.close()
	run.play(ctx)
	return run.report(name), run.faults
}

func (run *run) start(ctx context.Context, name string) (err error) {
	if !run.scenario.Cold {
		run.warm(ctx)
	}
	if name == Baseline {
		run.system = startPlain(run.platform)
		return nil
	}
	run.system, err = startFleet(ctx, run.mix, run.platform, run.settings.Log)
	return err
}

// warm makes the targets warm without the help of a system, one call at a time.
func (run *run) warm(ctx context.Context) {
	paths := map[string][2]string{
		"encode":   {"/v1/embeddings", `{"input":"fan"}`},
		"retrieve": {"/search", `{"query":"fan","limit":1}`},
		"rerank":   {"/v1/rerank", `{"query":"fan","documents":["fan"],"top_n":1}`},
		generate:   {"/v1/completions", `{"prompt":"fan","stream":true,"max_tokens":1}`},
	}
	var group sync.WaitGroup
	for _, target := range run.platform.Targets {
		call, known := paths[target.Service]
		if !known {
			continue
		}
		group.Go(func() {
			for range warmCalls {
				post(ctx, "http://"+target.Address+call[0], call[1])
			}
		})
	}
	group.Wait()
}

func post(ctx context.Context, url, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err == nil {
		_ = response.Body.Close()
	}
}

// play offers the arrivals at their times, whatever becomes of the earlier ones, and waits for the last.
func (run *run) play(ctx context.Context) {
	until := run.settings.Warmup + run.settings.Window
	arrivals := merge(run.warmup(), run.offered(until))
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group, faults sync.WaitGroup
	run.began = time.Now()
	if run.scenario.faults != nil {
		faults.Go(func() {
			run.pause(faultCtx, run.settings.Warmup)
			run.scenario.faults(faultCtx, run)
		})
	}
	if run.settings.Watch != nil {
		faults.Go(func() { run.watch(faultCtx) })
	}
	for number, arrival := range arrivals {
		run.pause(ctx, time.Until(run.began.Add(arrival.At)))
		group.Go(func() { run.send(ctx, number, arrival) })
	}
	run.pause(ctx, time.Until(run.began.Add(until)))
	cancel()
	faults.Wait()
	group.Wait()
}

func (run *run) warmup() []Arrival {
	rate := min(warmLoad, run.settings.Load) * run.settings.Capacity
	steady := func(time.Duration) float64 { return rate }
	return newStream(run.settings.Seed, 0, run.mix.Kinds, run.mix.Teams).arrivals(0, run.settings.Warmup, steady)
}

func (run *run) offered(until time.Duration) []Arrival {
	offer := run.scenario.offer
	if offer == nil {
		offer = offerAll
	}
	return offer(run.mix, run.settings, run.settings.Warmup, until)
}

// pause waits; it returns early when ctx ends.
func (run *run) pause(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	select {
	case <-time.After(pause):
	case <-ctx.Done():
	}
}

func (run *run) note(err error) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.faults = errors.Join(run.faults, err)
}

func (run *run) send(ctx context.Context, number int, arrival Arrival) {
	ctx, cancel := context.WithTimeout(ctx, arrival.Kind.Deadline+callerPatience)
	defer cancel()
	offered := run.began.Add(arrival.At)
	result := outcome{arrival: arrival, lag: time.Since(offered)}
	answer, err := run.system.send(ctx, number, arrival, func(count int) {
		result.last = time.Since(offered)
		if result.tokens == 0 {
			result.first = result.last
		}
		result.tokens += count
	})
	result.took = time.Since(offered)
	result.err = core.AsError(err)
	result.right = answer.isRight(arrival)
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.outcomes = append(run.outcomes, result)
}

func (run *run) report(name string) Report {
	report := Report{
		System: name, Mix: run.mix.Name, Scenario: run.scenario.Name, Seed: run.settings.Seed, LoadAverage: loadAverage(),
	}
	var inWindow []outcome
	for _, outcome := range run.outcomes {
		if outcome.arrival.At >= run.settings.Warmup {
			inWindow = append(inWindow, outcome)
		}
	}
	report.judge(run.mix, inWindow, run.settings.Window)
	report.produce(run.mix, run.outcomes, run.settings.Warmup+settling, run.settings.Warmup+run.settings.Window)
	seen := map[string]bool{}
	uses := map[string]use{}
	for _, target := range run.platform.Targets {
		use := uses[target.Service]
		use.add(target.Journal(), seen)
		use.tokens += target.Counts().Tokens
		uses[target.Service] = use
		report.Falls += target.Counts().Falls
	}
	report.charge(run.mix, uses, run.outcomes)
	report.QuietFalls = report.Falls - run.scripted
	return report
}

// loadAverage is that of the machine over the last minute, or empty where it is not known.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
