package wake

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func closed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

// TestPauses guards against a pause that is not noticed, against one that is seen in a process that is only busy, and
// against an answer from before a pause that counts as a check.
func TestPauses(t *testing.T) {
	type step struct {
		name      string
		observe   float64 // seconds
		checkedBy float64 // time at which the question of a check was asked; 0 means no check
		woke      bool
		unchecked bool // after the step
	}
	for _, step := range [][]step{
		{{"start", 0, 0, false, false}, {"regular", 0.25, 0, false, false}, {"busy", 1.3, 0, false, false}},
		{{"start", 0, 0, false, false}, {"paused", 4, 0, true, true}, {"old answer", 4.1, 3.9, false, true}, {"new answer", 4.2, 4.1, false, false}},
		{{"start", 0, 0, false, false}, {"paused", 4, 0, true, true}, {"paused again", 9, 4.1, true, true}, {"checked", 9.1, 9, false, false}},
	} {
		var detector Detector
		woken := detector.Woken()
		anyWoke := false
		for _, step := range step {
			woke := detector.Observe(at(step.observe))
			if anyWoke = anyWoke || woke; woke != step.woke {
				t.Errorf("%s: woke %v", step.name, woke)
			}
			if step.checkedBy > 0 {
				detector.Check(at(step.checkedBy))
			}
			if unchecked := detector.Unchecked() != nil; unchecked != step.unchecked {
				t.Errorf("%s: unchecked %v", step.name, unchecked)
			}
			if closed(woken) != anyWoke {
				t.Errorf("%s: woken channel closed %v", step.name, closed(woken))
			}
		}
	}
}

// TestWaitersAreReleased guards against requests that wait for ever for the check after a pause.
func TestWaitersAreReleased(t *testing.T) {
	var detector Detector
	detector.Observe(at(0))
	detector.Observe(at(5))
	first := detector.Unchecked()
	detector.Observe(at(10))
	second := detector.Unchecked()
	detector.Check(at(10.1))
	if !closed(first) || !closed(second) {
		t.Error("a waiter is not released by the check")
	}
}
