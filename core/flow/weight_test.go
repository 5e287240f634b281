package flow

import (
	"strings"
	"testing"

	"catkincove/core"
	"catkincove/core/config"
)

// TestGenerateWork guards against a wait estimate that takes prompts for as slow as answers: requests with long answers
// were admitted too late, and requests with long prompts were refused too early.
func TestGenerateWork(t *testing.T) {
	cases := []struct {
		name           string
		prompt, tokens int // characters and longest answer
		least, most    int // expected work
	}{
		{"short answer", 40, 12, 12, 14},
		{"long answer", 40, 400, 400, 402},
		{"long prompt", 6400, 12, 80, 140},
	}
	for _, test := range cases {
		run := &run{runner: &Runner{}, request: Request{Question: "q"}}
		run.result.Passages = []core.Passage{{Text: strings.Repeat("p", test.prompt)}}
		stage := &stage{run: run, config: config.Stage{MaxTokens: test.tokens}}
		stage.generate()
		if stage.tokens < test.least || stage.tokens > test.most {
			t.Errorf("%s: work %d, want %d to %d", test.name, stage.tokens, test.least, test.most)
		}
	}
}
