package roster

import (
	"testing"
	"time"

	"catkincove/core"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestRegistrationsOutOfOrder guards against using a draining target again because a registration from before the drain
// arrives late, and against ignoring a target after it has restarted.
func TestRegistrationsOutOfOrder(t *testing.T) {
	startedAt := time.UnixMilli(1000)
	entry := func(startedAt time.Time, sequence int64, draining bool) core.TargetEntry {
		return core.TargetEntry{ID: "i", Address: "10.0.0.1:80", StartedAt: startedAt, Sequence: sequence, Draining: draining}
	}
	var registry Registry
	for _, test := range []struct {
		name     string
		entry    core.TargetEntry
		current  bool
		draining bool
	}{
		{"ready", entry(startedAt, 1, false), true, false},
		{"leaving", entry(startedAt, 3, true), true, true},
		{"late entry from before the drain", entry(startedAt, 2, false), true, true},
		{"entry after a restart", entry(startedAt.Add(time.Second), 1, false), true, false},
		{"entry of the earlier run", entry(startedAt, 9, true), false, false},
	} {
		run, current := registry.Merge(start, test.entry)
		if current != test.current || current && run.Draining != test.draining {
			t.Errorf("%s: current %v, draining %v", test.name, current, run.Draining)
		}
	}
}

// TestRereadEntryKeepsColdDeadline guards against a target that stays cold because each read of the same registration
// extends its cold period.
func TestRereadEntryKeepsColdDeadline(t *testing.T) {
	var registry Registry
	cold := core.TargetEntry{ID: "i", ColdTimeLeft: 3 * time.Second, Sequence: 1}
	registry.Merge(start, cold)
	run, _ := registry.Merge(start.Add(2*time.Second), cold)
	if want := start.Add(3 * time.Second); !run.ColdUntil.Equal(want) {
		t.Errorf("cold until %v, want %v", run.ColdUntil, want)
	}
}

// TestRegistrationFromBackup guards against requests to a target that was gone before the store was restored from a backup which
// still holds its registration.
func TestRegistrationFromBackup(t *testing.T) {
	entry := func(startedAt, sequence int64) core.TargetEntry {
		return core.TargetEntry{ID: "i", StartedAt: time.UnixMilli(startedAt), Sequence: sequence}
	}
	tests := []struct {
		name  string
		after time.Duration
		entry core.TargetEntry
		known bool
	}{
		{"from the backup", time.Second, entry(5, 7), false},
		{"the last one", time.Second, entry(5, 9), false},
		{"registered again", time.Second, entry(5, 10), true},
		{"next run", time.Second, entry(6, 1), true},
		{"long after", 2 * time.Minute, entry(5, 7), true},
	}
	for _, test := range tests {
		var registry Registry
		registry.Merge(start, entry(5, 9))
		registry.RemoveAbsent(start, map[string]bool{})
		registry.RemoveAbsent(start.Add(test.after), map[string]bool{})
		if _, known := registry.Merge(start.Add(test.after), test.entry); known != test.known || registry.Has("i") != test.known {
			t.Errorf("%s: used %v", test.name, known)
		}
	}
}
