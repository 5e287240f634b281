package blame

import (
	"testing"
	"time"
)

// TestCrashingContent guards against a request that goes on to crash targets, sent again to any daemon, and against
// blaming one that was lost with a single target.
func TestCrashingContent(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	var here, there Ledger
	here.Add(now, Loss{Content: 7, Target: "a"})
	here.Add(now, Loss{Content: 7, Target: "a"})
	there.Add(now, Loss{Content: 7, Target: "b"})
	there.Add(now, Loss{Content: 7, Target: "c"})
	if here.Refuses(now, 7) {
		t.Error("refused after one target")
	}
	for _, loss := range there.Losses(now.Add(time.Second)) {
		here.Add(now.Add(time.Second), loss)
	}
	if !here.Refuses(now.Add(time.Second), 7) {
		t.Error("not refused after three targets")
	}
	if here.Refuses(now.Add(2*time.Minute), 7) {
		t.Error("refused for ever")
	}
	there.Clear(7)
	if len(there.Losses(now)) != 0 {
		t.Error("a content that has run is still blamed")
	}
}
