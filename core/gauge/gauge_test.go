package gauge

import (
	"testing"
	"time"

	"catkincove/core"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestStretch guards against a statement of a second ago that still decides, and against long work that counts as slow to its end because
// its machine is slow at its beginning.
func TestStretch(t *testing.T) {
	slow := core.Load{Told: true, Pace: 2.5}
	for _, test := range []struct {
		name      string
		load      core.Load
		age, work time.Duration
		least     float64
		most      float64
	}{
		{"nothing told", core.Load{}, 0, 100 * time.Millisecond, 1, 1},
		{"fresh", slow, 0, 100 * time.Millisecond, 2.5, 2.5},
		{"some milliseconds old", slow, 10 * time.Millisecond, 100 * time.Millisecond, 2.4, 2.5},
		{"long work", slow, 0, time.Second, 1.1, 1.3},
		{"fast", core.Load{Told: true, Pace: 0.5}, 0, 100 * time.Millisecond, 0.5, 0.5},
		{"half a second old", slow, 500 * time.Millisecond, 100 * time.Millisecond, 1, 1.3},
		{"a second old", slow, time.Second, 100 * time.Millisecond, 1, 1},
	} {
		var gauge Gauge
		gauge.Observe(start, test.load, 0)
		if stretch := gauge.Stretch(start.Add(test.age), test.work); stretch < test.least || stretch > test.most {
			t.Errorf("%s: %.3f", test.name, stretch)
		}
	}
}

// TestFrozenPace guards against a target that is avoided for as long as it keeps telling a pace that its work does not have, and against
// one that is not believed again.
func TestFrozenPace(t *testing.T) {
	var gauge Gauge
	work := 100 * time.Millisecond
	gauge.Observe(start, core.Load{Told: true, Pace: 2.5}, 0)
	gauge.Learn(gauge.Prediction(start, work), 1)
	if gauge.Stretch(start, work) != 1 {
		t.Error("a wrong pace counts")
	}
	for range 20 {
		gauge.Learn(gauge.Prediction(start, work), 2.5)
	}
	if gauge.Stretch(start, work) != 2.5 {
		t.Error("a pace that is right again does not count")
	}
}

// TestOthers guards against a daemon that counts its own requests as those of others, and against one that goes by a statement after it
// has sent its own requests by it.
func TestOthers(t *testing.T) {
	var gauge Gauge
	gauge.Observe(start, core.Load{Told: true, Running: 3, Waiting: 2, Pace: 1}, 1)
	if gauge.Others() != 4 {
		t.Errorf("%d requests of others, want 4", gauge.Others())
	}
	for range maxUses {
		if gauge.Weight(start) != 1 {
			t.Error("a fresh statement does not count")
		}
		gauge.Use()
	}
	if gauge.Weight(start) != 0 {
		t.Errorf("the statement counts after %d requests", maxUses)
	}
}
