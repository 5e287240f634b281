package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"catkincove/core"
	"catkincove/io/xchg"
)

// defaultRetryAfter applies to rejections whose Retry-After is missing or not a number of seconds.
const defaultRetryAfter = time.Second

const maxErrorText = 256 // bytes of an error response that go into the message

// checkResponse rejects a response that belongs to another attempt and turns statuses into errors.
func (exchange *exchange) checkResponse() error {
	if xchg.HeadIsJoined(exchange.response) || !exchange.matches() {
		exchange.client.mismatched.Add(1)
		err := exchange.responseError("response belongs to another attempt")
		exchange.outcome = core.OutcomeMismatched
		return err
	}
	exchange.startID = exchange.response.Header.Get(headerStart)
	status := exchange.response.StatusCode
	switch status {
	case http.StatusOK:
		exchange.outcome = core.OutcomeDone
		return nil
	case http.StatusBadRequest:
		exchange.outcome = core.OutcomeRejected
		return core.Errorf(core.BadRequest, "target %s: %s", exchange.call.Address, exchange.errorText())
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		exchange.outcome = core.OutcomeRejected
		rejection := core.Errorf(core.Overloaded, "target %s rejected the call with status %d", exchange.call.Address, status)
		return rejection.WithRetryAfter(retryAfter(exchange.response.Header))
	default:
		return exchange.responseError("status %d: %s", status, exchange.errorText())
	}
}

func (exchange *exchange) matches() bool {
	header, call := exchange.response.Header, exchange.call
	return header.Get(headerRequest) == string(call.Request) &&
		header.Get(headerStage) == call.Stage &&
		header.Get(headerAttempt) == strconv.Itoa(call.Attempt)
}

func (exchange *exchange) errorText() string {
	text, _ := io.ReadAll(io.LimitReader(exchange.response.Body, maxErrorText))
	return string(text)
}

func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// responseError returns the error for a response that is malformed or reports a failure.
func (exchange *exchange) responseError(format string, arguments ...any) error {
	exchange.outcome = core.OutcomeFailed
	failure := core.Errorf(core.TargetFailed, format, arguments...)
	failure.Message = "target " + exchange.call.Address + ": " + failure.Message
	return failure
}

// transportError sets the outcome for an error of the transport and returns the matching *core.Error.
func (exchange *exchange) transportError(err error) error {
	exchange.mutex.Lock()
	sent, sendErr := exchange.sent, exchange.sendErr
	exchange.mutex.Unlock()
	cause := context.Cause(exchange.ctx)
	address := exchange.call.Address
	switch {
	case sendErr != nil:
		exchange.outcome = core.OutcomeUnsent
		return sendErr
	case exchange.parent.Err() != nil:
		exchange.outcome = outcomeIfSent(sent, core.OutcomeCancelled)
		return core.Errorf(core.DeadlineExceeded, "call to %s was cancelled: %w", address, context.Cause(exchange.parent))
	case errors.Is(cause, errStalled), errors.Is(cause, errDeadline):
		return exchange.timedOut(cause, sent)
	case !sent && exchange.reused, errors.Is(err, errRetired):
		// A target that closes an idle connection has not crashed.
		exchange.outcome = core.OutcomeUnsent
		return core.Errorf(core.Unavailable, "call to %s: %w", address, err)
	default:
		exchange.outcome = core.OutcomeDisconnected
		return core.Errorf(core.TargetFailed, "connection to %s was lost: %w", address, err)
	}
}

func (exchange *exchange) timedOut(cause error, sent bool) error {
	exchange.outcome = outcomeIfSent(sent, core.OutcomeTimedOut)
	exchange.client.timeouts.Add(1)
	exchange.client.closeIdle(exchange.call.Address)
	kind := core.TargetFailed
	if errors.Is(cause, errDeadline) {
		kind = core.DeadlineExceeded
	}
	return core.Errorf(kind, "call to %s: %w", exchange.call.Address, cause)
}

func outcomeIfSent(sent bool, outcome core.Outcome) core.Outcome {
	if sent {
		return outcome
	}
	return core.OutcomeUnsent
}
