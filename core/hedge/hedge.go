package hedge

import "time"

const (
	maxCredit    = 10.0                  // second tries saved up beyond which requests earn none; slow answers come together
	noRoomMemory = 3 * time.Second       // time after a rejection for want of room in which the service counts as short of it
	stallMemory  = 2 * time.Second       // time after a stall of the process in which slow answers may be its own
	maxLateness  = 60 * time.Millisecond // a timer that fires later than this shows a stall of the process
	minDelay     = 20 * time.Millisecond // shortest delay before a second try
)

// Refusal says why there is no second try.
type Refusal string

// The refusals; an empty one allows the second try.
const (
	Allowed    Refusal = ""
	Off        Refusal = "Off"
	Stalled    Refusal = "Stalled"    // the process was stalled lately
	NoRoom     Refusal = "NoRoom"     // a target of the service has rejected a request for want of room lately
	ShareSpent Refusal = "ShareSpent" // the operators' share of the requests is used up

	NotSent     Refusal = "NotSent"     // the first target has not got the request yet
	PathsLost   Refusal = "PathsLost"   // the daemon has lost its paths to the targets
	NoTarget    Refusal = "NoTarget"    // no other target is usable
	BudgetSpent Refusal = "BudgetSpent" // the retry budget of the service is used up
)

// Hedger decides on the second tries of one daemon; the zero value allows none. It is not safe for concurrent use.
//
// Each daemon keeps to the share of its own requests, so that the sum over the fleet does without messages: in each span of time, a daemon's second tries are
// at most Share for each request in it and 10 saved up before, and over its lifetime at most Share for each request and its Credit at the start.
type Hedger struct {
	Share float64 // second tries allowed per request; 0 means off
	// Credit holds the second tries earned and not used. A random start below 1 makes the sum over a fleet the share of the requests on average, also where no
	// daemon has enough of them to earn one.
	Credit float64

	routes    map[string]*latencies
	fleet     map[string]report    // by address of the daemon
	noRoomAt  map[string]time.Time // by service
	stalledAt time.Time
	counts    map[string]int64
}

// On reports whether second tries are allowed at all.
func (hedger *Hedger) On() bool { return hedger.Share > 0 }

// Begin counts a request that may be repeated, and returns its Delay.
func (hedger *Hedger) Begin(now time.Time, route string) (time.Duration, bool) {
	hedger.Credit = min(hedger.Credit+hedger.Share, maxCredit)
	return hedger.Delay(now, route)
}

// RecordNoRoom records that a target of the service has rejected a request for want of room.
func (hedger *Hedger) RecordNoRoom(now time.Time, service string) {
	if !hedger.On() {
		return
	}
	if hedger.noRoomAt == nil {
		hedger.noRoomAt = map[string]time.Time{}
	}
	hedger.noRoomAt[service] = now
}

// RecordStall records that the process was stalled.
func (hedger *Hedger) RecordStall(now time.Time) { hedger.stalledAt = now }

// Allow charges a second try that was due at a point in time, or returns why there is none.
func (hedger *Hedger) Allow(now, due time.Time, service string) Refusal {
	if now.Sub(due) > maxLateness {
		hedger.RecordStall(now)
	}
	switch {
	case !hedger.On():
		return Off
	case within(now, hedger.stalledAt, stallMemory):
		return Stalled
	case within(now, hedger.noRoomAt[service], noRoomMemory):
		return NoRoom
	case hedger.Credit < 1:
		return ShareSpent
	}
	hedger.Credit--
	return Allowed
}

func within(now, at time.Time, memory time.Duration) bool {
	return !at.IsZero() && now.Sub(at) < memory
}

// CountTry counts a second try that was started, or why there was none.
func (hedger *Hedger) CountTry(refusal Refusal) {
	if refusal == Allowed {
		hedger.count("Started")
	} else {
		hedger.count("Refused." + string(refusal))
	}
}

// CountEnd counts a second try that has won or lost.
func (hedger *Hedger) CountEnd(won bool) {
	if won {
		hedger.count("Won")
	} else {
		hedger.count("Lost")
	}
}

func (hedger *Hedger) count(name string) {
	if hedger.counts == nil {
		hedger.counts = map[string]int64{}
	}
	hedger.counts[name]++
}

// EachCount calls visit with how many second tries were started, won, lost and refused by cause.
func (hedger *Hedger) EachCount(visit func(name string, count int64)) {
	for name, count := range hedger.counts {
		visit("SecondTries."+name, count)
	}
}
