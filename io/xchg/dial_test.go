package xchg

import (
	"context"
	"testing"
	"time"

	"catkincove/core"
)

// lateContext is a context whose deadline has passed a moment before its timer ends it.
type lateContext struct {
	context.Context
	deadline time.Time
}

// Deadline returns the deadline.
func (late lateContext) Deadline() (time.Time, bool) { return late.deadline, true }

// TestDialAtDeadline guards against a request that reaches its deadline while its connection is opened and that counts as a failure of the
// address: net reports a timeout at the deadline of the context, before the context has ended. A sound daemon to which others forwarded
// requests was passed over until its next ping.
func TestDialAtDeadline(t *testing.T) {
	parent, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	ctx := lateContext{Context: parent, deadline: time.Now().Add(-time.Millisecond)}
	client := Client{Clock: core.SystemClock{}}
	_, err := client.Do(ctx, Request{Address: "127.0.0.1:1", Method: "GET", URI: "/"})
	if err == nil || Sent(err) {
		t.Errorf("error %v", err)
	}
	if ctx.Err() == nil {
		t.Errorf("error %v although the context has not ended", err)
	}
}
