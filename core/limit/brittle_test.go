package limit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestBrittlePace guards against a rate that makes a brittle target reject more requests in a second than it bears, and against one that
// leaves its room unused, while its room shrinks and the load rises at once.
func TestBrittlePace(t *testing.T) {
	const (
		step    = 5 * time.Millisecond
		contact = 3 * time.Second // before its room shrinks
		length  = 10 * time.Second
		delay   = 150 * time.Millisecond // until the pacing daemon hears of a result

		minServed = 0.5 // share of what load and room allow after that
	)
	for _, test := range []struct {
		name         string
		bound        float64
		room, shrunk int
		runTime      time.Duration
		load         float64 // requests per second after the room shrinks; a quarter before
	}{
		{"plenty of room", 8, 100, 100, 100 * time.Millisecond, 50},
		{"room shrinks", 8, 12, 3, 100 * time.Millisecond, 75},
		{"low bound", 4, 12, 3, 100 * time.Millisecond, 75},
		{"long requests", 8, 64, 16, time.Second, 40},
		{"more load than it can run", 4, 28, 5, 100 * time.Millisecond, 68}, // review/5
		{"much more load than it can run", 4, 28, 5, 100 * time.Millisecond, 120},
	} {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewPCG(1, 2))
			var table Table
			table.Observe(Evidence{Target: "a", Named: true, Brittle: true, Rate: test.bound, At: start})
			type report struct {
				at      time.Time
				results Results
			}
			var reports []report
			var ends, rejections []time.Time
			served, most := 0, 0
			for now := start; now.Before(start.Add(length)); now = now.Add(step) {
				late := now.Sub(start) > contact
				room, load := test.room, test.load/4
				if late {
					room, load = test.shrunk, test.load
				}
				for len(reports) > 0 && !reports[0].at.After(now) {
					table.Count("a", reports[0].results)
					reports = reports[1:]
				}
				table.Pace(now, "a")
				running := ends[:0]
				for _, end := range ends {
					if end.After(now) {
						running = append(running, end)
					}
				}
				ends = running
				if random.Float64() > load*step.Seconds() {
					continue
				}
				if _, granted := table.Take(now, "a", 0); !granted {
					continue
				}
				if len(ends) >= room {
					reports = append(reports, report{now.Add(delay), Results{Rejected: 1}})
					rejections = append(rejections, now)
				} else {
					ends = append(ends, now.Add(test.runTime))
					reports = append(reports, report{now.Add(delay), Results{Accepted: 1}})
					if late {
						served++
					}
				}
				count := 0
				for _, at := range rejections {
					if now.Sub(at) < time.Second {
						count++
					}
				}
				most = max(most, count)
			}
			allowed := min(float64(test.shrunk)/test.runTime.Seconds(), test.load) * (length - contact).Seconds()
			t.Logf("%d rejections in a second, served %d of %.0f", most, served, allowed)
			if float64(most) > test.bound {
				t.Errorf("%d rejections in a second, the target bears %v", most, test.bound)
			}
			if float64(served) < minServed*allowed {
				t.Errorf("served %d of %.0f", served, allowed)
			}
		})
	}
}
