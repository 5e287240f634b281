package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/blame"
	"catkincove/core/origin"
	"catkincove/io/answer"
	"catkincove/io/intake"
	"catkincove/io/lines"
	"catkincove/io/shift"
	"catkincove/io/xchg"
)

const (
	defaultTimeout        = 30 * time.Second       // time limit of a request whose caller and route state none
	leavingRetryAfter     = 50 * time.Millisecond  // Retry-After of a leaving daemon; other daemons are ready
	defaultRetryAfter     = 500 * time.Millisecond // Retry-After without a routing or after the time limit, and the minimum after failed stages
	defaultFirstEventTime = 150 * time.Millisecond // assumed time to the first event of a route before any was measured
	firstEventAlpha       = 0.1                    // weight of the newest value in the average time to the first event
	minFirstTimeLeftShare = 0.82                   // share of the route's time limit below which a request is a retry; first attempts state 0.85 to 1
	usualTimeLeftShare    = 0.92                   // middle of the shares that callers state on a first attempt
	retryAfterHeader      = "Retry-After"          // value in seconds, with fractions
)

// request is the state of one request of a caller.
type request struct {
	caller       core.CallerRequest
	route        core.Route
	services     map[string]core.ServiceSpec // of the routing by which the request was accepted
	team         core.TeamSpec
	priority     int
	incoming     *http.Request
	body         []byte
	bodyMemory   *intake.Memory
	fingerprint  core.Fingerprint
	suspects     blame.Request
	startedAt    time.Time
	softDeadline time.Time
	deadline     time.Time
	returning    bool // the caller was rejected before
	forwarded    bool // by a daemon that has lost its paths to the targets
	plan         admit.Plan

	progress
}

// progress is the part of a request that its attempts change.
type progress struct {
	inputHandles    []string      // handles of the results for the final target; nil once they are freed
	inputDataCentre string        // data centre that holds the large inputs; empty if there are none
	inputBytes      int64         // size of the inputs in that data centre
	resumeAfter     string        // ID of the last event that the caller has received
	attempts        int           // attempts at targets so far
	triedPeers      []string      // addresses of the daemons that were asked to forward the request
	triedTargets    []string      // IDs of the targets of those attempts
	versions        []string      // software versions of those targets
	choice          shift.Choice  // side of a rollout to which the request goes
	origin          origin.Origin // what began the stream; unknown before its first event
	mayHaveRun      bool          // a target may have run the request
	responseStarted bool          // the response to the caller has started
	outcome         string        // outcome in log and metrics
	status          int           // status of the response to the caller; 0 before it has begun
	mediaType       string        // type of the body of that response
	aborted         bool          // the caller's connection was closed before the end of its response
	targetID        string
	firstEventAfter time.Duration   // time from the start of the request to the first event or the whole response
	stagesDuration  time.Duration   // time from the start of the request to the end of its stages
	stageDurations  []time.Duration // duration of each stage, from its inputs to its results
}

// serveFront serves one request of a caller.
func (daemon *Daemon) serveFront(writer http.ResponseWriter, incoming *http.Request) {
	daemon.serveRequest(writer, incoming, nil)
}

// serveRequest serves one request of a caller, which another daemon has forwarded unless forwarded is nil.
func (daemon *Daemon) serveRequest(writer http.ResponseWriter, incoming *http.Request, forwarded *forwardedRequest) {
	daemon.activeRequests.Add(1)
	defer func() {
		daemon.lastRequestEnd.Store(daemon.clock.Now().UnixNano())
		daemon.activeRequests.Add(-1)
	}()
	if daemon.leaving.Load() {
		writer.Header().Set("Connection", "close")
	}
	daemon.awaitCheck(incoming.Context())
	request, err := daemon.accept(writer, incoming, forwarded)
	if err != nil {
		daemon.reject(writer, request, err)
		return
	}
	defer request.bodyMemory.Release()
	ctx, cancel := context.WithDeadline(incoming.Context(), request.deadline)
	defer cancel()
	ctx, stop := daemon.untilCut(ctx)
	defer stop()
	if err := daemon.serve(ctx, writer, request); err != nil {
		daemon.reject(writer, request, daemon.classify(ctx, request, err))
		return
	}
	daemon.finish(request)
}

// accept reads, authenticates and validates a request; it also returns the request with an error.
func (daemon *Daemon) accept(writer http.ResponseWriter, incoming *http.Request, forwarded *forwardedRequest) (*request, error) {
	now := daemon.clock.Now()
	request := &request{incoming: incoming}
	if forwarded != nil {
		now = now.Add(-forwarded.elapsed)
		request.forwarded, request.origin, request.resumeAfter = true, forwarded.origin, forwarded.continues
	}
	request.startedAt = now
	view := daemon.view.Load()
	if !view.routing.Known() {
		return request, core.Errorf(core.Unavailable, "no routing is known yet").WithRetryAfter(defaultRetryAfter)
	}
	caller, err := daemon.dialect.CallerRequest(incoming.Header)
	request.caller = caller
	if err != nil {
		return request, core.Errorf(core.BadRequest, "headers: %w", err)
	}
	for _, count := range caller.Pieces {
		if count > maxPieces {
			return request, core.Errorf(core.BadRequest, "%d pieces, limit %d", count, maxPieces)
		}
	}
	path, _, _ := strings.Cut(incoming.RequestURI, "?")
	route, found := view.routing.Match(xchg.HostName(incoming.Host), path)
	if !found {
		return request, core.Errorf(core.NotFound, "no route for host and path; routing version %d", view.routing.Version)
	}
	request.route, request.services, request.priority = route, view.routing.Services, route.Priority
	if view.routing.Authenticates() && !route.Public {
		team, found := view.routing.Team(caller.Credential)
		if !found {
			return request, core.Errorf(core.Unauthorized, "credential is not known; routing version %d", view.routing.Version)
		}
		request.team = team
		if team.HasPriority {
			request.priority = team.Priority
		}
	}
	request.setDeadlines(now)
	if daemon.wouldBeCut(request) {
		return request, core.Errorf(core.Unavailable, "this daemon is leaving").WithRetryAfter(leavingRetryAfter)
	}
	return request, daemon.readBody(writer, request, view.routing.RequestLimits)
}

// setDeadlines sets the deadline and the soft deadline. A caller that retries after a rejection states far less time
// than the route gives, and its latency objective counts from its first attempt.
func (request *request) setDeadlines(now time.Time) {
	timeLeft := defaultTimeout
	if request.route.Timeout > 0 {
		timeLeft = request.route.Timeout
	}
	if request.caller.TimeLeft > 0 {
		timeLeft = min(timeLeft, request.caller.TimeLeft)
	}
	request.deadline = now.Add(timeLeft)
	request.softDeadline = now.Add(min(request.route.LatencyObjective, timeLeft))
	limit := float64(request.route.Timeout)
	if stated := float64(request.caller.TimeLeft); stated > 0 && stated < limit*minFirstTimeLeftShare {
		request.returning = true
		request.softDeadline = request.softDeadline.Add(-time.Duration(limit*usualTimeLeftShare - stated))
	}
}

// serve admits a request, runs its stages and forwards it to a target.
func (daemon *Daemon) serve(ctx context.Context, writer http.ResponseWriter, request *request) error {
	if err := daemon.resolveOrigin(ctx, request); err != nil {
		return err
	}
	inputs := &inputs{daemon: daemon, request: request}
	defer inputs.free()
	startable, stop := daemon.whileStartable(ctx, request)
	defer stop()
	if daemon.forwardingPeer(request) != nil {
		// The other daemon admits the request and runs its stages, unless the paths of this one return before.
		daemon.do(func() { request.plan = admit.Forecast(daemon.admissionRequest(request, daemon.clock.Now())) })
		return daemon.send(ctx, startable, writer, request, inputs)
	}
	if err := daemon.admit(request); err != nil {
		return err
	}
	if err := inputs.produce(startable); err != nil {
		return err
	}
	request.stagesDuration = daemon.clock.Now().Sub(request.startedAt)
	return daemon.send(ctx, startable, writer, request, inputs)
}

// admit rejects a request that has crashed targets before, and one that is expected to be late.
func (daemon *Daemon) admit(request *request) error {
	var decision admit.Decision
	var quarantined error
	daemon.do(func() {
		now := daemon.clock.Now()
		if quarantined = daemon.checkQuarantine(now, request); quarantined != nil {
			return
		}
		plan := daemon.admissionRequest(request, now)
		request.plan, decision = admit.Forecast(plan), daemon.control.door.Decide(now, plan)
	})
	if quarantined != nil {
		return quarantined
	}
	if !decision.Admit {
		return core.Errorf(core.Unavailable, "%s: response expected in %v, soft deadline in %v, retry in %v", decision.Reason,
			request.plan.TimeToResponse.Round(time.Millisecond), request.softDeadline.Sub(request.startedAt), decision.RetryAfter.Round(time.Millisecond)).WithRetryAfter(decision.RetryAfter)
	}
	return nil
}

// admissionRequest collects the inputs of the admission decision; it must run on the loop.
func (daemon *Daemon) admissionRequest(request *request, now time.Time) admit.Request {
	firstEventTime, known := daemon.control.firstEventTimes[request.route.Name]
	if !known {
		firstEventTime = defaultFirstEventTime
	}
	plan := admit.Request{
		Route: request.route.Name, Daemons: daemon.control.chooser.Daemons, TimeToFirstEvent: firstEventTime, SoftTimeLeft: request.softDeadline.Sub(now), TimeLeft: request.deadline.Sub(now), Priority: request.route.Priority, TeamPriority: request.team.Priority,
		Returning: request.returning,
	}
	for i, spec := range request.route.Stages {
		forecast, fresh := daemon.forecast(spec.Service)
		stage := admit.Stage{Spec: spec, Pieces: request.pieces(i), Forecast: forecast, ForecastFresh: fresh}
		if targets := daemon.view.Load().routing.Services[spec.Service].Batch; targets != nil {
			stage.PieceTime = targets.CallOverhead/time.Duration(max(targets.MaxPieces, 1)) + targets.PieceTime
		}
		plan.Stages = append(plan.Stages, stage)
	}
	return plan
}

// classify returns the error to report for a request; it gives the end of a context, failed stages and failed attempts
// their kinds.
func (daemon *Daemon) classify(ctx context.Context, request *request, err error) error {
	var failedStage *stageError
	var failedAttempt *sendError
	switch {
	case request.incoming.Context().Err() != nil:
		return errCallerDisconnected
	case daemon.endedByDrain(request) && isCancelled(err):
		if request.mayHaveRun {
			return core.Errorf(core.OutcomeUnknown, "this daemon has left before the response")
		}
		return core.Errorf(core.Unavailable, "this daemon is leaving").WithRetryAfter(leavingRetryAfter)
	case errors.As(err, &failedStage):
		return core.Errorf(core.Unavailable, "%w", err).WithRetryAfter(daemon.stagesRetryAfter(request))
	case ctx.Err() != nil && request.mayHaveRun:
		return core.Errorf(core.OutcomeUnknown, "no response within the time limit")
	case ctx.Err() != nil:
		return core.Errorf(core.Unavailable, "not started within the time limit").WithRetryAfter(defaultRetryAfter)
	case errors.As(err, &failedAttempt) && core.AsError(err).Kind == core.Internal:
		return core.Errorf(core.TargetFailed, "%w", err) // a disconnected stream that may not resume at another target
	}
	return err
}

// isCancelled reports whether a request has ended with its context, or without the results of a stage.
func isCancelled(err error) bool {
	var failedStage *stageError
	return errors.Is(err, context.Canceled) || errors.As(err, &failedStage)
}

// stagesRetryAfter estimates when the stages will have caught up if the forecast exceeds half the latency objective, and
// returns at least defaultRetryAfter.
func (daemon *Daemon) stagesRetryAfter(request *request) time.Duration {
	var retryAfter time.Duration
	daemon.do(func() {
		now := daemon.clock.Now()
		plan := daemon.admissionRequest(request, now)
		plan.SoftTimeLeft = request.route.LatencyObjective / 2
		retryAfter = daemon.control.door.RetryAfter(now, plan)
	})
	return max(retryAfter, defaultRetryAfter)
}

var errCallerDisconnected = errors.New("the caller closed its connection")

// reject responds with an error of this daemon and logs the request.
func (daemon *Daemon) reject(writer http.ResponseWriter, request *request, err error) {
	e := core.AsError(err)
	if request.mayHaveRun && answer.ImpliesNotRun(e.Kind.Answer().Status) {
		// An earlier target may have run the request, so the response must not say that it has not run.
		e = core.Errorf(core.TargetFailed, "%w", err)
	}
	status := e.Kind.Answer().Status
	switch {
	case errors.Is(err, errCallerDisconnected):
		request.outcome = "CallerLeft"
		daemon.metrics.countOutcome(request.outcome)
		daemon.logRequest(request, 0, err)
		panic(http.ErrAbortHandler) // a caller that still reads must not take what it has for a whole response
	case errors.Is(err, errTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, errBodyTimeout):
		status = http.StatusRequestTimeout
	case e.Kind == core.Internal || e.Kind == core.TargetFailed:
		status = http.StatusBadGateway
	}
	request.outcome = e.Kind.String()
	daemon.metrics.countOutcome(request.outcome)
	if request.responseStarted {
		// The headers are sent; only an aborted connection tells the caller that the response is incomplete.
		request.aborted = true
		daemon.metrics.responsesAborted.Add(1)
		daemon.logRequest(request, request.status, err)
		panic(http.ErrAbortHandler)
	}
	daemon.logRequest(request, status, err)
	if e.RetryAfter > 0 {
		writer.Header().Set(retryAfterHeader, strconv.FormatFloat(e.RetryAfter.Seconds(), 'f', 2, 64))
	}
	writer.Header().Set("Content-Type", "text/plain; charset=utf-8")
	writer.WriteHeader(status)
	_, _ = fmt.Fprintln(writer, e.Kind)
}

// logBelief adds to the line of a request that the routing does not allow where the routing came from, the age of the copies, and whether the daemon
// knows that they are not updated.
func (daemon *Daemon) logBelief(line *zerolog.Event) *zerolog.Event {
	line = daemon.view.Load().routingFrom.log(line)
	daemon.do(func() {
		line = line.Dur("CopyAge", daemon.clock.Now().Sub(daemon.control.storeReadAt)).Bool("StoreUnavailable", daemon.control.routes.Unavailable())
	})
	return line
}

func (daemon *Daemon) finish(request *request) {
	if request.outcome == "" {
		request.outcome = "Served"
	}
	daemon.metrics.countOutcome(request.outcome)
	daemon.metrics.latencies.Observe(request.route.Name, daemon.clock.Now().Sub(request.startedAt))
	daemon.logRequest(request, request.status, nil)
}

// logID returns the ID of the caller's attempt as logs show it.
func (request *request) logID() string { return lines.Short(request.caller.Attempt) }

// logRequest writes the log line that ends a request.
func (daemon *Daemon) logRequest(request *request, status int, err error) {
	now := daemon.clock.Now()
	line := daemon.log.Info()
	if err != nil {
		if kind := core.AsError(err).Kind; kind == core.NotFound || kind == core.Unauthorized {
			line = daemon.logBelief(line)
		}
	}
	line.Str(eventField, eventRequestEnded).Str("Request", request.logID()).Str("Route", request.route.Name).
		Str("Team", string(request.team.Name)).Int("Priority", request.priority).Int64("RoutingVersion", daemon.view.Load().routing.Version).
		Str("Outcome", request.outcome).Int("Status", status).Bool("Aborted", request.aborted).Str("Target", request.targetID).Int("Tries", request.attempts).Strs("Versions", request.versions).
		Str("Resumes", lines.Short(request.caller.Resumes)).Str("ResumesAfter", lines.Short(request.caller.LastEvent)).
		Dur("Stages", request.stagesDuration).Durs("StageTimes", request.stageDurations).Dur("First", request.firstEventAfter).Dur("Took", now.Sub(request.startedAt)).
		Dur("Left", request.caller.TimeLeft).Dur("Limit", max(request.deadline.Sub(request.startedAt), 0)).Dur("SoftLeft", request.softDeadline.Sub(request.startedAt)).Dur("Forecast", request.plan.TimeToResponse).AnErr("Cause", err).Send()
}
