package flow

import (
	"testing"
	"time"
)

// TestHeldContents guards against a content that is sent on at once after it broke off, and against one that is held for
// good.
func TestHeldContents(t *testing.T) {
	var held held
	now := time.Unix(1_700_000_000, 0)
	if left := held.left(now, 1); left != 0 {
		t.Errorf("unknown content is held for %v", left)
	}
	held.note(now, 1)
	if left := held.left(now.Add(heldFor/2), 1); left != heldFor/2 {
		t.Errorf("content is held for %v, expected %v", left, heldFor/2)
	}
	if left := held.left(now.Add(heldFor), 1); left != 0 {
		t.Errorf("content is still held for %v", left)
	}
	held.note(now.Add(2*heldFor), 2)
	if len(held.since) != 1 {
		t.Errorf("%d contents are remembered, expected 1", len(held.since))
	}
}
