package admit

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	workAlpha     = 0.05 // weight of the newest request in the average work of a route
	admittedAlpha = 0.05 // weight of the newest decision in the average admitted share of a route
)

// Door decides on the requests that reach one daemon, and keeps the history of its routes and the returns that it has promised. It is not safe for concurrent use.
//
// A daemon promises its share of the free time of a service's targets, so that the promises of all daemons together fill it without messages between them.
type Door struct {
	Random *rand.Rand // spreads returns; nil means a new source

	routes   map[string]*history
	promised map[string]time.Time // by service: end of the work of all callers that were told to return
	counts   map[string]int64
}

// history is what the door remembers of a route.
type history struct {
	usualWork      time.Duration // moving average of the work of requests in stages; 0 means unknown
	admittedOffset float64       // moving average of the admitted share of requests less 1; 0 means all
}

// Decide decides on a request and records the decision and the return that it promises.
func (door *Door) Decide(now time.Time, request Request) Decision {
	decision := door.decide(now, request)
	history := door.routes[request.Route]
	if !request.Returning {
		work := request.Work()
		if history.usualWork == 0 {
			history.usualWork = work
		}
		history.usualWork += time.Duration(float64(work-history.usualWork) * workAlpha)
	}
	admitted := 0.0
	if decision.Admit {
		admitted = 1
	} else {
		door.counts["Rejected."+decision.Reason]++
	}
	history.admittedOffset += (admitted - 1 - history.admittedOffset) * admittedAlpha
	return decision
}

// RetryAfter returns when a caller should return whose request was admitted and has failed before it ran, and records the promise; 0 means at once.
func (door *Door) RetryAfter(now time.Time, request Request) time.Duration {
	return door.decide(now, request).RetryAfter
}

// decide decides by the history and the promises, and records the promise that it makes.
func (door *Door) decide(now time.Time, request Request) Decision {
	if door.Random == nil {
		door.Random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if door.routes == nil {
		door.routes, door.promised, door.counts = map[string]*history{}, map[string]time.Time{}, map[string]int64{}
	}
	if door.routes[request.Route] == nil {
		door.routes[request.Route] = &history{}
	}
	request.UsualWork, request.AdmittedShare = door.routes[request.Route].usualWork, 1+door.routes[request.Route].admittedOffset
	request.Stages = slices.Clone(request.Stages)
	for i := range request.Stages {
		request.Stages[i].Promised = max(door.promised[request.Stages[i].Spec.Service].Sub(now), 0)
	}
	decision := Decide(request, door.Random)
	if decision.Promised > 0 && !request.Returning { // who is rejected twice does not return
		door.counts["ReturnsPromised"]++
		door.promised[decision.Scarce] = now.Add(decision.Promised)
	}
	return decision
}

// EachCount calls count with the name and value of each metric: requests rejected by reason, returns promised, and by service the time until the work of those that
// are promised will have been done.
func (door *Door) EachCount(now time.Time, count func(name string, value int64)) {
	for name, value := range door.counts {
		count(name, value)
	}
	for service, until := range door.promised {
		count("PromisedMilliseconds."+service, max(until.Sub(now), 0).Milliseconds())
	}
}
