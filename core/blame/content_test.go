package blame

import (
	"testing"
	"time"

	"catkincove/core"
)

// TestSoundContentWithSeveralCrashes guards against a sound content, sent by many callers, that is quarantined at all daemons for a minute: it completed again and again
// between the crashes of its targets, but each daemon had the crashes back from the messages of the others. In the soak, a fifth of the requests got 422.
func TestSoundContentWithSeveralCrashes(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	const content core.Fingerprint = 7
	request := Request{Content: content}
	trackers := make([]CrashTracker, 3)
	exchange := func() {
		now = now.Add(time.Second)
		for i := range trackers {
			for j := range i {
				gossip(now, &trackers[i], &trackers[j])
			}
		}
	}
	trackers[0].Record(now, request, "a")
	trackers[1].Record(now, request, "b")
	exchange()
	for range 5 {
		for i := range trackers[:2] {
			trackers[i].Exonerate(now, request)
		}
		exchange()
	}
	trackers[2].Record(now, request, "c")
	exchange()
	for i := range trackers {
		if quarantined(&trackers[i], now, content) {
			t.Errorf("daemon %d: a content that has completed since two of three crashes is quarantined", i)
		}
	}
}

// TestSoundContentsAreGossipedLast guards against sound parts that other daemons go on rejecting because contents fill the messages after a failure of many targets.
func TestSoundContentsAreGossipedLast(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var tracker CrashTracker
	for content := core.Fingerprint(100); content < 1100; content++ {
		tracker.Record(now, Request{Content: content, Parts: []core.Fingerprint{first}}, "x")
		tracker.Record(now, Request{Content: content, Parts: []core.Fingerprint{first}}, "y")
		tracker.Exonerate(now, Request{Content: content})
	}
	tracker.Exonerate(now, Request{Content: 1, Parts: []core.Fingerprint{first}})
	sound := tracker.SoundToGossip(now)
	if len(sound) != maxGossipedParts || sound[0] != first {
		t.Errorf("%d sound parts and contents are gossiped, the first are %v", len(sound), sound[:min(len(sound), 3)])
	}
}
