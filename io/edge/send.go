package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"catkincove/core"
	"catkincove/core/canary"
	"catkincove/core/origin"
	"catkincove/core/place"
	"catkincove/core/retry"
	"catkincove/io/answer"
	"catkincove/io/intake"
	"catkincove/io/shift"
	"catkincove/io/xchg"
)

const (
	maxDialFailures     = 4                      // unreachable targets after which the request is rejected
	maxRejections       = 2                      // rejections by targets after which another target is tried
	retryBudgetShare    = 0.8                    // share of the retry budget that is used; the rest covers daemons that do not know each other yet
	maxBufferedResponse = 1 << 20                // limit in bytes; a longer response is forwarded as it arrives
	fullRetryAfter      = 400 * time.Millisecond // Retry-After of a service whose targets are all full
)

// outcomeTargetErred is the outcome of a request whose caller received an error response of the target.
const outcomeTargetErred = "TargetErred"

// attempt is one attempt to send a request to a target.
type attempt struct {
	target          place.Target
	startedAt       time.Time
	placedBy        *peer  // daemon that placed the prompt; nil means this one
	engineService   string // service of the engine, if the prompt was placed for the whole fleet; empty otherwise
	prefillReported bool   // the end of the prefill was reported to the placing daemon
	recorded        bool   // the outcome was recorded
	misdirected     bool   // the target at the address has said that it is another one
	through         *peer  // daemon that forwards the request, because this one has lost its paths to the targets; nil if none does
	cancel          context.CancelFunc
	trace           xchg.Trace // where the request was sent
	passage         *shift.Passage
}

// delivery is the state of sending one request to targets.
type delivery struct {
	daemon    *Daemon
	writer    http.ResponseWriter
	request   *request // a copy of the received one after a takeover
	inputs    *inputs
	service   core.ServiceSpec
	startable context.Context // ends when no target may get the request any longer

	dialFailures int
	rejections   int
	executions   int      // attempts at targets that may have run the request
	rejectedBy   []string // targets that did not run the request after its response had started
	pause        retry.Pause
	lastErr      error
}

// send forwards the request to targets until one responds or no further attempt is allowed; startable ends when no target may get it any longer, unless
// the response has started.
func (daemon *Daemon) send(ctx, startable context.Context, writer http.ResponseWriter, received *request, inputs *inputs) error {
	delivery := &delivery{daemon: daemon, writer: writer, request: received, inputs: inputs, service: daemon.chooseService(received), startable: startable}
	defer func() { received.progress = delivery.request.progress }()
	var current *relay
	for delivery.dialFailures < maxDialFailures {
		if current == nil {
			var err error
			if current, err = delivery.begin(ctx); err != nil {
				return err
			}
			if current == nil {
				continue
			}
			current = delivery.race(ctx, current)
		}
		err := current.run(ctx)
		current.attempt.cancel()
		delivery.count(ctx, current, err)
		if err == nil {
			return nil
		}
		next := current.watchdog.successor
		if next != nil {
			delivery.replace(next)
		} else if again, err := delivery.retry(ctx, current, err); !again {
			return err
		}
		current = next
	}
	if delivery.request.mayHaveRun {
		return core.Errorf(core.TargetFailed, "%w", delivery.lastErr)
	}
	return core.Errorf(core.Unavailable, "no target can be reached: %w", delivery.lastErr).WithRetryAfter(fullRetryAfter)
}

// begin chooses the next target. It returns nil without an error after a pause, if the caller has a part of the stream and the
// request must wait for its stages or for a target.
func (delivery *delivery) begin(ctx context.Context) (*relay, error) {
	daemon, request := delivery.daemon, delivery.request
	if !request.responseStarted {
		ctx = delivery.startable
	}
	if ctx.Err() != nil && request.mayHaveRun && delivery.lastErr != nil {
		return nil, core.Errorf(core.TargetFailed, "%w", delivery.lastErr)
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if through := daemon.forwardingPeer(request); through != nil {
		attempt := daemon.forwardsTo(request, through)
		request.targetID = attempt.target.ID
		return newRelay(daemon, request, delivery.service, attempt, delivery.writer, delivery.inputs), nil
	}
	// A stream that resumes at another target needs the inputs again, which were freed early for their result capacity.
	if err := delivery.inputs.produce(ctx); err != nil {
		if failed := (*stageError)(nil); request.responseStarted && errors.As(err, &failed) && delivery.pause.Sleep(ctx, daemon.clock) {
			return nil, nil
		}
		return nil, err
	}
	attempt, err := daemon.beginAttempt(ctx, request, delivery.service)
	if err != nil {
		if daemon.versionHasLeft(request, delivery.service.Name, delivery.rejectedBy) {
			return nil, core.Errorf(core.Unavailable, "no further target has version %s, which began the stream", request.origin.Version).WithRetryAfter(originRetryAfter)
		}
		if request.responseStarted && core.AsError(err).Kind != core.Poison && delivery.pause.Sleep(ctx, daemon.clock) {
			request.triedTargets = slices.DeleteFunc(request.triedTargets, func(id string) bool { return slices.Contains(delivery.rejectedBy, id) })
			return nil, nil
		}
		if delivery.lastErr != nil && request.mayHaveRun {
			err = core.Errorf(core.TargetFailed, "%w", delivery.lastErr)
		}
		return nil, err
	}
	request.triedTargets = append(request.triedTargets, attempt.target.ID)
	request.targetID = attempt.target.ID
	request.versions = append(request.versions, attempt.target.Version)
	return newRelay(daemon, request, delivery.service, attempt, delivery.writer, delivery.inputs), nil
}

// count counts an attempt that has ended, and the takeovers that have failed during it.
func (delivery *delivery) count(ctx context.Context, current *relay, err error) {
	request, watchdog := delivery.request, current.watchdog
	delivery.lastErr = err
	request.triedTargets = watchdog.tried
	if watchdog.failed > 0 {
		delivery.executions += watchdog.failed
		request.mayHaveRun = true
		if watchdog.successor == nil {
			request.attempts += watchdog.failed
		}
	}
	var failure *sendError
	if !errors.As(err, &failure) {
		if err != nil && core.AsError(err).Run != core.NotRun {
			request.mayHaveRun = true // the daemon that forwards the request says so
		}
		return
	}
	if failure.run != core.NotRun {
		request.mayHaveRun = true // also when the time limit has passed meanwhile
		request.suspects.Probe = false
		delivery.executions++
	}
	if ctx.Err() != nil {
		return // the target did not fail
	}
	if current.attempt.through == nil {
		delivery.daemon.paths.confirm(ctx)
	}
	trace := current.attempt.trace
	delivery.daemon.log.Warn().Str(eventField, eventAttemptFailed).Str("Request", request.logID()).Str("Target", current.attempt.target.ID).
		Str("Address", current.attempt.target.Address).Int64("Connection", trace.Connection).Int("Earlier", trace.Earlier).Int("Skipped", trace.Skipped).
		Str("Run", failure.run.String()).Dur("Took", delivery.daemon.clock.Now().Sub(current.attempt.startedAt)).Err(failure.cause).Send()
}

// replace goes on with the attempt that has taken over.
func (delivery *delivery) replace(next *relay) {
	if !next.inputs.shared {
		delivery.inputs.free()
	}
	*delivery.inputs = *next.inputs
	delivery.inputs.shared = false
	next.inputs = delivery.inputs
	delivery.request = next.request
	delivery.request.mayHaveRun = true
}

// retry reports whether another attempt may follow one that has failed; otherwise it returns the error of the request, or nil if
// the caller has received the target's error response.
func (delivery *delivery) retry(ctx context.Context, current *relay, err error) (bool, error) {
	daemon, request := delivery.daemon, delivery.request
	var failure *sendError
	if !errors.As(err, &failure) || ctx.Err() != nil || request.responseStarted && !current.resumable {
		return false, request.deliver(delivery.writer, err)
	}
	if failure.status == http.StatusConflict && failure.run == core.NotRun {
		delivery.inputs.lose()
	}
	switch {
	case errors.Is(failure.cause, errBeginsAtBaseline): // its retry is charged
	case failure.run == core.NotRun && request.responseStarted:
		delivery.rejectedBy = append(delivery.rejectedBy, current.attempt.target.ID)
		for !failure.unsent && !daemon.allowRetry(delivery.service.Name) {
			if !delivery.pause.Sleep(ctx, daemon.clock) {
				return false, err
			}
		}
	case current.attempt.through != nil && failure.run != core.NotRun && !request.responseStarted:
		return false, core.Errorf(core.TargetFailed, "%w", err) // the other daemon may have used up the attempts
	case failure.unsent:
		delivery.dialFailures++
	case failure.run == core.NotRun:
		delivery.rejections++
		if delivery.rejections > maxRejections || !daemon.allowRetry(delivery.service.Name) {
			return false, daemon.fullError(err)
		}
	case request.route.Repeat != core.Idempotent || delivery.executions >= request.route.MaxTargets || !daemon.allowRetry(delivery.service.Name):
		return false, request.deliver(delivery.writer, core.Errorf(core.TargetFailed, "%w", err))
	}
	return true, nil
}

func (daemon *Daemon) fullError(cause error) error {
	return core.Errorf(core.Unavailable, "targets are full: %w", cause).WithRetryAfter(fullRetryAfter)
}

// chooseService returns the service of the route, chosen by weight and request content if the route is split; a stream that goes on
// stays at its service.
func (daemon *Daemon) chooseService(request *request) core.ServiceSpec {
	if request.origin.Known() {
		return withName(request.services[request.origin.Service], request.origin.Service)
	}
	if name := request.route.ServiceFor(request.fingerprint); name != "" {
		return withName(request.services[name], name)
	}
	return core.ServiceSpec{}
}

func withName(service core.ServiceSpec, name string) core.ServiceSpec {
	service.Name = name
	return service
}

// beginAttempt chooses a target and counts the attempt.
func (daemon *Daemon) beginAttempt(ctx context.Context, request *request, service core.ServiceSpec) (*attempt, error) {
	var quarantined error
	daemon.do(func() { quarantined = daemon.checkQuarantine(daemon.clock.Now(), request) })
	if quarantined != nil {
		return nil, quarantined
	}
	attempt, err := daemon.beginAttemptAt(ctx, request, service, daemon.versionsFor(request, service.Name))
	if err != nil && ctx.Err() == nil && !request.origin.Known() && request.choice.Retreat() {
		return daemon.beginAttemptAt(ctx, request, service, daemon.versionsFor(request, service.Name))
	}
	return attempt, err
}

func (daemon *Daemon) beginAttemptAt(ctx context.Context, request *request, service core.ServiceSpec, versions place.Versions) (*attempt, error) {
	if service.Engine != nil {
		if attempt, err := daemon.placeEngine(ctx, request, service, versions); attempt != nil || err != nil {
			return attempt, err
		}
	}
	prompt, tokens := request.sharedPrompt()
	placement := place.Request{Exclude: request.triedTargets, AffinityKey: prompt, Probe: request.route.Repeat == core.Idempotent}
	if tokens < affinityTokens {
		placement.DataCentre = request.inputDataCentre
	}
	target, err := daemon.choosePermitted(ctx, request, service.Name, versions, placement)
	if err != nil {
		return nil, err
	}
	if request.attempts == 0 {
		daemon.do(func() { daemon.retryWindow(service.Name).AddRequest(daemon.clock.Now()) })
	}
	request.attempts++
	return &attempt{target: target, startedAt: daemon.clock.Now(), passage: daemon.shift.Begin(service.Name, target.Version, request.route.Name)}, nil
}

// sharedPrompt returns the ID of the longest prompt prefix that other requests share, with its number of tokens; the
// last part of a prompt belongs to the request itself or its session.
func (request *request) sharedPrompt() (string, int) {
	parts := request.caller.Prompt
	if len(parts) == 0 {
		return "", 0
	}
	tokens := 0
	for _, part := range parts[:len(parts)-1] {
		tokens += part.Tokens
	}
	return parts[max(len(parts)-2, 0)].ID, tokens
}

// retryWindow returns the retry budget of a service; it must run on the loop.
func (daemon *Daemon) retryWindow(service string) *retry.Window {
	known := daemon.control.retryWindows[service]
	bounds := daemon.settings.Load().Bounds
	if known == nil || known.Length != bounds.RetryWindow {
		known = &retry.Window{Length: bounds.RetryWindow}
		daemon.control.retryWindows[service] = known
	}
	known.Ratio = bounds.RetryRatio * retryBudgetShare
	known.Slack = bounds.RetrySlack * retryBudgetShare / float64(max(daemon.control.chooser.Daemons, 1))
	return known
}

// allowRetry reports whether the retry budget covers one more attempt, and charges it.
func (daemon *Daemon) allowRetry(service string) bool {
	allowed := false
	daemon.do(func() { allowed = daemon.retryWindow(service).Allow(daemon.clock.Now()) })
	if !allowed {
		daemon.metrics.retryBudgetSpent.Add(1)
	}
	return allowed
}

// recordOutcome records the outcome of an attempt once.
func (daemon *Daemon) recordOutcome(request *request, attempt *attempt, outcome place.Outcome, duration time.Duration) {
	if attempt.recorded {
		return
	}
	attempt.recorded = true
	attempt.passage.End(daemon.canaryOutcome(request, attempt, outcome))
	localOutcome := outcome
	if attempt.engineService != "" && attempt.placedBy == nil && !attempt.prefillReported {
		localOutcome = place.Inconclusive // this daemon places the prompts and records the engine's outcome with the prefill
	}
	daemon.reportPrefill(request, attempt, outcome, duration)
	daemon.loop.Post(func() {
		slowdown := 1.0
		if usualDuration := daemon.control.firstEventTimes[request.route.Name]; usualDuration > 0 {
			slowdown = float64(duration) / float64(usualDuration)
		}
		daemon.control.chooser.Finish(daemon.clock.Now(), attempt.target.ID, localOutcome, slowdown)
	})
}

// sendError is a failed attempt.
type sendError struct {
	unsent   bool // no byte was written
	run      core.Run
	status   int // status of the target's response; 0 if there is none
	cause    error
	response *bufferedResponse // error response of the target, for the caller if there is no further attempt
}

// Error returns the cause and whether the request has run.
func (e *sendError) Error() string { return fmt.Sprintf("%v (%s)", e.cause, e.run) }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// bufferedResponse is a whole response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// deliver sends the error response of the last target to the caller if there is one, and returns the error otherwise.
func (request *request) deliver(writer http.ResponseWriter, err error) error {
	var failure *sendError
	if !errors.As(err, &failure) || failure.response == nil {
		return err
	}
	request.outcome = outcomeTargetErred
	request.write(writer, failure.response)
	return nil
}

// write sends the response of a target to the caller.
func (request *request) write(writer http.ResponseWriter, response *bufferedResponse) {
	request.status = response.status
	xchg.CopyHeader(writer.Header(), response.header)
	if xchg.BodyAllowed(response.status) {
		writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	}
	writer.WriteHeader(response.status)
	_, _ = writer.Write(response.body)
}

var (
	errUnidentified = errors.New("response without the attempt's ID")
	errTargetFailed = errors.New("the target responded with an error")
)

// relay forwards the response of one attempt to the caller.
type relay struct {
	daemon  *Daemon
	request *request
	service core.ServiceSpec
	attempt *attempt
	writer  http.ResponseWriter
	inputs  *inputs

	parent            context.Context // of all attempts of the request
	ctx               context.Context // of this attempt
	opening           chan opened     // result of an attempt that was opened by a takeover; nil otherwise
	answered          func()          // called when the result is there; nil if nothing waits for it besides run
	sending           chan struct{}   // closed when such an attempt begins to send its request
	record            *originRecord   // of the stream that the target would begin; nil if it needs none or was not queued by this attempt
	toldOrigin        origin.Origin   // what began the stream, by the daemon that forwards the request, which records it
	watchdog          *watchdog
	delimited         bool          // the end of the response can be told from the end of its connection
	firstEventLatency time.Duration // time from the start of the attempt to its first event
	resumable         bool          // the stream may be resumed at another target after a failure of this attempt
}

func newRelay(daemon *Daemon, request *request, service core.ServiceSpec, attempt *attempt, writer http.ResponseWriter, inputs *inputs) *relay {
	return &relay{daemon: daemon, request: request, service: service, attempt: attempt, writer: writer, inputs: inputs}
}

// run opens the request at the target, unless a takeover has, and forwards the response.
func (relay *relay) run(parent context.Context) (err error) {
	relay.parent, relay.resumable = parent, relay.request.route.Stream && relay.request.route.Resumable
	if relay.opening == nil {
		relay.ctx, relay.attempt.cancel = context.WithCancel(parent)
	}
	ctx := relay.ctx
	defer relay.startWatchdog()()
	response, err := relay.opened()
	if err == nil {
		defer func() {
			if err != nil && response.StatusCode < http.StatusMultipleChoices {
				relay.attempt.cancel() // closes the connection: a second copy of this response could not be told from the one to another sending of the attempt
			}
			_ = response.Body.Close()
		}()
	}
	if !relay.watchdog.endWait(err == nil) {
		return relay.replaced()
	}
	if err != nil {
		return err
	}
	relay.delimited = response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	if relay.request.forwarded && relay.daemon.dialect.TargetResponse(response.StatusCode, response.Header).Leaving {
		relay.writer.Header().Set(headerTargetLeaves, relay.attempt.target.ID)
	}
	switch {
	case response.StatusCode >= http.StatusMultipleChoices:
		return relay.errorResponse(ctx, response)
	case relay.request.route.Stream:
		return relay.stream(ctx, response)
	}
	return relay.forwardBuffered(ctx, response)
}

func (relay *relay) opened() (*http.Response, error) {
	if relay.opening == nil {
		return relay.open(relay.ctx)
	}
	result := <-relay.opening
	return result.response, result.err
}

// replaced ends an attempt whose request another target has taken over. The target is not known to have failed.
func (relay *relay) replaced() error {
	relay.attempt.passage.End(canary.Bad)
	relay.daemon.recordOutcome(relay.request, relay.attempt, place.Inconclusive, 0)
	return &sendError{run: core.Unknown, cause: errTargetTimedOut}
}

// open sends the request and returns the response of a target that runs or has run it; it does not change the request.
func (relay *relay) open(ctx context.Context) (*http.Response, error) {
	if relay.attempt.through != nil {
		return relay.openForwarded(ctx)
	}
	relay.recordOrigin()
	response, err := relay.exchange(ctx)
	if err != nil {
		return nil, err
	}
	facts := relay.daemon.dialect.TargetResponse(response.StatusCode, response.Header)
	unidentified := facts.Attempt == "" && relay.request.caller.Attempt != ""
	relay.daemon.observeAnswer(targetAnswer{
		service: relay.service.Name, target: relay.attempt.target.ID, address: relay.attempt.target.Address, startedAt: relay.attempt.target.StartedAt, sentAt: relay.attempt.startedAt, status: response.StatusCode, facts: facts,
		unidentified: unidentified,
	})
	switch {
	case unidentified:
		// It may be a second copy of the response to another request, whatever it says about this one.
		err = relay.lost(ctx, errUnidentified)
	case facts.NotRun && response.StatusCode >= http.StatusMultipleChoices:
		outcome := place.Rejected
		if response.StatusCode == http.StatusConflict {
			outcome = place.Inconclusive // an input no longer exists, which says nothing about the target
		}
		relay.attempt.misdirected = response.StatusCode == http.StatusMisdirectedRequest
		relay.daemon.recordOutcome(relay.request, relay.attempt, outcome, 0)
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponse))
		err = &sendError{run: core.NotRun, status: response.StatusCode, cause: fmt.Errorf("target responded with status %d and did not run the request", response.StatusCode)}
	case response.StatusCode < http.StatusMultipleChoices && (facts.NotRun || !facts.HasDigest):
		relay.daemon.recordOutcome(relay.request, relay.attempt, place.Disconnected, 0)
		err = &sendError{run: core.Unknown, cause: errors.New("successful response that says 'not run' or has no digest")}
	default:
		return response, nil
	}
	_ = response.Body.Close()
	return nil, err
}

// signalSending tells a takeover that the request is about to be sent.
func (relay *relay) signalSending() {
	if relay.sending != nil {
		close(relay.sending)
	}
}

// matches reports whether a response may belong to the attempt.
func (relay *relay) matches(response *http.Response) bool {
	attempt := relay.daemon.dialect.TargetResponse(response.StatusCode, response.Header).Attempt
	return attempt == "" || attempt == relay.request.caller.Attempt
}

// exchange sends the request and returns the response with its body unread.
func (relay *relay) exchange(ctx context.Context) (*http.Response, error) {
	request, daemon, target := relay.request, relay.daemon, relay.attempt.target
	ended := daemon.paths.begin(target.Address)
	header := daemon.dialect.ForwardHeader(request.incoming.Header, core.Forward{
		Target: target.ID, TimeLeft: request.deadline.Sub(daemon.clock.Now()), Team: request.team.Name,
		Priority: request.priority, Inputs: request.inputHandles, LastEvent: request.resumeAfter,
	})
	response, err := daemon.targets.Do(ctx, xchg.Request{
		Address: target.Address, Method: request.incoming.Method, URI: request.incoming.RequestURI, Host: request.incoming.Host,
		Header: header, Body: request.body, HasBody: request.incoming.Method != http.MethodGet && request.incoming.Method != http.MethodHead,
		Sending: relay.signalSending, Match: relay.matches, Trace: &relay.attempt.trace,
		Attempt: request.caller.Attempt, Fresh: request.responseStarted, Single: request.caller.Attempt == "",
	})
	if err == nil {
		return daemon.paths.watch(response, target.Address, ended), nil
	}
	ended()
	run := core.Unknown
	if !xchg.Sent(err) {
		run = core.NotRun
	}
	if ctx.Err() != nil {
		daemon.recordOutcome(request, relay.attempt, place.Inconclusive, 0)
		return nil, &sendError{run: run, cause: ctx.Err()}
	}
	daemon.targets.CloseIdle(target.Address)
	if run == core.NotRun {
		daemon.paths.failed(target.Address)
		daemon.recordOutcome(request, relay.attempt, daemon.failureOutcome(), 0)
		return nil, &sendError{unsent: true, run: run, cause: err}
	}
	return nil, relay.lost(ctx, err)
}

// errorResponse forwards an error response of the target, or returns it as an error if another attempt may succeed.
func (relay *relay) errorResponse(ctx context.Context, response *http.Response) error {
	memory := relay.daemon.responseBudget.Memory()
	defer memory.Release()
	body, err := readResponse(response, memory)
	if err != nil && !errors.Is(err, intake.ErrMemory) {
		return relay.disconnected(ctx, err)
	}
	outcome := place.Succeeded
	if response.StatusCode >= http.StatusInternalServerError {
		outcome = place.ErrorResponse
	}
	relay.daemon.recordOutcome(relay.request, relay.attempt, outcome, relay.daemon.clock.Now().Sub(relay.attempt.startedAt))
	cause := fmt.Errorf("target responded with status %d", response.StatusCode)
	if answer.ImpliesNotRun(response.StatusCode) {
		// The target does not state that it did not run the request, so the status sent to the caller must not imply
		// it.
		return &sendError{run: core.Unknown, cause: cause}
	}
	if relay.request.responseStarted {
		return &sendError{run: core.HasRun, cause: cause}
	}
	if err != nil || len(body) == maxBufferedResponse {
		relay.request.outcome = outcomeTargetErred
		return relay.forwardLong(ctx, response, body, memory)
	}
	buffered := &bufferedResponse{status: response.StatusCode, header: response.Header, body: body}
	if response.StatusCode >= http.StatusInternalServerError {
		return &sendError{run: core.HasRun, cause: cause, response: buffered}
	}
	relay.request.outcome = outcomeTargetErred
	relay.request.write(relay.writer, buffered)
	return nil
}

// readResponse reads the body of a response, or the first maxBufferedResponse bytes of a longer one. With intake.ErrMemory it returns what the memory for
// responses has room for: a target in trouble may send bytes without end to all its requests.
func readResponse(response *http.Response, memory *intake.Memory) ([]byte, error) {
	return memory.ReadAll(response.Body, maxBufferedResponse)
}

// forwardLong forwards a response as it arrives, after the beginning of its body that was already read, whose memory it frees.
func (relay *relay) forwardLong(ctx context.Context, response *http.Response, begin []byte, memory *intake.Memory) error {
	xchg.CopyHeader(relay.writer.Header(), response.Header)
	relay.resumable = false
	relay.request.responseStarted, relay.request.status = true, response.StatusCode
	relay.writer.WriteHeader(response.StatusCode)
	_, _ = relay.writer.Write(begin)
	memory.Release()
	if _, err := io.Copy(relay.writer, response.Body); err != nil {
		return relay.disconnected(ctx, err)
	}
	return nil
}

// forwardBuffered forwards a response that is not a stream; a short one is read to its end first, so that the request
// can be retried if the target disconnects.
func (relay *relay) forwardBuffered(ctx context.Context, response *http.Response) error {
	relay.watchdog.wait()
	memory := relay.daemon.responseBudget.Memory()
	defer memory.Release()
	body, err := readResponse(response, memory)
	relay.request.firstEventAfter = relay.daemon.clock.Now().Sub(relay.request.startedAt)
	if err != nil && !errors.Is(err, intake.ErrMemory) {
		return relay.disconnected(ctx, err)
	}
	relay.inputs.free()
	if err == nil && len(body) < maxBufferedResponse {
		duration := relay.daemon.clock.Now().Sub(relay.attempt.startedAt)
		relay.daemon.recordOutcome(relay.request, relay.attempt, place.Succeeded, duration)
		relay.daemon.observeFirstEvent(relay.request.route.Name, duration)
		relay.request.write(relay.writer, &bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
		relay.clearCrashes()
		return nil
	}
	if err := relay.forwardLong(ctx, response, body, memory); err != nil {
		return err
	}
	relay.daemon.recordOutcome(relay.request, relay.attempt, place.Succeeded, relay.daemon.clock.Now().Sub(relay.attempt.startedAt))
	relay.clearCrashes()
	return nil
}

// disconnected records an attempt whose response ended early and returns its error.
func (relay *relay) disconnected(ctx context.Context, err error) error {
	relay.request.mayHaveRun = true
	return relay.lost(ctx, err)
}

// lost is disconnected for an attempt that must not change its request.
func (relay *relay) lost(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		relay.daemon.recordOutcome(relay.request, relay.attempt, place.Inconclusive, 0)
		return &sendError{run: core.Unknown, cause: ctx.Err()}
	}
	if relay.attempt.through != nil {
		return &sendError{run: core.Unknown, cause: err}
	}
	if xchg.IsForeign(err) || errors.Is(err, errUnidentified) {
		// The target works, and sends what belongs to other requests.
		relay.daemon.recordOutcome(relay.request, relay.attempt, place.Disconnected, 0)
		return &sendError{run: core.Unknown, cause: err}
	}
	relay.daemon.paths.failed(relay.attempt.target.Address)
	relay.daemon.recordOutcome(relay.request, relay.attempt, relay.daemon.failureOutcome(), 0)
	relay.recordCrash()
	return &sendError{run: core.Unknown, cause: err}
}
