package place

import (
	"fmt"
	"testing"
	"time"

	"catkincove/core"
)

// shortParts returns a prompt of so many parts, no two alike.
func shortParts(number, parts, tokens int) Prompt {
	one := Prompt{Attempt: fmt.Sprint(number)}
	for i := range parts {
		one.Parts = append(one.Parts, core.PromptPart{ID: fmt.Sprintf("%x-%x", number, i), Tokens: tokens})
	}
	return one
}

// TestCachedPartsAreBounded guards against a placer that remembers parts without a bound because they have few tokens or none, and against sums that overflow.
func TestCachedPartsAreBounded(t *testing.T) {
	for _, test := range []struct {
		name   string
		tokens int
	}{{"one token", 1}, {"no token", 0}, {"all that an integer holds", 1<<63 - 1}, {"negative", -5}} {
		t.Run(test.name, func(t *testing.T) {
			engines, targets := engines(2)
			for i := range 40 {
				one := shortParts(i, 5000, test.tokens)
				chosen := engines.Choose(start, targets, one)
				engines.FinishPrefill(start, targets[chosen.Index].ID, one.Attempt, Inconclusive, time.Millisecond)
				for id, engine := range engines.engines {
					if parts := engine.cache.parts.Len(); parts > maxEngineParts {
						t.Fatalf("%d parts of %s are remembered", parts, id)
					}
					if tokens := engine.cache.tokens; tokens < 0 || tokens > 210_000 {
						t.Fatalf("%d tokens count as cached", tokens)
					}
				}
			}
		})
	}
}

// TestOversizedPromptLeavesCache guards against a prompt that no engine accepts and that makes the placer forget what the engines cache.
func TestOversizedPromptLeavesCache(t *testing.T) {
	engines, targets := engines(1)
	_ = engines.Choose(start, targets, prompt("a", "catalogue", 6300, 100))
	_ = engines.Choose(start, targets, prompt("b", "other", 1<<40, 100))
	if uncached := engines.engine(targets[0]).cache.uncachedTokens(newPrefix(prompt("c", "catalogue", 6300, 100).Parts)); uncached != 100 {
		t.Errorf("%d tokens to prefill", uncached)
	}
}

// TestLongPromptsShareTheirBegin guards against prompts of hundreds of parts whose shared parts count as uncached.
func TestLongPromptsShareTheirBegin(t *testing.T) {
	for _, parts := range []int{2, 300, maxTrackedParts, maxTrackedParts + 1, 2000} {
		engines, targets := engines(8)
		first, second := shortParts(1, parts, 10), shortParts(1, parts, 10)
		second.Attempt, second.Parts[parts-1].ID = "second", "own"
		at := engines.Choose(start, targets, first).Index
		engines.FinishPrefill(start, targets[at].ID, first.Attempt, Inconclusive, time.Millisecond)
		if got := engines.Choose(start.Add(time.Second), targets, second).Index; got != at {
			t.Errorf("%d parts: the second prompt goes to engine %d, its parts are at %d", parts, got, at)
		}
	}
}

// BenchmarkShortParts measures a prompt of very many short parts at a placer that remembers as many as it may.
func BenchmarkShortParts(b *testing.B) {
	engines, targets := engines(18)
	var prompts []Prompt
	for i := range 200 {
		prompts = append(prompts, shortParts(i, 5000, 1).WithPrefix())
	}
	for i := 0; b.Loop(); i++ {
		one := prompts[i%len(prompts)]
		chosen := engines.Choose(start, targets, one)
		engines.FinishPrefill(start, targets[chosen.Index].ID, one.Attempt, Inconclusive, time.Millisecond)
	}
}
