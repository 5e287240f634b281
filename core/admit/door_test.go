package admit

import (
	"testing"
	"time"
)

// TestPromisedReturnsFillFreeTime guards against callers that are turned away together and told to return together: their work must fit the daemon's share of
// the time that the scarce stage has free, and each must still be served within its limit if nobody waits by then.
func TestPromisedReturnsFillFreeTime(t *testing.T) {
	const callers, daemons, pieceTime = 40, 4, 50 * time.Millisecond
	now := time.Date(2026, 12, 6, 8, 0, 0, 0, time.UTC)
	door := Door{Random: random()}
	request := testRequest(time.Second)
	request.TimeLeft, request.Daemons = 30*time.Second, daemons
	for i := range request.Stages {
		request.Stages[i].PieceTime, request.Stages[i].Forecast.Pressure = pieceTime, 0.5
	}
	var first, last time.Duration
	bySecond := map[int]time.Duration{}
	for i := range callers {
		decision := door.Decide(now, request)
		if decision.Admit {
			t.Fatal("a request was admitted that will be late")
		}
		if i == 0 {
			first = decision.RetryAfter
		}
		last = max(last, decision.RetryAfter)
		bySecond[int(decision.RetryAfter/time.Second)] += pieceTime
	}
	if queue := 2 * time.Second; first < queue { // a second of work, of which the arriving work leaves half of the time
		t.Errorf("the first caller returns after %v, the queue drains in %v", first, queue)
	}
	free := time.Second * 4 / 2 / daemons // of four targets, half of which the arriving work needs
	for second, work := range bySecond {
		if work > free+pieceTime {
			t.Errorf("%v of work return in second %d, free are %v", work, second, free)
		}
	}
	if spread := pieceTime * callers * daemons / 2; last-first < spread/2 {
		t.Errorf("returns are spread over %v, their work takes %v", last-first, spread)
	}
}

// TestReturnLeavesTimeToServe guards against a Retry-After so late that the request fails even if nobody waits by then.
func TestReturnLeavesTimeToServe(t *testing.T) {
	request := testRequest(1500 * time.Millisecond)
	request.TimeLeft, request.SoftTimeLeft = 2*time.Second, time.Second
	for range 100 {
		var door Door
		decision := door.Decide(time.Now(), request)
		request := testRequest(0)
		request.TimeLeft, request.SoftTimeLeft, request.Returning = 2*time.Second-decision.RetryAfter, time.Second-decision.RetryAfter, true
		if again := Decide(request, random()); decision.Admit || !again.Admit {
			t.Fatalf("the caller was told to return after %v and is turned away then: %+v", decision.RetryAfter, again)
		}
	}
}

// TestLostPromises guards against a door that depends on what it has promised: one that starts anew, or has no forecast, still spreads returns.
func TestLostPromises(t *testing.T) {
	request := testRequest(600 * time.Millisecond)
	for i := range request.Stages {
		request.Stages[i].ForecastFresh = false
	}
	least, most := time.Hour, time.Duration(0)
	for range 100 {
		var door Door
		after := door.Decide(time.Now(), request).RetryAfter
		least, most = min(least, after), max(most, after)
	}
	if most-least < time.Second/2 || most > request.TimeLeft/3 {
		t.Errorf("callers return between %v and %v", least, most)
	}
}

// TestNoPromiseToCallersThatLeave guards against returns that are promised to callers who have been rejected before and do not come back, which makes others
// return later.
func TestNoPromiseToCallersThatLeave(t *testing.T) {
	now := time.Now()
	request := testRequest(10 * time.Second)
	request.TimeLeft, request.Returning = 2*time.Second, true
	door := Door{Random: random()}
	if decision := door.Decide(now, request); decision.Admit || decision.Promised == 0 {
		t.Fatalf("%+v", decision)
	}
	if until := door.promised[request.Stages[0].Spec.Service]; !until.IsZero() {
		t.Errorf("the next return is promised %v after a caller that does not return", until.Sub(now))
	}
}

// TestReturnWithoutCapacity guards against a return computed from an infinite time, whose conversion differs between processors, when a forecast that is not fresh
// has no target or hardly any.
func TestReturnWithoutCapacity(t *testing.T) {
	for _, capacity := range []float64{0, 1e-12} {
		request := testRequest(time.Second)
		request.Stages = request.Stages[:1]
		request.Stages[0].Forecast.Capacity, request.Stages[0].ForecastFresh = capacity, false
		request.Stages[0].Promised, request.TimeLeft = 8*time.Second, 30*time.Second
		latest := request.TimeLeft / 3
		if retryAfter, promised, _ := request.returnAt(random()); retryAfter < latest/2 || retryAfter > latest || promised != latest {
			t.Errorf("capacity %v: return in %v, promised until %v", capacity, retryAfter, promised)
		}
	}
}
