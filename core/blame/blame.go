package blame

import (
	"time"

	"catkincove/core"
)

const (
	// CrashLimit is the number of targets that a request content must have crashed before it is quarantined: two can be
	// an accident, such as a request and its retry that both meet a failing rack.
	CrashLimit         = 3
	crashTTL           = 60 * time.Second // lifetime of a crash: callers retry a request within their timeouts of some seconds
	maxContents        = 4096             // contents that are tracked, about 1 MB
	gossipPeriod       = 4 * time.Second  // time for which a crash is gossiped: the other daemons ask once a second
	maxGossipedCrashes = 64               // crashes in one message, about 4 KB
)

// Crash is one target that crashed while it ran a request content.
type Crash struct {
	Content core.Fingerprint
	Target  string
	Age     time.Duration
}

// CrashTracker holds the crashes of the last minute; the zero value is empty. It is not safe for concurrent use.
//
// It is made for a request that crashes each target that runs it, and that its caller retries at any daemon.
type CrashTracker struct {
	crashes map[core.Fingerprint]map[string]record
}

type record struct {
	seenAt time.Time
	local  bool // observed by this daemon, not received by gossip
}

// Add records a crash; one with a zero Age was observed by this daemon.
func (crashTracker *CrashTracker) Add(now time.Time, crash Crash) {
	if crashTracker.crashes == nil {
		crashTracker.crashes = map[core.Fingerprint]map[string]record{}
	}
	crash.Age = max(crash.Age, 0)
	if crash.Age > crashTTL {
		return
	}
	targets := crashTracker.crashes[crash.Content]
	if targets == nil {
		if len(crashTracker.crashes) >= maxContents && !crashTracker.evict(now) {
			return
		}
		targets = map[string]record{}
		crashTracker.crashes[crash.Content] = targets
	}
	if at := now.Add(-crash.Age); at.After(targets[crash.Target].seenAt) {
		targets[crash.Target] = record{seenAt: at, local: crash.Age == 0}
	}
}

// evict makes room for other contents and reports whether it found any to remove: expired ones, and half of those with a
// single crash, which after a failure of many targets are nearly all.
func (crashTracker *CrashTracker) evict(now time.Time) bool {
	crashTracker.expire(now)
	keepNext := false
	for content, targets := range crashTracker.crashes {
		if len(targets) > 1 {
			continue
		}
		if keepNext = !keepNext; !keepNext {
			delete(crashTracker.crashes, content)
		}
	}
	return len(crashTracker.crashes) < maxContents
}

// Exonerate removes the crashes of a request content after it has completed.
func (crashTracker *CrashTracker) Exonerate(content core.Fingerprint) {
	delete(crashTracker.crashes, content)
}

// Quarantined reports whether the request content has crashed too many targets.
func (crashTracker *CrashTracker) Quarantined(now time.Time, content core.Fingerprint) bool {
	crashes := 0
	for _, known := range crashTracker.crashes[content] {
		if now.Sub(known.seenAt) <= crashTTL {
			crashes++
		}
	}
	return crashes >= CrashLimit
}

// CrashesToGossip returns the crashes that the other daemons need: those that this daemon has observed recently, and
// all of contents that crashed several targets. Most contents have one crash, of a target that failed by itself;
// repeating these in each message filled the links of small VMs in a fleet of 71 daemons.
func (crashTracker *CrashTracker) CrashesToGossip(now time.Time) []Crash {
	crashTracker.expire(now)
	var crashes []Crash
	for content, targets := range crashTracker.crashes {
		for target, known := range targets {
			age := now.Sub(known.seenAt)
			if len(crashes) < maxGossipedCrashes && (len(targets) > 1 || known.local && age < gossipPeriod) {
				crashes = append(crashes, Crash{Content: content, Target: target, Age: max(age, time.Nanosecond)})
			}
		}
	}
	return crashes
}

func (crashTracker *CrashTracker) expire(now time.Time) {
	for content, targets := range crashTracker.crashes {
		for target, known := range targets {
			if now.Sub(known.seenAt) > crashTTL {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(crashTracker.crashes, content)
		}
	}
}
