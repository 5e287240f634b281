package flow

import (
	"sync"
	"time"

	"catkincove/core"
)

// heldFor is how long a content that broke off mostBroken attempts is refused by this daemon. By then the owners of the
// pools know whether the targets crashed; a caller that sent it again at once reached a third target before that.
const heldFor = 2 * time.Second

// held remembers contents whose attempts broke off; the zero value remembers none.
type held struct {
	mutex sync.Mutex
	since map[core.Fingerprint]time.Time
}

func (held *held) note(now time.Time, print core.Fingerprint) {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	if held.since == nil {
		held.since = map[core.Fingerprint]time.Time{}
	}
	for known, at := range held.since {
		if core.Elapsed(at, now) >= heldFor {
			delete(held.since, known)
		}
	}
	held.since[print] = now
}

// left returns how long the content is still refused; 0 when it is not.
func (held *held) left(now time.Time, print core.Fingerprint) time.Duration {
	held.mutex.Lock()
	defer held.mutex.Unlock()
	at, found := held.since[print]
	if !found {
		return 0
	}
	return max(0, heldFor-core.Elapsed(at, now))
}

// checkHeld refuses a request whose content broke off attempts a moment ago.
func (run *run) checkHeld() error {
	left := run.runner.held.left(run.runner.clock().Now(), run.print)
	if left == 0 {
		return nil
	}
	return core.Errorf(core.Unavailable, "attempts with this content broke off; the cause is being determined").WithRetryAfter(left)
}
