package proof

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"catkincove/io/caller"
	"catkincove/io/entry"
	"catkincove/stand/engine"
	"catkincove/stand/kvsrv"
	"catkincove/stand/model"
	"catkincove/stand/world"
)

// declaredColdLimit is the ColdLimit of the model services in the world's declarations; a cold target bears no more.
const declaredColdLimit = 1

// strictTargets fall over at the first request above what was declared: one when cold, the capacity when warm.
func strictTargets() world.Options {
	return world.Options{Model: func(_ string, settings *model.Settings) {
		settings.ColdBearing = declaredColdLimit
		settings.HardLimit = settings.Capacity
	}}
}

func assistant(number int) caller.Request {
	return caller.Request{
		Pipeline: "assistant",
		Body:     entry.RequestBody{Question: fmt.Sprintf("which coat rack fits hall %d", number)},
	}
}

// loadDaemon sends requests to one daemon, whatever it answers.
func loadDaemon(daemon *process, interval time.Duration, make func(int) caller.Request) *load {
	client := &caller.Client{Team: "fans", Name: daemon.name, Seeds: []string{daemon.address()}, Fixed: true, Attempts: 1}
	return startLoad(client, interval, make)
}

// models returns the targets that have cold starts.
func (fleet *fleet) models() []*world.Target {
	var targets []*world.Target
	for _, target := range fleet.world.Targets {
		if target.Model != nil {
			targets = append(targets, target)
		}
	}
	return targets
}

// trace describes the requests that were on a target around each of its falls.
func trace(target *world.Target) string {
	const shown = 12
	var lines []string
	for _, record := range target.Journal() {
		if record.Outcome == engine.Crashed {
			lines = append(lines, fmt.Sprintf("\n  %s %s %s/%s attempt %s", record.Time.Format("05.000"), record.Start,
				record.Request, record.Stage, record.Attempt))
		}
	}
	return strings.Join(lines[max(0, len(lines)-shown):], "")
}

// step is a disturbance at a time after the start of the load.
type step struct {
	at   time.Duration
	what func()
}

func runSteps(steps []step) {
	began := time.Now()
	for _, step := range steps {
		time.Sleep(time.Until(began.Add(step.at)))
		step.what()
	}
}

// TestColdTargets guards against more work on a target that has just started than it declares to bear, summed over all
// daemons, while daemons join, leave, die and freeze, pools change hands and the store is down.
func TestColdTargets(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 6, strictTargets())
	scripted := map[*world.Target]int{}
	crash := func(service, dataCentre string) func() {
		return func() {
			for _, target := range fleet.world.Of(service, dataCentre) {
				before := target.Counts().Falls
				target.Crash()
				scripted[target] += target.Counts().Falls - before
			}
		}
	}
	var loads []*load
	follow := func(daemon *process) { loads = append(loads, loadDaemon(daemon, 100*time.Millisecond, assistant)) }
	for _, daemon := range fleet.daemons {
		follow(daemon)
	}
	daemons := fleet.daemons
	runSteps([]step{
		{1 * time.Second, crash("generate", "north")},
		{1500 * time.Millisecond, crash("rerank", "")},
		{2 * time.Second, func() { joined := fleet.start("joined", "north"); fleet.ready(joined); follow(joined) }},
		{3 * time.Second, func() { daemons[0].signal(syscall.SIGTERM) }},
		{3200 * time.Millisecond, crash("generate", "south")},
		{5 * time.Second, daemons[1].kill},
		{5100 * time.Millisecond, crash("generate", "")},
		{7 * time.Second, func() { daemons[2].signal(syscall.SIGSTOP) }},
		{9 * time.Second, crash("encode", "")},
		{11 * time.Second, crash("generate", "")},
		{12 * time.Second, func() { daemons[2].signal(syscall.SIGCONT) }},
		{12200 * time.Millisecond, crash("generate", "")},
		{14 * time.Second, func() { fleet.world.Store.SetFaults(kvsrv.Faults{Down: true}) }},
		{15 * time.Second, crash("generate", "")},
		{18 * time.Second, crash("retrieve", "")},
		{20 * time.Second, func() { fleet.world.Store.SetFaults(kvsrv.Faults{}) }},
		{21 * time.Second, crash("generate", "north")},
		{23 * time.Second, crash("generate", "south")},
		{25 * time.Second, func() {}},
	})
	finished, sent := 0, 0
	for _, load := range loads {
		results := load.stop()
		failed, _ := failures(results)
		sent, finished = sent+len(results), finished+len(results)-failed
	}
	for _, target := range fleet.models() {
		counts := target.Counts()
		if counts.MostCold > declaredColdLimit || counts.Falls != scripted[target] {
			t.Errorf("%s: %d requests at once while cold, bears %d; %d falls, %d scripted; on it at falls:%s", target.Name,
				counts.MostCold, declaredColdLimit, counts.Falls, scripted[target], trace(target))
		}
	}
	if finished == 0 {
		t.Error("no request finished")
	}
	t.Logf("%d of %d requests finished, %d falls", finished, sent, fleet.falls())
}

// TestTurnedColdTargets guards against a target that keeps its load after the first sign that it turned cold without
// notice. Before that sign no daemon can know it, so that each such turn may make it fall once, and no more.
func TestTurnedColdTargets(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, strictTargets())
	turns := map[*world.Target]int{}
	var loads []*load
	for _, daemon := range fleet.daemons {
		loads = append(loads, loadDaemon(daemon, 80*time.Millisecond, assistant))
	}
	time.Sleep(2 * time.Second)
	for range 4 {
		for _, target := range fleet.world.Of("generate", "") {
			turns[target]++
			target.TurnCold()
			time.Sleep(700 * time.Millisecond)
		}
	}
	for _, load := range loads {
		load.stop()
	}
	falls := 0
	for _, target := range fleet.models() {
		counts := target.Counts()
		falls += counts.Falls
		if counts.Falls > turns[target] {
			t.Errorf("%s fell %d times for %d turns; on it at falls:%s", target.Name, counts.Falls, turns[target], trace(target))
		}
	}
	t.Logf("%d falls", falls)
}
