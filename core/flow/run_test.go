package flow

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/oklog/ulid/v2"
	"pgregory.net/rapid"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/retry"
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "20")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var testConfig = configView{
	limits: config.Limits{RetriesPerRequest: 2},
	pipeline: config.Pipeline{Name: "ask", Deadline: 5 * time.Second, Stages: []config.Stage{
		{Name: "Encode", Service: "enc"}, {Name: "Retrieve", Service: "ret", Top: 2},
		{Name: "Rerank", Service: "rer", Top: 1}, {Name: "Generate", Service: "gen", MaxTokens: 100},
		{Name: "Book", Service: "book"}, {Name: "Notify", Service: "note"},
	}},
	services: map[string]config.Service{
		"enc": {Name: "enc", Kind: config.Encode}, "ret": {Name: "ret", Kind: config.Retrieve},
		"rer": {Name: "rer", Kind: config.Rerank}, "gen": {Name: "gen", Kind: config.Generate, LeastTime: 100 * time.Millisecond},
		"book": {Name: "book", Kind: config.Call}, "note": {Name: "note", Kind: config.Call, MayRepeat: true},
	},
}

var testKey = ulid.ULID{0, 1, 2, 3, 4, 5, 6, 7}.String()

func requestOf(id core.RequestID) Request {
	return Request{ID: id, Pipeline: "ask", Question: "Why " + string(id) + "?", IdempotencyKey: testKey[:25] + string(id[1:])}
}

// TestRandomOutcomes guards, for random outcomes of the attempts, against results that are lost, duplicated or of
// another request, errors that say NotRun although a target was called, at-most-once calls that run twice, an unbounded
// number of attempts, grants that are released twice or never, and two calls with one identity, so that the response to one passes for that to the other.
func TestRandomOutcomes(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) { checkRandomOutcomes(t, drawn) })
}

var requestIDs = []core.RequestID{"r1", "r2", "r3"}

func checkRandomOutcomes(t *testing.T, drawn *rapid.T) {
	outcomes := make(map[core.RequestID][]scriptedOutcome)
	for _, id := range requestIDs {
		outcomes[id] = rapid.SliceOfN(rapid.Map(rapid.IntRange(0, 2*int(outcomeCount)-1), func(i int) scriptedOutcome {
			return scriptedOutcome(max(i-int(outcomeCount), 0)) // half of the attempts succeed
		}), 0, 24).Draw(drawn, string(id))
	}
	random := rand.New(rand.NewPCG(rapid.Uint64().Draw(drawn, "groups"), 1))
	var mutex sync.Mutex
	environment := newEnvironment(func(id core.RequestID) scriptedOutcome {
		next := works
		if list := outcomes[id]; len(list) > 0 {
			next, outcomes[id] = list[0], list[1:]
		}
		return next
	}, func() int {
		mutex.Lock()
		defer mutex.Unlock()
		return 1 + random.IntN(4)
	})
	environment.failedFinishes = rapid.IntRange(0, 3).Draw(drawn, "failed stores")
	synctest.Test(t, func(*testing.T) { runTwice(drawn, environment) })
}

func runTwice(t *rapid.T, environment *environment) {
	runner := environment.runner()
	for range 2 { // the second round uses the same idempotency keys
		environment.mutex.Lock()
		clear(environment.identities) // a daemon gives each request an ID of its own
		environment.mutex.Unlock()
		var runs sync.WaitGroup
		for _, id := range requestIDs {
			runs.Go(func() { checkRun(t, runner, environment, id) })
		}
		runs.Wait()
		runner.Wait()
	}
	time.Sleep(10 * time.Minute) // let late responses arrive
	checkEnvironment(t, environment)
}

func checkRun(t *rapid.T, runner *Runner, environment *environment, id core.RequestID) {
	environment.mutex.Lock()
	sentCalls, acquired := environment.sentCalls[id], environment.acquired[id]
	environment.mutex.Unlock()
	var text strings.Builder
	var emitting sync.Mutex
	ended := false
	result, err := runner.Run(context.Background(), requestOf(id), func(event Event) error {
		if !emitting.TryLock() || ended {
			t.Errorf("%s: concurrent event, or event after the end of the request", id)
			return nil
		}
		defer emitting.Unlock()
		text.WriteString(event.Token.Text)
		return nil
	})
	ended = true
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	if limit := len(testConfig.pipeline.Stages) + testConfig.limits.RetriesPerRequest + maxFreeAttempts + 1; environment.acquired[id]-acquired > limit {
		t.Errorf("%s: %d attempts", id, environment.acquired[id]-acquired)
	}
	fullText := textOf(id, 0, answerTokens)
	if !strings.HasPrefix(fullText, text.String()) {
		t.Errorf("%s: emitted %q", id, text.String())
	}
	if err != nil {
		var failure *core.Error
		if !errors.As(err, &failure) || failure.Request != id {
			t.Errorf("%s: error %#v", id, err)
		} else if failure.Run == core.NotRun && environment.sentCalls[id] != sentCalls {
			t.Errorf("%s: %v has Run NotRun after %d calls", id, failure, environment.sentCalls[id]-sentCalls)
		}
		return
	}
	environment.succeeded[id] = true
	if text.String() != fullText || result.Answer != fullText {
		t.Errorf("%s: emitted %q, answer %q", id, text.String(), result.Answer)
	}
	if fmt.Sprint(result.Passages) != fmt.Sprint(passagesOf(id)[:1]) {
		t.Errorf("%s: passages %v", id, result.Passages)
	}
	if string(result.CallResponses["Book"]) != bookingOf(id) || string(result.CallResponses["Notify"]) != bookingOf(id) {
		t.Errorf("%s: call responses %s", id, result.CallResponses)
	}
}

func checkEnvironment(t *rapid.T, environment *environment) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	for _, violation := range environment.violations {
		t.Error(violation)
	}
	for id := range environment.succeeded {
		if !environment.records[requestOf(id).IdempotencyKey].Done {
			t.Errorf("%s: request succeeded, but its response was not stored", id)
		}
	}
	if len(environment.released) != environment.grants {
		t.Errorf("%d of %d grants released", len(environment.released), environment.grants)
	}
	for id, outcomes := range environment.released {
		if len(outcomes) != 1 {
			t.Errorf("grant %s released with outcomes %v, want one", id, outcomes)
		}
		if outcome := environment.outcomes[id]; outcome == expiredPermit && outcomes[0] != core.OutcomeUnsent {
			t.Errorf("grant %s was used after it expired, outcome %v", id, outcomes[0])
		}
	}
	for key, count := range environment.bookings {
		if count > 1 {
			t.Errorf("key %s: booked %d times", key, count)
		}
	}
	if len(environment.recorded) != 6 {
		t.Errorf("%d of 6 requests recorded", len(environment.recorded))
	}
}

// TestScriptedOutcomes guards against a wrong error kind, Run or number of attempts for each way in which the attempts
// of the first stage or of the at-most-once stage can end.
func TestScriptedOutcomes(t *testing.T) {
	cases := []struct {
		name     string
		outcomes []scriptedOutcome
		kind     core.Kind // Internal, the zero value, means success
		run      core.Run
		edit     func(*Request)
		attempts int
		within   time.Duration // maximum duration; 0 means no limit
	}{
		{name: "works", attempts: 6},
		{name: "all pools full", outcomes: []scriptedOutcome{poolFull, poolFull}, kind: core.Overloaded, run: core.NotRun, attempts: 2},
		{name: "owner unresponsive", outcomes: []scriptedOutcome{ownerUnresponsive}, kind: core.DeadlineExceeded, run: core.NotRun, attempts: 1, within: 4900 * time.Millisecond},
		{name: "expired permit", outcomes: []scriptedOutcome{expiredPermit}, attempts: 7},
		{name: "expired permits only", outcomes: slices.Repeat([]scriptedOutcome{expiredPermit}, 30), kind: core.Unavailable, run: core.NotRun, attempts: maxFreeAttempts + 1},
		{name: "connection refused twice", outcomes: []scriptedOutcome{refusesConnection, refusesConnection}, attempts: 8},
		{name: "two retries", outcomes: []scriptedOutcome{fails, disconnects}, attempts: 8},
		{name: "third failure", outcomes: []scriptedOutcome{fails, fails, fails}, kind: core.TargetFailed, run: core.HasRun, attempts: 3},
		{name: "responses to others", outcomes: []scriptedOutcome{mismatches, mismatches, mismatches}, kind: core.TargetFailed, run: core.Unknown, attempts: 3},
		{name: "booking, response to another", outcomes: []scriptedOutcome{works, works, works, works, mismatches}, kind: core.OutcomeUnknown, run: core.Unknown, attempts: 5},
		{name: "silent", outcomes: []scriptedOutcome{timesOut}, attempts: 7},
		{name: "late", outcomes: []scriptedOutcome{respondsLate}, kind: core.DeadlineExceeded, run: core.Unknown, attempts: 1},
		{name: "pause", outcomes: []scriptedOutcome{pauses}, attempts: 7},
		{name: "pause without a retry left", outcomes: []scriptedOutcome{fails, fails, pauses}, attempts: 8},
		{name: "booking pauses", outcomes: []scriptedOutcome{works, works, works, works, pauses}, attempts: 6},
		{name: "booking fails", outcomes: []scriptedOutcome{works, works, works, works, fails}, kind: core.OutcomeUnknown, run: core.Unknown, attempts: 5},
		{name: "booking rejected", outcomes: []scriptedOutcome{works, works, works, works, rejects}, kind: core.OutcomeUnknown, run: core.Unknown, attempts: 5},
		{name: "connection for booking refused", outcomes: []scriptedOutcome{works, works, works, works, refusesConnection}, attempts: 7},
		{name: "no key", edit: func(r *Request) { r.IdempotencyKey = "" }, kind: core.BadRequest, run: core.NotRun},
		{name: "unknown pipeline", edit: func(r *Request) { r.Pipeline = "x" }, kind: core.NotFound, run: core.NotRun},
		{name: "too little time", edit: func(r *Request) { r.Deadline = time.Now().Add(50 * time.Millisecond) }, kind: core.DeadlineExceeded, run: core.NotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				environment := newEnvironment(func(core.RequestID) (next scriptedOutcome) {
					if len(c.outcomes) > 0 {
						next, c.outcomes = c.outcomes[0], c.outcomes[1:]
					}
					return next
				}, func() int { return 3 })
				request := requestOf("r1")
				if c.edit != nil {
					c.edit(&request)
				}
				started := time.Now()
				_, err := environment.runner().Run(t.Context(), request, nil)
				if took := time.Since(started); c.within > 0 && took > c.within {
					t.Errorf("Run returned after %v", took)
				}
				got := core.Error{}
				if err != nil {
					got = *core.AsError(err)
				}
				if got.Kind != c.kind || err != nil && got.Run != c.run || environment.acquired["r1"] != c.attempts {
					t.Errorf("%v with run %v after %d attempts, want %v, %v, %d", err, got.Run, environment.acquired["r1"], c.kind, c.run, c.attempts)
				}
				if c.kind.Answer().Retryable && c.kind != core.Internal && got.RetryAfter <= 0 {
					t.Error("retryable error without RetryAfter")
				}
				time.Sleep(2 * time.Minute) // let late responses arrive
			})
		})
	}
}

// TestCallerCancelsAtMostOnceCall guards against an at-most-once call whose response is lost because the caller
// disconnected before the target responded, so that the same key could not return it later.
func TestCallerCancelsAtMostOnceCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		environment := newEnvironment(func(core.RequestID) scriptedOutcome { return works }, func() int { return 3 })
		ctx, cancel := context.WithCancel(t.Context())
		_, err := environment.runner().Run(ctx, requestOf("r1"), func(event Event) error {
			if event.Kind == StageStarted && event.Stage == "Book" {
				time.AfterFunc(time.Microsecond, cancel) // before the target responds
			}
			return nil
		})
		if failure := core.AsError(err); failure == nil || failure.Kind != core.DeadlineExceeded || failure.Run != core.HasRun {
			t.Errorf("the cancelled request returned %v", err)
		}
		result, err := environment.runner().Run(t.Context(), requestOf("r1"), nil)
		if err != nil || string(result.CallResponses["Book"]) != bookingOf("r1") || environment.bookings[requestOf("r1").IdempotencyKey] != 1 {
			t.Errorf("second request: %v, %s, bookings %v", err, result.CallResponses, environment.bookings)
		}
	})
}

// TestTwoAtMostOnceStages guards against two at-most-once stages of a request with the same key, where the second stage
// would get the stored response of the first.
func TestTwoAtMostOnceStages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		environment := newEnvironment(func(core.RequestID) scriptedOutcome { return works }, func() int { return 3 })
		twoStages := testConfig
		twoStages.pipeline = config.Pipeline{Name: "ask", Stages: []config.Stage{{Name: "Book", Service: "book"}, {Name: "Pay", Service: "book"}}}
		runner := environment.runner()
		runner.Config = func() ConfigView { return twoStages }
		for range 2 {
			if _, err := runner.Run(t.Context(), requestOf("r1"), nil); err != nil {
				t.Error(err)
			}
		}
		if len(environment.bookings) != 2 || environment.sentCalls["r1"] != 2 {
			t.Errorf("bookings %v with %d calls, want two keys with one call each", environment.bookings, environment.sentCalls["r1"])
		}
	})
}

// TestRetryAmplification guards against a retry storm: with the retry budget, the attempts per request stay at about
// 1.1 both when 1 in 10 attempts fails and when all fail; without it, 3 retries of each failure reach 4 attempts per
// request when all fail.
func TestRetryAmplification(t *testing.T) {
	cases := []struct {
		name                        string
		failing                     float64
		budget                      *retry.Budget
		retries                     int
		maxAmplification, minServed float64
	}{
		{"budget, one in ten", 0.1, &retry.Budget{}, 2, 1.11, 0.98},
		{"plain, one in ten", 0.1, &retry.Budget{Capacity: 1e9}, 3, 1.13, 0.99},
		{"budget, all fail", 1, &retry.Budget{}, 2, 1.11, 0},
		{"plain, all fail", 1, &retry.Budget{Capacity: 1e9}, 3, 4, 0},
	}
	const requests = 5000
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(20, 4))
			environment := newEnvironment(func(core.RequestID) scriptedOutcome {
				if random.Float64() < c.failing {
					return fails
				}
				return works
			}, func() int { return 4 })
			oneStage := testConfig
			oneStage.limits.RetriesPerRequest = c.retries
			oneStage.pipeline = config.Pipeline{Name: "ask", Stages: []config.Stage{{Name: "Encode", Service: "enc"}}}
			runner := environment.runner()
			runner.Config, runner.Budget = func() ConfigView { return oneStage }, c.budget
			served := 0
			for range requests {
				if _, err := runner.Run(t.Context(), requestOf("r1"), nil); err == nil {
					served++
				}
			}
			amplification, goodput := float64(environment.sentCalls["r1"])/requests, float64(served)/requests
			t.Logf("%s: amplification %.3f, served %.4f", c.name, amplification, goodput)
			if amplification > c.maxAmplification || goodput < c.minServed {
				t.Errorf("%s: amplification %.3f over %.3f or served %.4f under %.4f", c.name, amplification, c.maxAmplification, goodput, c.minServed)
			}
		})
	}
}
