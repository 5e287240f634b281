package blame

import (
	"time"

	"catkincove/core"
)

const (
	// Crashes is the number of targets that a content must have been lost on before it is refused: two can be an
	// accident, such as a request and its retry that both meet a failing rack.
	Crashes = 3
	memory  = 60 * time.Second // callers repeat a request within their time limits of some seconds
	maxKept = 4096             // contents; the oldest are dropped beyond it
	newFor  = 4 * time.Second  // for which a loss is told to the others: they are asked once a second
	maxTold = 64               // losses in one message, about 4 KB
)

// Loss is one target lost while it ran a content.
type Loss struct {
	Content core.Fingerprint
	Target  string
	Age     time.Duration
}

// Ledger holds the losses of the last minute; the zero value is empty. It is not safe for concurrent use.
//
// Load pattern: one request crashes each target that runs it, and its caller sends it again to any daemon.
type Ledger struct {
	losses map[core.Fingerprint]map[string]record
}

type record struct {
	at  time.Time
	own bool // seen by this daemon, not told by another
}

// Add records a loss; one without an age was seen by this daemon.
func (ledger *Ledger) Add(now time.Time, loss Loss) {
	if ledger.losses == nil {
		ledger.losses = map[core.Fingerprint]map[string]record{}
	}
	if loss.Age > memory || len(ledger.losses) >= maxKept {
		return
	}
	targets := ledger.losses[loss.Content]
	if targets == nil {
		targets = map[string]record{}
		ledger.losses[loss.Content] = targets
	}
	if at := now.Add(-loss.Age); at.After(targets[loss.Target].at) {
		targets[loss.Target] = record{at: at, own: loss.Age == 0}
	}
}

// Clear forgets a content, after it has run to its end.
func (ledger *Ledger) Clear(content core.Fingerprint) { delete(ledger.losses, content) }

// Refuses reports whether the content has crashed too many targets.
func (ledger *Ledger) Refuses(now time.Time, content core.Fingerprint) bool {
	ledger.expire(now)
	return len(ledger.losses[content]) >= Crashes
}

// Losses returns what the other daemons need: what this one has seen lately, and all of contents that were lost on several
// targets. Most contents are lost once, with a target that failed by itself; telling them on and on filled the links of small
// VMs in a fleet of 71 daemons.
func (ledger *Ledger) Losses(now time.Time) []Loss {
	ledger.expire(now)
	var losses []Loss
	for content, targets := range ledger.losses {
		for target, known := range targets {
			age := now.Sub(known.at)
			if len(losses) < maxTold && (len(targets) > 1 || known.own && age < newFor) {
				losses = append(losses, Loss{Content: content, Target: target, Age: max(age, time.Nanosecond)})
			}
		}
	}
	return losses
}

func (ledger *Ledger) expire(now time.Time) {
	for content, targets := range ledger.losses {
		for target, known := range targets {
			if now.Sub(known.at) > memory {
				delete(targets, target)
			}
		}
		if len(targets) == 0 {
			delete(ledger.losses, content)
		}
	}
}
