package core

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Kind is one entry of the closed list of error kinds.
type Kind int

// The error kinds; the zero value is Internal, so that an unclassified error never claims "not run".
const (
	Internal Kind = iota
	BadRequest
	Unauthorized
	NotFound
	KeyReused
	KeyExpired
	Conflict
	Overloaded
	Unavailable
	Unconfirmed
	Poison
	DeadlineExceeded
	TargetFailed
	OutcomeUnknown
)

// Run says whether a request was executed when it failed.
type Run int

// The values of Run; the zero value is Unknown, so that "not run" is always a deliberate statement.
const (
	Unknown Run = iota
	NotRun
	HasRun
)

// String returns the name used in responses.
func (run Run) String() string {
	switch run {
	case NotRun:
		return "NotRun"
	case HasRun:
		return "Run"
	default:
		return "Unknown"
	}
}

// ParseRun is the inverse of Run.String; any other text is Unknown.
func ParseRun(text string) Run {
	switch text {
	case "NotRun":
		return NotRun
	case "Run":
		return HasRun
	default:
		return Unknown
	}
}

// Answer describes how a Kind is reported to callers.
type Answer struct {
	Name      string
	Status    int  // HTTP status code
	Run       Run  // default of the kind; each DeadlineExceeded and TargetFailed error states its own
	Retryable bool // the caller may retry with the same request
	ExitCode  int  // exit code of the command line
}

var answers = map[Kind]Answer{
	Internal:         {"Internal", http.StatusInternalServerError, Unknown, false, 70},
	BadRequest:       {"BadRequest", http.StatusBadRequest, NotRun, false, 64},
	Unauthorized:     {"Unauthorized", http.StatusUnauthorized, NotRun, false, 77},
	NotFound:         {"NotFound", http.StatusNotFound, NotRun, false, 66},
	KeyReused:        {"KeyReused", http.StatusConflict, NotRun, false, 65},
	KeyExpired:       {"KeyExpired", http.StatusConflict, NotRun, false, 65},
	Conflict:         {"Conflict", http.StatusConflict, NotRun, false, 65},
	Overloaded:       {"Overloaded", http.StatusTooManyRequests, NotRun, true, 75},
	Unavailable:      {"Unavailable", http.StatusServiceUnavailable, NotRun, true, 75},
	Unconfirmed:      {"Unconfirmed", http.StatusServiceUnavailable, NotRun, true, 75},
	Poison:           {"Poison", http.StatusUnprocessableEntity, HasRun, false, 65},
	DeadlineExceeded: {"DeadlineExceeded", http.StatusGatewayTimeout, Unknown, true, 75},
	TargetFailed:     {"TargetFailed", http.StatusBadGateway, HasRun, true, 69},
	OutcomeUnknown:   {"OutcomeUnknown", http.StatusGatewayTimeout, Unknown, false, 76},
}

// Answer returns how the kind is reported; an unknown kind is reported as Internal.
func (kind Kind) Answer() Answer {
	if answer, known := answers[kind]; known {
		return answer
	}
	return answers[Internal]
}

// String returns the name used in responses.
func (kind Kind) String() string { return kind.Answer().Name }

// ParseKind returns the kind with the name; an unknown name is Internal.
func ParseKind(name string) Kind {
	for kind, answer := range answers {
		if answer.Name == name {
			return kind
		}
	}
	return Internal
}

// Error is the error type that callers and operators see.
type Error struct {
	Kind       Kind
	Run        Run
	Message    string
	RetryAfter time.Duration
	Request    RequestID
	Stage      string
	Cause      error
}

// Errorf returns an Error of the kind with the kind's default Run.
func Errorf(kind Kind, format string, arguments ...any) *Error {
	cause := fmt.Errorf(format, arguments...)
	return &Error{Kind: kind, Run: kind.Answer().Run, Message: cause.Error(), Cause: errors.Unwrap(cause)}
}

// Error returns the kind and the message.
func (e *Error) Error() string {
	if e.Stage != "" {
		return fmt.Sprintf("%s: stage %q: %s", e.Kind, e.Stage, e.Message)
	}
	return fmt.Sprintf("%s: %s", e.Kind, e.Message)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// WithRun returns a copy that states whether the request was executed.
func (e *Error) WithRun(run Run) *Error {
	changed := *e
	changed.Run = run
	return &changed
}

// WithRetryAfter returns a copy that tells the caller when to retry.
func (e *Error) WithRetryAfter(retryAfter time.Duration) *Error {
	changed := *e
	changed.RetryAfter = retryAfter
	return &changed
}

// WithStage returns a copy that names the request and the stage.
func (e *Error) WithStage(request RequestID, stage string) *Error {
	changed := *e
	changed.Request, changed.Stage = request, stage
	return &changed
}

// AsError returns err as an Error; any other error becomes Internal.
func AsError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Kind: Internal, Message: err.Error(), Cause: err}
}
