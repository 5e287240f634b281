package proof

import (
	"sync"
	"testing"
	"time"
)

const (
	stallCheckInterval = 50 * time.Millisecond
	minStall           = 500 * time.Millisecond // time for which this process does not run that is recorded
)

// stall is a time in which this process did not run. It holds the stores and the targets of all fleets, so the leases of all daemons may end.
type stall struct {
	resumedAt time.Time
	length    time.Duration
}

var stalls struct {
	once  sync.Once
	mutex sync.Mutex
	seen  []stall
}

// reportStalls logs the stalls of this process during the test if the test fails, since a fleet without a store for some seconds has lost the
// owners of its pools.
func reportStalls(t *testing.T) {
	stalls.once.Do(func() { go recordStalls() })
	startedAt := time.Now()
	t.Cleanup(func() {
		if !t.Failed() {
			return
		}
		stalls.mutex.Lock()
		defer stalls.mutex.Unlock()
		count := 0
		for _, stall := range stalls.seen {
			if stall.resumedAt.After(startedAt) {
				count++
				t.Logf("the process of the test did not run for %v until %s", stall.length, stall.resumedAt.Format(time.StampMilli))
			}
		}
		t.Logf("%d stalls of the test's process of more than %v", count, minStall)
	})
}

func recordStalls() {
	for last := time.Now(); ; {
		time.Sleep(stallCheckInterval)
		now := time.Now()
		if length := now.Sub(last); length > minStall {
			stalls.mutex.Lock()
			stalls.seen = append(stalls.seen, stall{resumedAt: now, length: length})
			stalls.mutex.Unlock()
		}
		last = now
	}
}
