package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"catkincove/core"
)

// Error is the JSON form of core.Error in all answers of a daemon; its field names are the keys.
type Error struct {
	Kind         string
	Run          string
	Message      string
	RetryAfterMs int64
	Request      string
	Stage        string
}

// Encode maps an error; the cause stays behind.
func Encode(e *core.Error) *Error {
	if e == nil {
		return nil
	}
	return &Error{
		Kind:         e.Kind.String(),
		Run:          e.Run.String(),
		Message:      e.Message,
		RetryAfterMs: max(0, e.RetryAfter.Milliseconds()),
		Request:      string(e.Request),
		Stage:        e.Stage,
	}
}

// Decode is the inverse of Encode.
func Decode(wire *Error) *core.Error {
	if wire == nil {
		return nil
	}
	return &core.Error{
		Kind:       core.ParseKind(wire.Kind),
		Run:        core.ParseRun(wire.Run),
		Message:    wire.Message,
		RetryAfter: time.Duration(wire.RetryAfterMs) * time.Millisecond,
		Request:    core.RequestID(wire.Request),
		Stage:      wire.Stage,
	}
}

// Write sends an error with its status, and Retry-After in whole seconds, rounded up, when it has one.
func Write(writer http.ResponseWriter, err error) {
	e := core.AsError(err)
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		writer.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	WriteJSON(writer, e.Kind.Answer().Status, Encode(e))
}

// WriteJSON sends a value as JSON with the status.
func WriteJSON(writer http.ResponseWriter, status int, value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusInternalServerError)
		return
	}
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_, _ = writer.Write(append(encoded, '\n'))
}

// Read decodes an error answer; a body that is no such answer becomes an Internal error that names the status.
func Read(status int, body []byte) *core.Error {
	var wire Error
	if err := json.Unmarshal(body, &wire); err != nil || wire.Kind == "" {
		return core.Errorf(core.Internal, "daemon answered status %d without a known error", status)
	}
	return Decode(&wire)
}
