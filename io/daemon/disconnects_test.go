package daemon

import (
	"context"
	"testing"
	"time"

	"catkincove/core"
)

// TestSeveralDisconnects guards against a grant request that overtakes the release after a disconnect, because a second
// disconnect of the same pool hid the first one: its owner would not know that the request was on a crashed target.
func TestSeveralDisconnects(t *testing.T) {
	pool, other := core.PoolID{Service: "s", DataCentre: "x"}, core.PoolID{Service: "s", DataCentre: "y"}
	var disconnects disconnects
	first, second := disconnects.track(pool), disconnects.track(pool)
	second()
	waits := func(pool core.PoolID) bool {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		disconnects.wait(ctx, pool)
		return ctx.Err() != nil
	}
	if !waits(pool) {
		t.Error("the first release is not waited for after the second one was sent")
	}
	if waits(other) {
		t.Error("another pool waits")
	}
	first()
	if waits(pool) || len(disconnects.pending) != 0 {
		t.Error("releases that were sent are waited for")
	}
}
