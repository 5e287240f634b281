package caller

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/answer"
)

// TestLastErrorIsNotHeld guards against a caller that waits for RetryAfter although it makes no further attempt.
func TestLastErrorIsNotHeld(t *testing.T) {
	const retryAfter = 10 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		answer.Write(writer, core.Errorf(core.Overloaded, "queue is full").WithRetryAfter(retryAfter))
	}))
	defer server.Close()
	client := &Client{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Fixed: true, Attempts: 1}
	began := time.Now()
	_, err := client.Do(t.Context(), Request{Pipeline: "any"}, func(Event) {})
	e := core.AsError(err)
	if e == nil || e.Kind != core.Overloaded || e.RetryAfter != retryAfter || e.Run != core.NotRun {
		t.Errorf("error is %v, expected Overloaded, not run, with the time to come back", err)
	}
	if took := time.Since(began); took > retryAfter/2 {
		t.Errorf("the error came after %v", took)
	}
}
