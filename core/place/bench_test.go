package place

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"catkincove/core"
)

// BenchmarkEngines measures the cost of one prompt at the daemon that places the prompts of a fleet with 140 engines.
func BenchmarkEngines(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	engines := &Engines{Chooser: &Chooser{Random: random, Daemons: 71}, MemoryTokens: 290_000}
	var targets []Target
	for i := range 140 {
		targets = append(targets, Target{ID: fmt.Sprintf("i-%d", i), DataCentre: string(rune('a' + i%4)), MaxConnections: 290})
	}
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Second / 500)
		shared := random.IntN(900)
		attempt := fmt.Sprint(i)
		prompt := Prompt{Attempt: attempt, Parts: []core.PromptPart{
			{ID: fmt.Sprint("s", shared%4), Tokens: 2500}, {ID: fmt.Sprint("p", shared), Tokens: 3800}, {ID: attempt, Tokens: 2900},
		}}
		placement := engines.Choose(now, targets, prompt)
		chosen, fault := placement.Index, placement.Fault
		if fault == Chosen && i > 100 {
			engines.FinishPrefill(now.Add(200*time.Millisecond), targets[chosen].ID, attempt, Succeeded, 200*time.Millisecond)
		}
	}
}
