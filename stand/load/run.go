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

// Names of the two systems under comparison.
const (
	Catkincove = "catkincove"
	Baseline   = "baseline"
)

const (
	warmupCalls        = 5
	callerTimeoutSlack = 200 * time.Millisecond // time after the deadline at which a caller cancels its request
	warmupLoad         = 0.5
	goodputDelay       = time.Second // part at the start of the window that doesn't count towards the goodput
)

// Settings selects and configures one run.
type Settings struct {
	Mix      string
	Scenario string
	Seed     uint64
	Load     float64       // offered rate as a fraction of Capacity; 0 uses the load of the scenario
	Capacity float64       // requests per second; 0 uses the nominal capacity of the mix
	Warmup   time.Duration // duration before the window
	Window   time.Duration
	Log      zerolog.Logger
	Watch    func(line string) // receives the state of the pools periodically; may be nil
}

// run is one load applied to one system.
type run struct {
	settings        Settings
	mix             Mix
	scenario        Scenario
	platform        *world.World
	system          system
	started         time.Time
	mutex           sync.Mutex
	outcomes        []outcome
	faultErr        error
	scriptedCrashes int // number of crashes that the scenario caused
}

// Run applies the load to the system with the name and returns its figures, or an error if setup or fault injection fails.
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
		settings.Capacity = mix.NominalCapacity()
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
	run.offerLoad(ctx)
	return run.report(name), run.faultErr
}

func (run *run) start(ctx context.Context, name string) (err error) {
	if !run.scenario.Cold {
		run.warmTargets(ctx)
	}
	if name == Baseline {
		run.system = startPlain(run.platform)
		return nil
	}
	run.system, err = startFleet(ctx, run.mix, run.platform, run.settings.Log)
	return err
}

// warmTargets sends calls directly to all targets until they are warm, one at a time to each target.
func (run *run) warmTargets(ctx context.Context) {
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
			for range warmupCalls {
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

// offerLoad sends the arrivals at their scheduled times, without waiting for earlier ones to finish, and returns when all have ended.
func (run *run) offerLoad(ctx context.Context) {
	until := run.settings.Warmup + run.settings.Window
	arrivals := merge(run.warmupArrivals(), run.windowArrivals(until))
	faultCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group, faults sync.WaitGroup
	run.started = time.Now()
	if run.scenario.faults != nil {
		faults.Go(func() {
			run.sleep(faultCtx, run.settings.Warmup)
			run.scenario.faults(faultCtx, run)
		})
	}
	if run.settings.Watch != nil {
		faults.Go(func() { run.watchPools(faultCtx) })
	}
	for number, arrival := range arrivals {
		run.sleep(ctx, time.Until(run.started.Add(arrival.At)))
		group.Go(func() { run.send(ctx, number, arrival) })
	}
	run.sleep(ctx, time.Until(run.started.Add(until)))
	cancel()
	faults.Wait()
	group.Wait()
}

func (run *run) warmupArrivals() []Arrival {
	rate := min(warmupLoad, run.settings.Load) * run.settings.Capacity
	steady := func(time.Duration) float64 { return rate }
	return newStream(run.settings.Seed, 0, run.mix.Kinds, run.mix.Teams).arrivals(0, run.settings.Warmup, steady)
}

func (run *run) windowArrivals(until time.Duration) []Arrival {
	offer := run.scenario.offer
	if offer == nil {
		offer = offerAll
	}
	return offer(run.mix, run.settings, run.settings.Warmup, until)
}

// sleep waits for the duration, or until ctx is done.
func (run *run) sleep(ctx context.Context, duration time.Duration) {
	if duration <= 0 {
		return
	}
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}

func (run *run) recordFaultError(err error) {
	run.mutex.Lock()
	defer run.mutex.Unlock()
	run.faultErr = errors.Join(run.faultErr, err)
}

func (run *run) send(ctx context.Context, number int, arrival Arrival) {
	ctx, cancel := context.WithTimeout(ctx, arrival.Kind.Deadline+callerTimeoutSlack)
	defer cancel()
	offered := run.started.Add(arrival.At)
	result := outcome{arrival: arrival, lag: time.Since(offered)}
	answer, err := run.system.send(ctx, number, arrival, func(count int) {
		result.lastToken = time.Since(offered)
		if result.tokens == 0 {
			result.firstToken = result.lastToken
		}
		result.tokens += count
	})
	result.latency = time.Since(offered)
	result.err = core.AsError(err)
	result.correct = answer.isCorrect(arrival)
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
	report.fillCallerFigures(run.mix, inWindow, run.settings.Window)
	report.fillGoodput(run.mix, run.outcomes, run.settings.Warmup+goodputDelay, run.settings.Warmup+run.settings.Window)
	seen := map[string]bool{}
	uses := map[string]use{}
	for _, target := range run.platform.Targets {
		use := uses[target.Service]
		use.add(target.Journal(), seen)
		use.tokens += target.Counts().Tokens
		uses[target.Service] = use
		report.Falls += target.Counts().Falls
	}
	report.fillCost(run.mix, uses, run.outcomes)
	report.QuietFalls = report.Falls - run.scriptedCrashes
	return report
}

// loadAverage returns the load average of the host over the last minute, or an empty string if it is unavailable.
func loadAverage() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return ""
	}
	first, _, _ := strings.Cut(string(data), " ")
	return first
}
