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
