package limit

import (
	"testing"
	"time"
)

// TestPause guards against a pause that is cut short by a later answer, outlives its target's run, or holds targets for the whole fleet.
func TestPause(t *testing.T) {
	var table Table
	table.Pause("a", at(0), at(10))
	table.Pause("a", at(1), at(4))
	if got := table.PausedFor(at(3), "a"); got != 7*time.Second {
		t.Errorf("paused for %v", got)
	}
	if got := (Sender{&table}).Wait(at(3), "a"); got != 7*time.Second {
		t.Errorf("a request of this daemon waits for %v", got)
	}
	if got := table.Wait(at(3), "a"); got != 0 {
		t.Errorf("a request of another daemon waits for %v", got)
	}
	if wait, granted := (Sender{&table}).Take(at(3), "a", time.Second); granted || wait != 7*time.Second {
		t.Errorf("granted %v after %v", granted, wait)
	}
	if got := table.PausedFor(at(10), "a"); got != 0 {
		t.Errorf("paused for %v after the end", got)
	}
	table.StartRun("a", at(0))
	if got := table.PausedFor(at(3), "a"); got == 0 {
		t.Error("a run that had begun before ends the pause")
	}
	table.StartRun("a", at(2))
	if got := table.PausedFor(at(3), "a"); got != 0 {
		t.Errorf("paused for %v after a new start", got)
	}
	table.Pause("a", at(3), at(20))
	table.StartRun("a", at(2))
	if got := table.PausedFor(at(3), "a"); got != 17*time.Second {
		t.Errorf("paused for %v by a run that had begun before", got)
	}
	table.Sweep(at(21), func(string) bool { return true })
	if len(table.pauses) != 0 {
		t.Error("a pause is kept after its end")
	}
}
