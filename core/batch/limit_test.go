package batch

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/limit"
)

// TestForecastOfLimitedTargets guards against a forecast without capacity although targets take some calls, which rejects all requests,
// so that no response could lift the limits; and against a limit that counts against the capacity of other targets.
func TestForecastOfLimitedTargets(t *testing.T) {
	tests := []struct {
		name     string
		rates    map[string]float64
		slow     string // target that takes 20 times as long
		min, max float64
	}{
		{"no limit", nil, "", 4, 4},
		{"a limit above what the target can do", map[string]float64{"t0": 50}, "", 4, 4},
		{"one call a second", map[string]float64{"t0": 1}, "", 3.1, 3.9},
		{"none of all targets", map[string]float64{"t0": 0, "t1": 0, "t2": 0, "t3": 0}, "", 0.1, 1},
		{"a slow target", map[string]float64{"t0": 0}, "t0", 3, 3.2},
	}
	for _, test := range tests {
		pool := New(warehouseSpec)
		pool.SetTargets(targets(4))
		if worker := pool.workers[test.slow]; worker != nil {
			worker.recordStall(start, 20)
		}
		var table limit.Table
		pool.Pacer = &table
		for target, rate := range test.rates {
			table.Observe(limit.Evidence{Target: target, Named: true, Rate: rate, At: start})
		}
		if capacity := pool.Forecast(start).Capacity; capacity < test.min || capacity > test.max {
			t.Errorf("%s: capacity %v, want %v to %v", test.name, capacity, test.min, test.max)
		}
	}
}

// TestLimitedTarget guards against a target of a stage that gets more calls than the limit that it has named, against jobs that
// nobody sends on when only limited targets are left, and against a forecast that counts on limited targets.
func TestLimitedTarget(t *testing.T) {
	tests := []struct {
		name    string
		rate    float64
		limited int // of four targets
		jobs    int // a second, of two pieces
	}{
		{"one of four", 1, 1, 20},
		{"all", 1, 4, 3},
		{"one of four takes nothing", 0, 1, 20},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(warehouseSpec, 4)
			var table limit.Table
			simulation.pool.Pacer = &table
			free := simulation.pool.Forecast(simulation.now).Capacity
			for _, target := range targets(4)[:test.limited] {
				table.Observe(limit.Evidence{Target: target.ID, Named: true, Rate: test.rate, At: start})
			}
			if capacity := simulation.pool.Forecast(simulation.now).Capacity; capacity > free-float64(test.limited)*0.5 || capacity <= 0 {
				t.Errorf("capacity %v, %v without limits", capacity, free)
			}
			calls := map[string]int{}
			var ids []JobID
			const seconds = 20
			seen := map[CallID]bool{}
			for range seconds * test.jobs {
				ids = append(ids, simulation.submit(2, 2*time.Second, 6*time.Second))
				for end := simulation.now.Add(time.Second / time.Duration(test.jobs)); simulation.now.Before(end); simulation.step() {
					for id, running := range simulation.running {
						if !seen[id] {
							seen[id] = true
							calls[running.call.Target.ID]++
						}
					}
				}
			}
			simulation.run(4 * time.Second)
			sum := 0
			for _, target := range targets(4)[:test.limited] {
				sum += calls[target.ID]
				if count := calls[target.ID]; count > seconds+5 {
					t.Errorf("%s got %d calls in %d s with a limit of 1 a second", target.ID, count, seconds)
				}
			}
			if sum < seconds/10 {
				t.Errorf("limited targets got %d calls in %d s", sum, seconds)
			}
			for _, id := range ids {
				if result, ended := simulation.results[id]; !ended || result.Fault != core.PieceDone {
					t.Errorf("job %d: %v, ended %v", id, result.Fault, ended)
				}
			}
			if wake := simulation.pool.NextWakeup(simulation.now); !wake.IsZero() && wake.Sub(simulation.now) > 2*time.Second {
				t.Errorf("woken only after %v", wake.Sub(simulation.now))
			}
		})
	}
}
