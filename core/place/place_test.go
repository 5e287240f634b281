package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/limit"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func engines(count int) (*Engines, []Target) {
	var targets []Target
	for i := range count {
		targets = append(targets, Target{ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: string(rune('a' + i%3))})
	}
	chooser := &Chooser{Random: rand.New(rand.NewPCG(1, 2)), Daemons: 6}
	return &Engines{Chooser: chooser, MemoryTokens: 300_000}, targets
}

func prompt(attempt, shared string, sharedTokens, own int) Prompt {
	return Prompt{Attempt: attempt, Parts: []core.PromptPart{{ID: shared, Tokens: sharedTokens}, {ID: attempt, Tokens: own}}}
}

// TestShortPromptsAvoidLongOnes guards against chats that wait for a prompt of 40,000 tokens, which takes an engine a
// second, while other engines are idle.
func TestShortPromptsAvoidLongOnes(t *testing.T) {
	engines, targets := engines(4)
	long := engines.Choose(start, targets, prompt("long", "catalogue", 6300, 39_600)).Index
	now := start.Add(50 * time.Millisecond)
	for i := range 7 { // during the prefill of the long prompt
		placement := engines.Choose(now, targets, prompt(fmt.Sprint("short", i), "catalogue", 6300, 500))
		chosen, fault := placement.Index, placement.Fault
		if fault != Chosen || chosen == long {
			t.Errorf("short prompt %d: engine %d, %v; the long prompt is at %d", i, chosen, fault, long)
		}
		now = now.Add(150 * time.Millisecond)
		engines.FinishPrefill(now, targets[chosen].ID, fmt.Sprint("short", i), Succeeded, 150*time.Millisecond)
	}
}

// TestPromptsStayWithTheirEngine guards against repeated prefill of shared parts: one engine keeps them cached while it
// is not overloaded.
func TestPromptsStayWithTheirEngine(t *testing.T) {
	engines, targets := engines(12)
	now := start
	at := map[string]int{}
	for i := range 200 {
		shared := fmt.Sprint("catalogue", i%20)
		attempt := fmt.Sprint(i)
		placement := engines.Choose(now, targets, prompt(attempt, shared, 6300, 800))
		chosen, fault := placement.Index, placement.Fault
		if fault != Chosen {
			t.Fatal(fault)
		}
		if known, found := at[shared]; found && known != chosen {
			t.Errorf("request %d: %s moves from engine %d to %d", i, shared, known, chosen)
		}
		at[shared] = chosen
		now = now.Add(100 * time.Millisecond)
		engines.FinishPrefill(now, targets[chosen].ID, attempt, Succeeded, 100*time.Millisecond)
	}
}

// TestNextPlacerAdoptsHints guards against repeating the prefill of all prompts after a handover to another daemon.
func TestNextPlacerAdoptsHints(t *testing.T) {
	engines, targets := engines(12)
	for i := range 40 {
		one := prompt(fmt.Sprint(i), fmt.Sprint("catalogue", i), 6300, 800)
		one.Hint = targets[(i*7)%12].ID
		chosen := engines.Choose(start.Add(time.Duration(i)*time.Second), targets, one).Index
		if targets[chosen].ID != one.Hint {
			t.Errorf("prompt %d goes to %s, cached by %s", i, targets[chosen].ID, one.Hint)
		}
		engines.FinishPrefill(start.Add(time.Duration(i)*time.Second+100*time.Millisecond), targets[chosen].ID, one.Attempt, Succeeded, 100*time.Millisecond)
	}
}

// TestRestartedEngineHasEmptyCache guards against prompts that go to an engine for a cache that it lost with a restart.
func TestRestartedEngineHasEmptyCache(t *testing.T) {
	engines, targets := engines(1)
	_ = engines.Choose(start, targets, prompt("a", "catalogue", 6300, 100))
	if uncached := engines.engine(targets[0]).cache.uncachedTokens(newPrefix(prompt("b", "catalogue", 6300, 100).Parts)); uncached != 100 {
		t.Errorf("%d tokens to prefill while the engine caches the shared part", uncached)
	}
	targets[0].StartedAt = start.Add(time.Second)
	if uncached := engines.engine(targets[0]).cache.uncachedTokens(newPrefix(prompt("b", "catalogue", 6300, 100).Parts)); uncached != 6400 {
		t.Errorf("%d tokens to prefill after the restart", uncached)
	}
}

// TestCacheEstimateIsBounded guards against prompts that count as cached by an engine which has evicted them.
func TestCacheEstimateIsBounded(t *testing.T) {
	engines, targets := engines(1)
	for i := range 100 {
		attempt := fmt.Sprint(i)
		_ = engines.Choose(start.Add(time.Duration(i)*time.Second), targets, prompt(attempt, fmt.Sprint("s", i), 6000, 1000))
		engines.FinishPrefill(start.Add(time.Duration(i)*time.Second), targets[0].ID, attempt, Succeeded, time.Millisecond)
	}
	if cachedTokens := engines.engine(targets[0]).cache.tokens; cachedTokens > 210_000 {
		t.Errorf("%d tokens count as cached", cachedTokens)
	}
}

// TestLargeInputsStayInDataCentre guards against results of some megabytes that cross data centres for a short prompt.
func TestLargeInputsStayInDataCentre(t *testing.T) {
	engines, targets := engines(12)
	for i := range 30 {
		one := prompt(fmt.Sprint(i), fmt.Sprint("chat", i%5), 170, 500)
		one.Zone, one.InputBytes = "b", 3_750_000
		chosen := engines.Choose(start.Add(time.Duration(i)*200*time.Millisecond), targets, one).Index
		if targets[chosen].DataCentre != "b" {
			t.Errorf("request %d runs in %s", i, targets[chosen].DataCentre)
		}
		engines.FinishPrefill(start.Add(time.Duration(i)*200*time.Millisecond+30*time.Millisecond), targets[chosen].ID, one.Attempt, Succeeded, 30*time.Millisecond)
	}
}

func newChooser() (*Chooser, []Target) {
	targets := []Target{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	return &Chooser{Random: rand.New(rand.NewPCG(3, 4))}, targets
}

// TestFailingTargetIsEjected guards against requests that keep going to a target that disconnects while it reports that
// it is healthy, and against a target that never gets a request again after it has recovered.
func TestFailingTargetIsEjected(t *testing.T) {
	chooser, targets := newChooser()
	now := start
	disconnected, afterRecovery := 0, 0
	for i := range 400 {
		chosen, _ := chooser.Choose(now, targets, Request{Probe: true})
		outcome := Succeeded
		if targets[chosen].ID == "a" && i < 200 {
			outcome = Disconnected
			disconnected++
		}
		if targets[chosen].ID == "a" && i >= 300 {
			afterRecovery++
		}
		now = now.Add(25 * time.Millisecond)
		chooser.Finish(now, targets[chosen].ID, outcome, 1)
	}
	if disconnected > 12 {
		t.Errorf("%d of 200 requests went to the failing target", disconnected)
	}
	if afterRecovery == 0 {
		t.Error("the target gets no requests after it has recovered")
	}
}

// TestColdTargetLimit guards against overloading cold targets because the daemons together send more than they
// tolerate, 11 requests a second x 1.5 + 5, also when a target becomes cold again long after the daemons have last sent to it.
func TestColdTargetLimit(t *testing.T) {
	const daemons = 59
	var choosers []*Chooser
	for daemon := range daemons {
		choosers = append(choosers, &Chooser{Random: rand.New(rand.NewPCG(uint64(daemon), 1)), Daemons: daemons, ColdOver: 1.5, ColdSlack: 5})
	}
	placer := &Engines{Chooser: &Chooser{Random: rand.New(rand.NewPCG(9, 9)), ColdOver: 1.5, ColdSlack: 5}, MemoryTokens: 300_000}
	for phase, coldAt := range []time.Time{start, start.Add(40 * time.Second)} {
		targets := []Target{{ID: "cold", ColdUntil: coldAt.Add(3 * time.Second), ColdRate: 11}}
		sent := 0
		for _, chooser := range choosers {
			for i := range 1000 {
				now := coldAt.Add(time.Duration(i) * time.Millisecond)
				if _, fault := chooser.Choose(now, targets, Request{}); fault == Chosen {
					sent++
					chooser.Finish(now, "cold", Succeeded, 1)
				}
			}
		}
		for i := range 1000 {
			now := coldAt.Add(time.Duration(i) * time.Millisecond)
			one := prompt(fmt.Sprint(phase, i), "s", 10, 10)
			if placer.Choose(now, targets, one).Fault == Chosen {
				sent++
				placer.FinishPrefill(now, "cold", one.Attempt, Succeeded, time.Millisecond)
			}
		}
		if limit := 21; sent > limit || sent < 5 {
			t.Errorf("cold for the %d. time: %d requests in a second, the target tolerates %d", phase+1, sent, limit)
		}
	}
}

// TestTriedTargetsAreExcluded guards against a request that reaches the same target twice.
func TestTriedTargetsAreExcluded(t *testing.T) {
	chooser, targets := newChooser()
	for range 20 {
		chosen, fault := chooser.Choose(start, targets, Request{Exclude: []string{"a", "c"}})
		if fault != Chosen || targets[chosen].ID != "b" {
			t.Fatalf("chosen %d, %v", chosen, fault)
		}
		chooser.Finish(start, "b", Succeeded, 1)
	}
	if _, fault := chooser.Choose(start, targets, Request{Exclude: []string{"a", "b", "c"}}); fault != NoTargets {
		t.Errorf("fault is %v", fault)
	}
}

// TestLimitedEngines guards against a prompt for an engine that has named a limit and may not get it in time, and against an engine
// with a limit that gets nothing although the others are busy.
func TestLimitedEngines(t *testing.T) {
	tests := []struct {
		name    string
		limited int // of two engines
		maxWait time.Duration
		busy    bool // the other engine prefills a long prompt
		index   int
		fault   Fault
		wait    time.Duration
	}{
		{"the other engine", 1, time.Second, false, 1, Chosen, 0},
		{"the other engine is busy for longer", 1, time.Second, true, 0, Chosen, 500 * time.Millisecond},
		{"all have named limits", 2, time.Second, false, -1, Chosen, 500 * time.Millisecond},
		{"all have named limits, too long", 2, 100 * time.Millisecond, false, -1, AllFull, 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			engines, targets := engines(2)
			if test.busy {
				engines.startPrefill(start, targets[1], prompt("long", "catalogue", 6300, 80_000).WithPrefix())
			}
			var table limit.Table
			for _, target := range targets[:test.limited] {
				table.Observe(limit.Evidence{Target: target.ID, Named: true, Rate: 2, At: start})
			}
			engines.Pacer = &table
			one := prompt("a", "b", 100, 100)
			one.MaxWait = test.maxWait
			got := engines.Choose(start, targets, one)
			if test.index < 0 {
				got.Index = -1
			}
			if want := (Placement{Index: test.index, Fault: test.fault, Wait: test.wait}); got != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}

// TestHeldTargets guards against requests that go to a target without a permit while another one is usable, and against ones that
// are rejected although they could wait for it.
func TestHeldTargets(t *testing.T) {
	chooser := &Chooser{Random: rand.New(rand.NewPCG(1, 2)), Daemons: 6}
	targets := []Target{{ID: "a"}, {ID: "b"}}
	chooser.Hold(start, "a", time.Second)
	for range 10 {
		if index, fault := chooser.Choose(start, targets, Request{}); index != 1 || fault != Chosen {
			t.Errorf("target %d, %v", index, fault)
		}
	}
	chooser.Hold(start, "b", 2*time.Second)
	if _, fault := chooser.Choose(start, targets, Request{}); fault != AllFull {
		t.Errorf("all held: %v", fault)
	}
	if _, fault := chooser.Choose(start, targets, Request{MayWait: true}); fault != Chosen {
		t.Errorf("a request that can wait: %v", fault)
	}
	if wait := chooser.HeldFor(start, targets); wait != time.Second {
		t.Errorf("held for %v", wait)
	}
	if _, fault := chooser.Choose(start.Add(1100*time.Millisecond), targets, Request{}); fault != Chosen {
		t.Errorf("after the wait: %v", fault)
	}
}
