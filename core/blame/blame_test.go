package blame

import (
	"testing"
	"time"

	"catkincove/core"
)

func quarantined(tracker *CrashTracker, now time.Time, content core.Fingerprint) bool {
	_, quarantined := tracker.Quarantined(now, Request{Content: content})
	return quarantined
}

// TestCrashingContent guards against a request that its caller retries at any daemon and that crashes one target after
// another, and against quarantining one that crashed a single target.
func TestCrashingContent(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var here, there CrashTracker
	here.Add(now, Crash{Content: 7, Target: "a"})
	here.Add(now, Crash{Content: 7, Target: "a"})
	there.Add(now, Crash{Content: 7, Target: "b"})
	there.Add(now, Crash{Content: 7, Target: "c"})
	if quarantined(&here, now, 7) {
		t.Error("quarantined after one target")
	}
	for _, crash := range there.CrashesToGossip(now.Add(time.Second)) {
		here.Add(now.Add(time.Second), crash)
	}
	if !quarantined(&here, now.Add(time.Second), 7) {
		t.Error("not quarantined after three targets")
	}
	if quarantined(&here, now.Add(2*time.Minute), 7) {
		t.Error("quarantine does not expire")
	}
	there.Exonerate(now, Request{Content: 7})
	if len(there.CrashesToGossip(now)) != 0 {
		t.Error("crashes of a content that has completed are kept")
	}
}

// TestCrashesAreGossipedOnce guards against messages between daemons that grow with each target that fails: a thousand
// contents with one crash each are gossiped for some seconds by the daemon that observed them, and by no other.
func TestCrashesAreGossipedOnce(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var here, there CrashTracker
	for content := range core.Fingerprint(1000) {
		here.Add(now, Crash{Content: content + 10, Target: "a"})
	}
	gossiped := here.CrashesToGossip(now)
	if len(gossiped) == 0 || len(gossiped) > maxGossipedCrashes {
		t.Errorf("%d crashes are gossiped", len(gossiped))
	}
	for _, crash := range gossiped {
		there.Add(now, crash)
	}
	if again := there.CrashesToGossip(now); len(again) != 0 {
		t.Errorf("%d received crashes are gossiped again", len(again))
	}
	if later := here.CrashesToGossip(now.Add(gossipPeriod)); len(later) != 0 {
		t.Errorf("%d crashes are gossiped after %v", len(later), gossipPeriod)
	}
	there.Add(now, Crash{Content: gossiped[0].Content, Target: "b", Age: time.Second})
	if both := there.CrashesToGossip(now.Add(gossipPeriod)); len(both) != 2 {
		t.Errorf("%d crashes are gossiped of a content that crashed two targets", len(both))
	}
}

// TestFullTracker guards against a request that is never quarantined because the tracker is full of contents that were
// running when a data centre of targets failed.
func TestFullTracker(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var tracker CrashTracker
	tracker.Add(now, Crash{Content: 5, Target: "a"})
	for content := range core.Fingerprint(2 * maxContents) {
		tracker.Add(now.Add(time.Second), Crash{Content: content + 10, Target: "rack"})
	}
	for i, target := range []string{"a", "b", "c"} {
		tracker.Add(now.Add(time.Duration(i+2)*time.Second), Crash{Content: 7, Target: target})
		tracker.Add(now.Add(time.Duration(i+2)*time.Second), Crash{Content: 12, Target: target})
	}
	for _, content := range []core.Fingerprint{7, 12} {
		if !quarantined(&tracker, now.Add(5*time.Second), content) {
			t.Errorf("content %d is not quarantined after three targets", content)
		}
	}
	if len(tracker.suspects) > maxContents {
		t.Errorf("%d contents are tracked, limit %d", len(tracker.suspects), maxContents)
	}
}

// TestCrashFromTheFuture guards against a peer's message with a negative age, whose crash would never expire.
func TestCrashFromTheFuture(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var tracker CrashTracker
	for _, target := range []string{"a", "b", "c"} {
		tracker.Add(now, Crash{Content: 7, Target: target, Age: -time.Hour})
	}
	if quarantined(&tracker, now.Add(2*crashTTL), 7) {
		t.Error("quarantine does not expire")
	}
}
