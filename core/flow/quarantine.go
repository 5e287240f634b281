package flow

import (
	"sync"
	"time"

	"catkincove/core"
)

// quarantineDuration is how long this daemon rejects a request content after maxDisconnects attempts with it were
// disconnected. By then the owners of the pools know whether the targets crashed; without the quarantine, a caller that
// retried at once reached a third target before that.
const quarantineDuration = 2 * time.Second

// quarantine records request contents whose attempts were disconnected; the zero value is empty.
type quarantine struct {
	mutex         sync.Mutex
	quarantinedAt map[core.Fingerprint]time.Time
}

func (quarantine *quarantine) add(now time.Time, fingerprint core.Fingerprint) {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	if quarantine.quarantinedAt == nil {
		quarantine.quarantinedAt = map[core.Fingerprint]time.Time{}
	}
	for known, at := range quarantine.quarantinedAt {
		if core.Elapsed(at, now) >= quarantineDuration {
			delete(quarantine.quarantinedAt, known)
		}
	}
	quarantine.quarantinedAt[fingerprint] = now
}

// timeLeft returns how much longer the request content is quarantined; 0 means that it is not.
func (quarantine *quarantine) timeLeft(now time.Time, fingerprint core.Fingerprint) time.Duration {
	quarantine.mutex.Lock()
	defer quarantine.mutex.Unlock()
	at, found := quarantine.quarantinedAt[fingerprint]
	if !found {
		return 0
	}
	return max(0, quarantineDuration-core.Elapsed(at, now))
}

// checkQuarantine returns an Unavailable error if the content of the request is quarantined.
func (run *run) checkQuarantine() error {
	timeLeft := run.runner.quarantine.timeLeft(run.runner.clock().Now(), run.fingerprint)
	if timeLeft == 0 {
		return nil
	}
	return core.Errorf(core.Unavailable, "attempts with this request content were disconnected; it is quarantined until the cause is known").WithRetryAfter(timeLeft)
}
