package batch

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/limit"
)

// TestLimitedTarget guards against a target of a stage that gets more calls than the limit that it has named, against jobs that
// nobody sends on when only limited targets are left, and against a forecast that counts on limited targets.
func TestLimitedTarget(t *testing.T) {
	tests := []struct {
		name    string
		limited int // of four targets
		jobs    int // a second, of two pieces
	}{
		{"one of four", 1, 20},
		{"all", 4, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			simulation := newSimulation(warehouseSpec, 4)
			var table limit.Table
			simulation.pool.Pacer = &table
			free := simulation.pool.Forecast(simulation.now).Capacity
			for _, target := range targets(4)[:test.limited] {
				table.Observe(limit.Evidence{Target: target.ID, Named: true, Rate: 1, At: start})
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
			if sum < seconds/4 {
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
