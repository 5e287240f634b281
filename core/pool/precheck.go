package pool

import (
	"time"

	"catkincove/core"
)

// precheckTTL is how long prechecked work counts if its stage never requests a grant; earlier stages of a request are
// short.
const precheckTTL = time.Second

// precheck is the expected work of a later stage whose request still runs earlier stages.
type precheck struct {
	team    core.TeamName
	cost    int
	expires time.Time
}

type precheckKey struct {
	request core.RequestID
	stage   string
}

// prechecks holds the expected work of prechecked stages; the zero value is empty.
type prechecks struct {
	pending map[precheckKey]precheck
	work    map[core.TeamName]int
}

func (prechecks *prechecks) add(now time.Time, entry *entry) {
	if prechecks.pending == nil {
		prechecks.pending = map[precheckKey]precheck{}
		prechecks.work = map[core.TeamName]int{}
	}
	prechecks.consume(entry)
	added := precheck{team: entry.team, cost: entry.cost, expires: now.Add(precheckTTL)}
	prechecks.pending[precheckKey{entry.request, entry.stage}] = added
	prechecks.work[entry.team] += entry.cost
}

// consume removes the precheck of the entry's stage and reports whether there was one.
func (prechecks *prechecks) consume(entry *entry) bool {
	key := precheckKey{entry.request, entry.stage}
	_, found := prechecks.pending[key]
	if found {
		prechecks.remove(key)
	}
	return found
}

func (prechecks *prechecks) remove(key precheckKey) {
	removed := prechecks.pending[key]
	delete(prechecks.pending, key)
	prechecks.work[removed.team] -= removed.cost
	if prechecks.work[removed.team] <= 0 {
		delete(prechecks.work, removed.team)
	}
}

func (prechecks *prechecks) expire(now time.Time) {
	for key, precheck := range prechecks.pending {
		if now.After(precheck.expires) {
			prechecks.remove(key)
		}
	}
}

func (prechecks *prechecks) clear() {
	clear(prechecks.pending)
	clear(prechecks.work)
}

// precheck replies with a rejection if the stage cannot be served in time; otherwise it counts the stage's work as expected.
func (dispatcher *Dispatcher) precheck(now time.Time, entry *entry) core.GrantReply {
	if rejection := dispatcher.checkAdmission(now, entry); rejection != nil {
		dispatcher.counters.Refused++
		return core.GrantReply{Rejection: rejection, Summary: dispatcher.summary()}
	}
	dispatcher.prechecked.add(now, entry)
	return core.GrantReply{Summary: dispatcher.summary()}
}
