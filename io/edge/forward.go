package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"catkincove/core"
	"catkincove/core/origin"
	"catkincove/core/place"
	"catkincove/core/retry"
	"catkincove/io/answer"
	"catkincove/io/callid"
	"catkincove/io/xchg"
)

// pathForward is the prefix of the URI of a caller's request that a daemon without paths to the targets passes on to another daemon.
const pathForward = "/peer/forward"

// Headers between the two daemons; none of them reaches a target or a caller.
const (
	headerElapsed      = "Catkincove-Elapsed"       // milliseconds since the first daemon received the request
	headerContinues    = "Catkincove-Continues"     // last event that the caller has of a stream that goes on within its response
	headerOrigin       = "Catkincove-Origin"        // service and version of the target that began the stream
	headerSequence     = "Catkincove-Sequence"      // of the newest record of an origin of the first daemon, which may have tried targets
	headerTargetLeaves = "Catkincove-Target-Leaves" // in a response: target that has said that it leaves
	headerPathsLost    = "Catkincove-Paths-Lost"    // in a response: the daemon has lost its paths as well and has not run the request
)

// maxOriginSequence is far above the number of records that a daemon writes; a larger one could not be counted up.
const maxOriginSequence = 1 << 60

var forwardHeaders = []string{headerElapsed, headerContinues, headerOrigin, headerSequence, headerTargetLeaves, headerPathsLost}

// forwardedRequest is what the first daemon says about a request that it passes on.
type forwardedRequest struct {
	elapsed   time.Duration
	continues string
	origin    origin.Origin
	sequence  int64 // of the newest record of an origin there
}

// forwardExchange sends the request to the daemon that forwards it and returns its response with the body unread.
func (relay *relay) forwardExchange(ctx context.Context) (*http.Response, error) {
	request, daemon, through := relay.request, relay.daemon, relay.attempt.through
	header := request.incoming.Header.Clone()
	for _, name := range forwardHeaders {
		header.Del(name)
	}
	header.Set(headerElapsed, strconv.FormatInt(daemon.clock.Now().Sub(request.startedAt).Milliseconds(), 10))
	if request.origin.Known() {
		header.Set(headerOrigin, request.origin.Encode())
	} else if request.isResumable() {
		header.Set(headerSequence, strconv.FormatInt(daemon.originSequence(), 10))
	}
	if request.responseStarted {
		header.Set(headerContinues, request.resumeAfter)
	}
	for name := range xchg.ConnectionHeaders {
		header.Del(name)
	}
	response, err := daemon.targets.Do(ctx, xchg.Request{
		Address: relay.attempt.target.Address, Method: request.incoming.Method, URI: pathForward + request.incoming.RequestURI, Host: request.incoming.Host,
		Header: header, Body: request.body, HasBody: request.incoming.Method != http.MethodGet && request.incoming.Method != http.MethodHead,
		Sending: relay.signalSending, Match: relay.matches, Trace: &relay.attempt.trace,
		Attempt: request.caller.Attempt, Fresh: request.responseStarted, Single: request.caller.Attempt == "",
	})
	if err == nil {
		return response, nil
	}
	daemon.targets.CloseIdle(relay.attempt.target.Address)
	failure := &sendError{run: core.Unknown, cause: err}
	if !xchg.Sent(err) {
		failure.unsent, failure.run = true, core.NotRun
	}
	if ctx.Err() == nil {
		daemon.do(func() { daemon.markFailed(through, err) })
	}
	return nil, failure
}

// openForwarded is open for an attempt through another daemon, whose own errors keep their promises.
func (relay *relay) openForwarded(ctx context.Context) (*http.Response, error) {
	response, err := relay.forwardExchange(ctx)
	if err != nil {
		return nil, err
	}
	facts := relay.daemon.dialect.TargetResponse(response.StatusCode, response.Header)
	relay.toldOrigin = origin.Parse(response.Header.Get(headerOrigin))
	response.Header.Del(headerOrigin)
	if leaving := response.Header.Get(headerTargetLeaves); leaving != "" {
		relay.daemon.do(func() { relay.daemon.markLeaving(leaving, relay.daemon.control.registry.Run(leaving).StartedAt) })
		response.Header.Del(headerTargetLeaves)
	}
	named := facts.Attempt == relay.request.caller.Attempt
	errorOfTarget := facts.Attempt != "" && response.StatusCode >= http.StatusMultipleChoices // a daemon's own rejection names no attempt
	if facts.HasDigest && named || errorOfTarget {
		return response, nil
	}
	_ = response.Body.Close() // unread, which closes the connection: a second copy of this response, which names no attempt, could not be told from the next one
	if facts.HasDigest {
		return nil, &sendError{run: core.Unknown, cause: errUnidentified}
	}
	cause := fmt.Errorf("daemon %s responded with status %d", relay.attempt.through.ID, response.StatusCode)
	seconds, _ := strconv.ParseFloat(response.Header.Get(retryAfterHeader), 64)
	retryAfter := max(time.Duration(seconds*float64(time.Second)), retry.MinPause)
	switch {
	case response.Header.Get(headerPathsLost) != "":
		return nil, &sendError{unsent: true, run: core.NotRun, cause: cause}
	case relay.request.responseStarted && answer.ImpliesNotRun(response.StatusCode):
		return nil, &sendError{run: core.NotRun, status: response.StatusCode, cause: cause}
	case answer.ImpliesNotRun(response.StatusCode):
		return nil, core.Errorf(core.Unavailable, "%w", cause).WithRetryAfter(retryAfter)
	case relay.request.caller.Attempt == "":
		// A target names no attempt either, and may have run the request.
	case response.StatusCode == core.Poison.Answer().Status:
		return nil, core.Errorf(core.Poison, "%w", cause)
	case response.StatusCode < http.StatusInternalServerError && response.StatusCode >= http.StatusBadRequest:
		return nil, core.Errorf(core.Unavailable, "%w", cause).WithRetryAfter(defaultRetryAfter) // its configuration differs from this daemon's
	}
	return nil, core.Errorf(core.OutcomeUnknown, "%w", cause)
}

// forwardsTo returns an attempt through the daemon.
func (daemon *Daemon) forwardsTo(request *request, through *peer) *attempt {
	request.triedPeers = append(request.triedPeers, through.Peer)
	request.attempts++
	return &attempt{target: place.Target{ID: "daemon " + string(through.ID), Address: through.Peer, Version: request.origin.Version}, startedAt: daemon.clock.Now(), through: through, recorded: true, prefillReported: true}
}

// serveForward serves a request of a caller that another daemon passes on. It is never passed on again.
func (daemon *Daemon) serveForward(writer http.ResponseWriter, incoming *http.Request) {
	if daemon.paths.lost() || daemon.leaving.Load() {
		writer.Header().Set(headerPathsLost, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	received, err := parseForwarded(incoming)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	daemon.raiseOriginSequence(received.sequence)
	daemon.serveRequest(writer, incoming, received)
}

// parseForwarded restores the caller's request and returns what the first daemon says about it.
func parseForwarded(incoming *http.Request) (*forwardedRequest, error) {
	elapsed, err := strconv.ParseInt(incoming.Header.Get(headerElapsed), 10, 64)
	if err != nil || elapsed < 0 || elapsed > int64(time.Hour/time.Millisecond) {
		return nil, errors.New("elapsed time")
	}
	sequence := int64(0) // not stated by older builds
	if text := incoming.Header.Get(headerSequence); text != "" {
		sequence, err = strconv.ParseInt(text, 10, 64)
		if err != nil || sequence < 0 || sequence > maxOriginSequence {
			return nil, errors.New("sequence of origins")
		}
	}
	received := &forwardedRequest{
		elapsed: time.Duration(elapsed) * time.Millisecond, continues: incoming.Header.Get(headerContinues), origin: origin.Parse(incoming.Header.Get(headerOrigin)), sequence: sequence,
	}
	for _, name := range forwardHeaders {
		incoming.Header.Del(name)
	}
	incoming.Header.Del(callid.Header)
	incoming.RequestURI = strings.TrimPrefix(incoming.RequestURI, pathForward)
	if incoming.URL, err = url.ParseRequestURI(incoming.RequestURI); err != nil {
		return nil, err
	}
	return received, nil
}
