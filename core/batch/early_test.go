package batch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"pgregory.net/rapid"

	"catkincove/core"
)

// TestEarly guards against pieces that wait for a call which is slower than others although a target is idle, against more repeats than the share, and against
// any while the service is short of room, has a queue or the process was stalled.
func TestEarly(t *testing.T) {
	spec := core.BatchSpec{MaxPieces: 8, MaxCalls: 1, CallOverhead: 150 * time.Millisecond, PieceTime: 25 * time.Millisecond, MaxResultBytes: 1 << 30, ResultTTL: 4 * time.Second}
	const jobs, interval = 900, 100 * time.Millisecond
	var unrepeated time.Duration // p99 with the share at 0
	for _, test := range []struct {
		name    string
		share   float64
		targets int
		disturb func(simulation *simulation, job int)
		maxP99  time.Duration
		none    bool
	}{
		{"share 0", 0, 8, nil, time.Second, true},
		{"share 0.01", 0.01, 8, nil, time.Second, false},
		{"share 0.05", 0.05, 8, nil, time.Second, false},
		{"no idle target", 0.05, 1, nil, time.Hour, true},
		{"rejections", 0.05, 8, func(simulation *simulation, job int) { simulation.pool.Early.noRoomAt = simulation.now }, time.Second, true},
		{"retry budget spent", 0.05, 8, func(simulation *simulation, job int) {
			simulation.pool.Early.Limit(0.05, 0, 10*time.Second)
		}, time.Second, true},
	} {
		random := rand.New(rand.NewPCG(1, 2))
		simulation := newSimulation(spec, test.targets)
		simulation.pool.Early.Limit(test.share, 0.2, 10*time.Second)
		begun := map[JobID]time.Time{}
		for job := range jobs {
			for i := range test.targets { // 3 in 100 calls take 2.3 times as long, which is no stall yet
				simulation.slowdowns[fmt.Sprintf("t%d", i)] = 0.95 + 0.1*random.Float64()
				if random.Float64() < 0.03 {
					simulation.slowdowns[fmt.Sprintf("t%d", i)] = 2.3
				}
			}
			if test.disturb != nil {
				test.disturb(simulation, job)
			}
			began := simulation.now
			begun[simulation.submit(1, 30*time.Second, 60*time.Second)] = began
			simulation.run(interval)
		}
		simulation.run(2 * time.Second)
		var latencies []time.Duration
		for id, ended := range simulation.endedAt {
			if id > jobs/3 {
				latencies = append(latencies, ended.Sub(begun[id]))
			}
		}
		slices.Sort(latencies)
		p99, repeated := latencies[len(latencies)*99/100], simulation.pool.Early.Repeated()
		if test.share == 0 {
			unrepeated = p99
		} else if test.name == "share 0.05" && p99 >= unrepeated {
			t.Errorf("p99 %v, %v without repeats", p99, unrepeated)
		}
		t.Logf("%s: p99 %v, %d pieces repeated early, %d sent for %d jobs", test.name, p99, repeated, simulation.pieces, jobs)
		if p99 > test.maxP99 || test.none != (repeated == 0) || float64(repeated) > test.share*float64(simulation.pieces) {
			t.Errorf("%s: p99 %v (limit %v), %d pieces repeated early of %d", test.name, p99, test.maxP99, repeated, simulation.pieces)
		}
	}
}

// TestEarlyAfterStall guards against pieces that are repeated early because the process was stalled, while their responses wait to be read.
func TestEarlyAfterStall(t *testing.T) {
	simulation := newSimulation(warehouseSpec, 4)
	simulation.pool.Early.Limit(0.05, 0.2, 10*time.Second)
	for range 300 {
		simulation.submit(1, 30*time.Second, 60*time.Second)
		simulation.run(100 * time.Millisecond)
	}
	before := simulation.pool.Early.Repeated()
	simulation.submit(1, 30*time.Second, 60*time.Second)
	simulation.pool.NextWakeup(simulation.now)
	simulation.now = simulation.now.Add(5 * time.Second)
	simulation.dispatch()
	if after := simulation.pool.Early.Repeated(); after != before || simulation.pool.Early.factor == 0 {
		t.Errorf("%d pieces repeated after a stall, factor %v", after-before, simulation.pool.Early.factor)
	}
}

// TestEarlyModel guards against early repeats that lose a job or a result, send a piece too often, or come without a wake-up that was announced, in random runs with targets
// that fail, restart and fill up.
func TestEarlyModel(t *testing.T) {
	repeated := int64(0)
	rapid.Check(t, func(t *rapid.T) {
		model := newPoolModel(t)
		early := &model.pool.Early
		early.Limit(1, 1, 10*time.Second)
		early.current, early.since, early.credit = hdrhistogram.New(1, maxEarlyRatio*earlyScale, earlyDigits), start, maxEarlyCredit
		_ = early.current.RecordValues(earlyScale, 100*minEarlySamples)
		early.factor = minEarlyFraction
		for range 1000 {
			early.budget.AddRequest(start)
		}
		model.run()
		repeated += early.Repeated()
	})
	if repeated == 0 {
		t.Error("no run has repeated a piece early")
	}
	t.Logf("%d pieces were repeated early", repeated)
}
