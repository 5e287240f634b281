package blame

import (
	"testing"
	"time"

	"catkincove/core"
)

// TestEndings guards against a part of prompts that is never found to be sound at targets whose responses end with their connection, and against one that is found
// to be sound because its target had crashed and was back.
func TestEndings(t *testing.T) {
	const part = core.Fingerprint(7)
	now := time.Unix(1000, 0)
	request := Request{Content: 1, Parts: []core.Fingerprint{part}}
	for _, test := range []struct {
		name           string
		sentAfter, now time.Duration // after the end of the response
		target         string
		sound          bool
	}{
		{"a later request", 10 * time.Millisecond, 200 * time.Millisecond, "i/1", true},
		{"a request that was sent before", -10 * time.Millisecond, 200 * time.Millisecond, "i/1", false},
		{"another target", 10 * time.Millisecond, 200 * time.Millisecond, "j/1", false},
		{"another run of the target", 10 * time.Millisecond, 200 * time.Millisecond, "i/2", false},
		{"a response that may come from a new run", 10 * time.Millisecond, minRestart + time.Millisecond, "i/1", false},
	} {
		var tracker CrashTracker
		tracker.AddEnding(now, request, "i/1")
		tracker.AddResponse(now.Add(test.now), now.Add(test.sentAfter), test.target)
		if got := tracker.isSound(now.Add(test.now), part); got != test.sound {
			t.Errorf("%s: sound %v", test.name, got)
		}
	}
	var tracker CrashTracker
	for range 2 * maxEndings {
		tracker.AddEnding(now, request, "i/1")
	}
	if len(tracker.unproven) > maxEndings {
		t.Errorf("%d endings", len(tracker.unproven))
	}
}
