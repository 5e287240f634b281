package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/caller"
	"catkincove/io/entry"
	"catkincove/stand/engine"
	"catkincove/stand/world"
)

const (
	poisonText  = "quicksilver"
	poisonCalls = 24
	// mostFurtherFalls: one content crashes at most two targets after those on which it already ran (design, 5.4).
	mostFurtherFalls = 2
	// poisonSettles is how long after the last crash the finding may be open: crashes within 2 s may yet show a failed rack.
	poisonSettles = 4 * time.Second
)

func poisonous(pipeline string) caller.Request {
	return caller.Request{Pipeline: pipeline, Body: entry.RequestBody{Question: "mix " + poisonText + " for hall 1"}}
}

// only sends the request once to the daemon.
func only(daemon *process, request caller.Request) *core.Error {
	client := &caller.Client{Team: "fans", Seeds: []string{daemon.address()}, Fixed: true, Attempts: 1}
	load := &load{}
	load.send(client, request)
	return load.results[0].err
}

// TestPoisonIsQuarantined guards against one content that takes down target after target, and against innocent
// requests that suffer for it.
func TestPoisonIsQuarantined(t *testing.T) {
	tests := []struct {
		name    string
		service string // whose targets the content crashes
		request caller.Request
		atOnce  int // daemons that have the content at the same time at first
	}{
		{"one after another, generate", "generate", poisonous("lookup"), 1},
		{"one after another, encode", "encode", poisonous("assistant"), 1},
		{"three at once, generate", "generate", poisonous("lookup"), 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, 4, world.Options{Replicas: map[string]int{"generate": 3, "encode": 3}})
			for _, target := range fleet.world.Of(test.service, "") {
				target.SetFaults(engine.Faults{PoisonText: poisonText})
			}
			innocent := startLoad(fleet.client, 50*time.Millisecond, assistant)
			time.Sleep(3 * time.Second)
			var first sync.WaitGroup
			for i := range test.atOnce {
				first.Go(func() { _ = only(fleet.daemons[i], test.request) })
			}
			first.Wait()
			for i := range poisonCalls {
				_ = only(fleet.daemons[i%len(fleet.daemons)], test.request)
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(poisonSettles)
			for _, daemon := range fleet.daemons {
				if err := only(daemon, test.request); err == nil || err.Kind != core.Poison {
					t.Errorf("%s answers %v, expected Poison", daemon.name, err)
				}
			}
			results := innocent.stop()
			if falls, most := fleet.falls(), test.atOnce+mostFurtherFalls-1; falls > most {
				t.Errorf("%d falls, at most %d", falls, most)
			}
			if count, described := failures(results); count > 0 {
				t.Errorf("%d of %d innocent requests failed:%s", count, len(results), described)
			}
			t.Logf("%d falls, %d innocent requests", fleet.falls(), len(results))
		})
	}
}

// TestLostDataCentreBlamesNobody guards against contents that are refused because they ran in a data centre whose
// targets all died at once.
func TestLostDataCentreBlamesNobody(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, world.Options{})
	const contents = 40
	repeated := func(number int) caller.Request { return assistant(number % contents) }
	var loads []*load
	for _, daemon := range fleet.daemons {
		loads = append(loads, loadDaemon(daemon, 100*time.Millisecond, repeated))
	}
	time.Sleep(2 * time.Second)
	for _, dataCentre := range []string{"north", "south", "north"} {
		fleet.world.Lose(dataCentre)
		time.Sleep(1500 * time.Millisecond)
		fleet.world.Regain(dataCentre)
		time.Sleep(2500 * time.Millisecond)
	}
	kinds, finished, first := map[core.Kind]int{}, 0, ""
	for _, load := range loads {
		for _, result := range load.stop() {
			if result.err == nil {
				finished++
				continue
			}
			kinds[result.err.Kind]++
			if result.err.Kind == core.Poison && first == "" {
				first = fmt.Sprintf("%s: %v", result.question, result.err)
			}
		}
	}
	if kinds[core.Poison] > 0 {
		t.Errorf("%d requests were refused as poison, such as %s", kinds[core.Poison], first)
	}
	t.Logf("%d finished, errors: %v", finished, kinds)
}
