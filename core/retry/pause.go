package retry

import (
	"context"
	"time"

	"catkincove/core"
)

// Bounds of a Pause; targets that are full accept a request some hundred milliseconds later.
const (
	MinPause = 100 * time.Millisecond
	MaxPause = 800 * time.Millisecond
)

// Pause is the pause before a further attempt; each is twice as long as the one before, from MinPause up to MaxPause. The zero value is ready to use.
type Pause time.Duration

// Sleep returns after the next pause, or with false when ctx ends.
func (pause *Pause) Sleep(ctx context.Context, clock core.Clock) bool {
	*pause = Pause(min(max(2*time.Duration(*pause), MinPause), MaxPause))
	return core.Sleep(ctx, clock, time.Duration(*pause))
}
