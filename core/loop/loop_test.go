package loop

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"
)

// TestLoopRunsInOrder guards against posted functions that run out of order.
func TestLoopRunsInOrder(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var loop Loop
	go func() { _ = loop.Run(ctx) }()
	const events = 1000
	seen := make([]int, 0, events)
	for i := range events {
		loop.Post(func() { seen = append(seen, i) })
	}
	if err := loop.Do(ctx, func() {}); err != nil {
		t.Fatal(err)
	}
	for i, value := range seen {
		if i != value {
			t.Fatalf("event %d ran at position %d", value, i)
		}
	}
	if len(seen) != events {
		t.Fatalf("%d of %d events ran", len(seen), events)
	}
}

// TestLoopSurvivesPanic guards against one unexpected error that ends the control loop, and against a caller of Do that waits
// for ever for a function that has panicked.
func TestLoopSurvivesPanic(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var panics []string
	loop := Loop{OnPanic: func(value any, stack []byte) {
		if strings.Contains(string(stack), "loop_test.go") {
			panics = append(panics, value.(string))
		}
	}}
	go func() { _ = loop.Run(ctx) }()
	loop.Post(func() { panic("posted") })
	if err := loop.Do(ctx, func() { panic("awaited") }); !errors.Is(err, ErrPanicked) {
		t.Errorf("Do returns %v", err)
	}
	if err := loop.Do(ctx, func() {}); err != nil {
		t.Errorf("the loop has ended: %v", err)
	}
	if got := strings.Join(panics, " "); got != "posted awaited" {
		t.Errorf("reported panics: %q", got)
	}
}

// TestAbandonedFunctionDoesNotRun guards against a function that writes to variables of a caller of Do after Do has given
// up waiting and its caller has returned them.
func TestAbandonedFunctionDoesNotRun(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var loop Loop
	go func() { _ = loop.Run(ctx) }()
	release := make(chan struct{})
	loop.Post(func() { <-release })
	short, cancelShort := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancelShort()
	ran := false
	if err := loop.Do(short, func() { ran = true }); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("Do returns %v", err)
	}
	close(release)
	if err := loop.Do(ctx, func() {}); err != nil {
		t.Fatal(err)
	}
	if ran {
		t.Error("the function ran after Do had returned")
	}

	// A function that has begun is waited for.
	begun, completed := make(chan struct{}), false
	ending, end := context.WithCancel(ctx)
	go func() { <-begun; end() }()
	err := loop.Do(ending, func() {
		close(begun)
		time.Sleep(20 * time.Millisecond)
		completed = true
	})
	if err != nil || !completed {
		t.Errorf("Do returns %v before its function has ended", err)
	}
}
