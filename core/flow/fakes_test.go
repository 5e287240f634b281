package flow

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	answerTokens = 20
	requestAge   = time.Millisecond
)

// scriptedOutcome determines how the fakes treat one attempt.
type scriptedOutcome int

const (
	works             scriptedOutcome = iota
	poolFull                          // the pool rejects the grant request
	ownerUnresponsive                 // the grant request gets no response
	expiredPermit                     // the permit is no longer valid when it is returned
	gateClosed                        // the target is out of service before the first byte
	refusesConnection                 // the target refuses the connection
	rejects                           // the target rejects the call as overloaded
	fails                             // the target responds with an error
	disconnects                       // the target resets the connection in the middle of the response
	timesOut                          // the target stops responding
	respondsLate                      // the target goes on after the deadline
	repeatsToken                      // the target sends the same offset twice
	mismatches                        // the target responds to another attempt
	outcomeCount
	pauses // the target stops responding for pauseTime and goes on; only for calls without tokens
)

const (
	pauseTime = 3 * time.Second
	pauseGap  = 2 * time.Second // pause after which a call is given up unless it waits until its deadline
)

type configView struct {
	limits   config.Limits
	pipeline config.Pipeline
	services map[string]config.Service
}

func (view configView) Pipeline(name string) (config.Pipeline, bool) {
	return view.pipeline, name == view.pipeline.Name
}
func (view configView) Service(name string) (config.Service, bool) {
	service, found := view.services[name]
	return service, found
}
func (view configView) Limits() config.Limits { return view.limits }

// environment fakes the granter, router, gate, targets, store and recorder of a Runner.
type environment struct {
	nextOutcome func(request core.RequestID) scriptedOutcome
	eventTokens func() int // returns the number of tokens of the next event

	mutex          sync.Mutex
	grants         int
	outcomes       map[core.GrantID]scriptedOutcome
	released       map[core.GrantID][]core.Outcome
	acquired       map[core.RequestID]int
	sentCalls      map[core.RequestID]int // calls that sent a byte
	identities     map[string]bool        // request, stage and attempt of each call
	bookings       map[string]int         // number of at-most-once calls by idempotency key
	records        map[string]core.OnceRecord
	finishes       int
	failedFinishes int // number of calls of Finish that fail before one succeeds
	recorded       []core.RequestRecord
	succeeded      map[core.RequestID]bool
	violations     []string
}

func newEnvironment(nextOutcome func(core.RequestID) scriptedOutcome, eventTokens func() int) *environment {
	return &environment{
		nextOutcome: nextOutcome,
		eventTokens: eventTokens,
		outcomes:    make(map[core.GrantID]scriptedOutcome),
		released:    make(map[core.GrantID][]core.Outcome),
		acquired:    make(map[core.RequestID]int),
		sentCalls:   make(map[core.RequestID]int),
		identities:  make(map[string]bool),
		bookings:    make(map[string]int),
		records:     make(map[string]core.OnceRecord),
		succeeded:   make(map[core.RequestID]bool),
	}
}

func (environment *environment) addViolation(format string, arguments ...any) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.violations = append(environment.violations, fmt.Sprintf(format, arguments...))
}

func (environment *environment) runner() *Runner {
	return &Runner{
		Config:   func() ConfigView { return testConfig },
		Granter:  environment,
		Router:   environment,
		Gate:     environment,
		Targets:  environment,
		Once:     (*onceRecords)(environment),
		Recorder: environment,
	}
}

func (environment *environment) Pools(service string) []core.PoolID {
	return []core.PoolID{{Service: service, DataCentre: "a"}, {Service: service, DataCentre: "b"}}
}
func (environment *environment) RecordSummary(core.PoolID, core.PoolSummary) {}
func (environment *environment) Deprioritize(core.PoolID)                    {}

func (environment *environment) Record(record core.RequestRecord) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.recorded = append(environment.recorded, record)
}

func (environment *environment) Acquire(ctx context.Context, request core.GrantRequest) (core.Permit, error) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	if request.Precheck {
		return core.Permit{}, nil
	}
	environment.acquired[request.Request]++
	outcome := environment.nextOutcome(request.Request)
	if outcome == ownerUnresponsive {
		environment.mutex.Unlock()
		<-ctx.Done()
		environment.mutex.Lock()
		return core.Permit{}, ctx.Err()
	}
	if outcome == poolFull {
		return core.Permit{}, core.Errorf(core.Overloaded, "pool is full")
	}
	for i := range 3 {
		target := core.TargetName(fmt.Sprint(request.Pool, i))
		if slices.Contains(request.Exclude, target) {
			continue
		}
		environment.grants++
		id := core.GrantID(fmt.Sprint(outcome, "/", environment.grants))
		environment.outcomes[id] = outcome
		requestedAt := time.Now().Add(-requestAge)
		if outcome == expiredPermit {
			requestedAt = requestedAt.Add(-time.Second)
		}
		grant := core.Grant{ID: id, Pool: request.Pool, Target: target, Address: string(id), SendWithin: time.Second}
		return core.Permit{Grant: grant, RequestedAt: requestedAt}, nil
	}
	return core.Permit{}, core.Errorf(core.Unavailable, "all targets are excluded")
}

func (environment *environment) Release(release core.Release) {
	environment.mutex.Lock()
	defer environment.mutex.Unlock()
	environment.released[release.Grant] = append(environment.released[release.Grant], release.Outcome)
}

func (environment *environment) MaySend(_ core.PoolID, _ core.TargetName) error { return nil }

// startCall simulates a call up to the target's decision to execute it.
func (environment *environment) startCall(ctx context.Context, call core.TargetCall) (scriptedOutcome, core.TargetInfo, error) {
	environment.mutex.Lock()
	outcome := environment.outcomes[core.GrantID(call.Address)]
	identity := fmt.Sprint(call.Request, " ", call.Stage, " ", call.Attempt)
	if environment.identities[identity] {
		environment.violations = append(environment.violations, "two calls are "+identity)
	}
	environment.identities[identity] = true
	environment.mutex.Unlock()
	info := core.TargetInfo{}
	time.Sleep(time.Millisecond)
	if outcome == refusesConnection {
		info.Outcome = core.OutcomeDisconnected
		return outcome, info, core.Errorf(core.TargetFailed, "connection refused")
	}
	if outcome == gateClosed {
		return outcome, info, core.Errorf(core.Unavailable, "target is out of service")
	}
	if err := call.BeforeSend(); err != nil {
		return outcome, info, err
	}
	environment.mutex.Lock()
	environment.sentCalls[call.Request]++
	environment.mutex.Unlock()
	info.Sent = true
	switch outcome {
	case rejects:
		return outcome, info, core.Errorf(core.Overloaded, "rejected")
	case fails:
		return outcome, info, core.Errorf(core.TargetFailed, "status 500")
	case mismatches:
		info.Outcome = core.OutcomeMismatched
		return outcome, info, core.Errorf(core.TargetFailed, "response belongs to another attempt")
	}
	return outcome, info, nil
}

// endCall simulates the end of a call that the target executes, after the first tokens of a stream.
func (environment *environment) endCall(ctx context.Context, call core.TargetCall, outcome scriptedOutcome) error {
	switch outcome {
	case works:
		select {
		case <-time.After(time.Millisecond):
		case <-ctx.Done():
			return core.Errorf(core.DeadlineExceeded, "cancelled")
		}
	case disconnects, repeatsToken:
		return core.Errorf(core.TargetFailed, "connection reset")
	case timesOut:
		wait := time.Until(call.Deadline)
		if call.FirstByte > 0 {
			wait = min(wait, call.FirstByte)
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
		return core.Errorf(core.TargetFailed, "silent")
	case pauses:
		if !call.UntilDeadline {
			time.Sleep(pauseGap)
			return core.Errorf(core.TargetFailed, "silent")
		}
		time.Sleep(pauseTime)
	case respondsLate:
		time.Sleep(time.Until(call.Deadline) + time.Minute)
	}
	return nil
}

func (environment *environment) unary(ctx context.Context, call core.TargetCall) (core.TargetInfo, error) {
	outcome, info, err := environment.startCall(ctx, call)
	if err == nil {
		err = environment.endCall(ctx, call, outcome)
	}
	return info, err
}

func (environment *environment) Embed(ctx context.Context, call core.TargetCall, _, _ string) ([]float32, core.TargetInfo, error) {
	info, err := environment.unary(ctx, call)
	return []float32{float32(len(call.Request))}, info, err
}

func passagesOf(request core.RequestID) []core.Passage {
	return []core.Passage{{ID: string(request) + "-1", Text: "one"}, {ID: string(request) + "-2", Text: "two"}}
}

func (environment *environment) Search(ctx context.Context, call core.TargetCall, _ string, _ []float32, _ int) ([]core.Passage, core.TargetInfo, error) {
	info, err := environment.unary(ctx, call)
	return passagesOf(call.Request), info, err
}

func (environment *environment) Rerank(ctx context.Context, call core.TargetCall, _, _ string, passages []core.Passage, top int) ([]core.Passage, core.TargetInfo, error) {
	info, err := environment.unary(ctx, call)
	return passages[:top], info, err
}

func textOf(request core.RequestID, from, to int) string {
	var text strings.Builder
	for i := from; i < to; i++ {
		fmt.Fprintf(&text, "%s:%d ", request, i)
	}
	return text.String()
}

func (environment *environment) Generate(ctx context.Context, call core.TargetCall, input core.GenerateInput, emit func(core.Token) error) (core.TargetInfo, error) {
	outcome, info, err := environment.startCall(ctx, call)
	if err != nil {
		return info, err
	}
	if input.ReceivedText != textOf(call.Request, 0, input.ReceivedTokens) {
		environment.addViolation("%s: resumed after %d tokens with %q", call.Request, input.ReceivedTokens, input.ReceivedText)
	}
	offset := input.ReceivedTokens
	for offset < answerTokens {
		if outcome != works && offset > answerTokens/2 {
			break
		}
		count := min(environment.eventTokens(), answerTokens-offset)
		if err := emit(core.Token{Offset: offset, Count: count, Text: textOf(call.Request, offset, offset+count)}); err != nil {
			return info, err
		}
		if outcome == repeatsToken {
			return info, emit(core.Token{Offset: offset, Count: count, Text: "again"})
		}
		offset += count
		time.Sleep(10 * time.Millisecond)
	}
	if err := environment.endCall(ctx, call, outcome); err != nil || outcome == works {
		return info, err
	}
	return info, emit(core.Token{Offset: offset, Count: 1, Text: "late"})
}

func bookingOf(request core.RequestID) string { return `{"Booked":"` + string(request) + `"}` }

func (environment *environment) Call(ctx context.Context, call core.TargetCall, _, key string, _ []byte) ([]byte, core.TargetInfo, error) {
	info, err := environment.unary(ctx, call)
	if info.Sent && key != "" {
		environment.mutex.Lock()
		environment.bookings[key]++
		environment.mutex.Unlock()
	}
	return []byte(bookingOf(call.Request)), info, err
}

func (environment *environment) Load(context.Context, string) (core.LoadReport, error) {
	return core.LoadReport{}, nil
}
func (environment *environment) CacheEvents(context.Context, string, int64) ([]core.CacheEvent, error) {
	return nil, nil
}
func (environment *environment) Order(context.Context, string, core.Order) error { return nil }

func (records *onceRecords) Check(core.TeamName, string) error { return nil }

// onceRecords implements core.Once with the records of an environment.
type onceRecords environment

func (records *onceRecords) Begin(_ context.Context, _ core.TeamName, key, bodyHash string) (string, []byte, error) {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	record, found := records.records[key]
	switch {
	case found && record.BodyHash != bodyHash:
		return "", nil, core.Errorf(core.KeyReused, "key reused")
	case found && record.Done:
		return "", record.Response, nil
	case found:
		return "", nil, core.Errorf(core.OutcomeUnknown, "started earlier")
	}
	records.records[key] = core.OnceRecord{BodyHash: bodyHash, Attempt: bodyHash}
	return bodyHash, nil, nil
}

func (records *onceRecords) Finish(_ context.Context, _ core.TeamName, key, attempt string, response []byte) error {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	records.finishes++
	if records.finishes <= records.failedFinishes {
		return core.ErrStoreUnavailable
	}
	records.records[key] = core.OnceRecord{BodyHash: attempt, Done: true, Response: response}
	return nil
}

func (records *onceRecords) Abandon(_ context.Context, _ core.TeamName, key, _ string) error {
	records.mutex.Lock()
	defer records.mutex.Unlock()
	delete(records.records, key)
	return nil
}
