package canary

import (
	"math"
	"slices"
	"time"

	"catkincove/core"
)

const (
	partialUse = 0.8                // part of the bounds that new requests may use up below share 1, so that full traffic finds some left
	fullUse    = 1.0                // part of the bounds from the first moved route on, which then still grow until the time limit
	goldenStep = 0.6180339887498949 // fractions of its multiples fill the interval evenly, also for every second or third request
)

// Bounds are the limits on what a bad version may get, which the operator states.
type Bounds struct {
	Share    float64       // of all requests for the service between the order and its time limit
	Slack    float64       // requests beyond the share
	Rollback time.Duration // time after the 50th bad response within which the last request is sent
}

// Grant says what a daemon may send to the new version; the zero value allows nothing.
type Grant struct {
	Sequence int64         // of two running grants the one with the lower number is older; 0 for a grant without order
	Share    float64       // of the daemon's requests for the service; 1 means that none may go to the old version
	For      time.Duration // time for which the grant holds; after it, requests go to the old version
	Phase    core.RolloutPhase
	Bounds   Bounds   // for all daemons together
	Daemons  int      // daemons that divide the slack of the bounds
	Moved    []string // routes of which none may go to the old version, because their requests take long to end there
}

// Splitter divides the requests of one daemon between the arms; the zero value sends all to the old one. It counts from the order on,
// so an order needs its own. It is not safe for concurrent use.
type Splitter struct {
	grant     Grant
	expiresAt time.Time
	requests  int64
	sentNew   int64
}

// Use replaces the grant. It ignores a grant that is older than the present one, unless that has expired: another decider may have an earlier clock.
func (splitter *Splitter) Use(now time.Time, grant Grant) {
	stale := grant.Sequence != 0 && grant.Sequence < splitter.grant.Sequence && now.Before(splitter.expiresAt)
	if splitter.grant.Phase != core.RolloutRunning || stale && grant.Phase == core.RolloutRunning {
		return
	}
	splitter.grant, splitter.expiresAt = grant, now.Add(grant.For)
}

// Choose returns the arm of a new request on a route that is not known.
func (splitter *Splitter) Choose(now time.Time) Arm { return splitter.ChooseRoute(now, "") }

// ChooseRoute returns the arm of a new request on a route. It never exceeds the daemon's part of the bounds before success; the daemons' parts add up
// to the bounds without coordination, so a burst or a daemon that is cut off does not break them.
func (splitter *Splitter) ChooseRoute(now time.Time, route string) Arm {
	splitter.requests++
	switch {
	case splitter.grant.Phase == core.RolloutSucceeded:
	case splitter.grant.Phase != core.RolloutRunning || !now.Before(splitter.expiresAt):
		return Old
	case !splitter.isTurn() && !slices.Contains(splitter.grant.Moved, route):
		return Old
	case float64(splitter.sentNew+1) > splitter.grant.limit(splitter.requests):
		return Old
	}
	splitter.sentNew++
	return New
}

// isTurn reports whether the present request is one of the share.
func (splitter *Splitter) isTurn() bool {
	_, fraction := math.Modf(float64(splitter.requests) * goldenStep)
	return fraction < splitter.grant.Share
}

// limit returns the new requests that a daemon may have sent when it has got a number of requests.
func (grant Grant) limit(requests int64) float64 {
	use := partialUse
	if grant.Share >= 1 || len(grant.Moved) > 0 {
		use = fullUse
	}
	return use * (grant.Bounds.Share*float64(requests) + grant.Bounds.Slack/float64(max(grant.Daemons, 1)))
}
