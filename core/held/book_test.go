package held

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"catkincove/core/batch"
)

var (
	start  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first  = Sender{Peer: "p1", Run: "r1"}
	second = Sender{Peer: "p2", Run: "r2"}
	third  = Sender{Peer: "p3", Run: "r3"}
)

func results(bytes int64, handles ...string) batch.HeldResults {
	return batch.HeldResults{Class: "c", Bytes: bytes, Left: 4 * time.Second, Handles: handles}
}

func told(results []batch.HeldResults) (handles []string) {
	for _, result := range results {
		handles = append(handles, result.Handles...)
	}
	return handles
}

// TestBook guards against a successor that is told of results that are freed, expired or its own, is told twice, or does not hear of
// a free; and against a sender that was killed after it was told, which leaves its successor without it.
func TestBook(t *testing.T) {
	var book Book
	if got := book.Tell(start, "s", first); got != nil {
		t.Fatalf("an empty book tells %v", got)
	}
	book.Add(start, "s", first, results(10, "a", "b"))
	book.Add(start, "s", first, results(20, "c"))
	book.Add(start, "s", second, results(30, "d"))
	book.Add(start, "other", first, results(40, "e"))
	book.Remove([]string{"b"}, "")
	for _, step := range []struct {
		name   string
		at     time.Duration
		sender Sender
		want   []string
	}{
		{"what others made, the largest first", time.Second, second, []string{"c", "a"}},
		{"again", time.Second, second, nil},
		{"the next sender", time.Second, third, []string{"d", "c", "a"}},
		{"another run at the address", 2 * time.Second, Sender{Peer: "p3", Run: "r4"}, []string{"d", "c", "a"}},
		{"more senders than are told", 3 * time.Second, Sender{Peer: "p5", Run: "r5"}, []string{"d"}},
		{"expired", 5 * time.Second, Sender{Peer: "p6", Run: "r6"}, nil},
	} {
		got := book.Tell(start.Add(step.at), "s", step.sender)
		if !slices.Equal(told(got), step.want) {
			t.Errorf("%s: told of %v, want %v", step.name, told(got), step.want)
		}
		if len(got) > 0 && got[0].Left != 4*time.Second-step.at {
			t.Errorf("%s: %v left", step.name, got[0].Left)
		}
	}
	freed := book.Remove([]string{"a"}, "elsewhere")
	if got := slices.Sorted(maps.Keys(freed)); !slices.Equal(got, []string{"p1", "p2", "p3"}) || len(freed["p3"]) != 1 {
		t.Errorf("freed through %v", freed)
	}
	if got := book.Remove([]string{"a"}, "elsewhere"); !slices.Equal(got["elsewhere"], []string{"a"}) {
		t.Errorf("freed through %v", got)
	}
	book.Add(start, "s", second, results(10, "f"))
	if got := told(book.Tell(start, "s", first)); !slices.Equal(got, []string{"f"}) {
		t.Errorf("a sender of before is told of %v", got)
	}
}

// TestLargeBook guards against a message that is too long, and a memory of results that are never freed.
func TestLargeBook(t *testing.T) {
	var book Book
	for i := range 3000 {
		book.Add(start, "s", first, results(int64(i+1), fmt.Sprint("h", i)))
	}
	count := 0
	for range 4 {
		handles := told(book.Tell(start, "s", second))
		if len(handles) > maxTold {
			t.Fatalf("%d handles in one message", len(handles))
		}
		count += len(handles)
	}
	if count != 3000 {
		t.Errorf("told of %d results", count)
	}
	book.Add(start.Add(5*time.Second), "s", first, results(1, "last"))
	if len(book.entries) != 1 {
		t.Errorf("%d results are remembered", len(book.entries))
	}
}
