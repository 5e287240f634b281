package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/answer"
)

// TestLastErrorIsNotDelayed guards against a client that waits for RetryAfter although it makes no further attempt.
func TestLastErrorIsNotDelayed(t *testing.T) {
	const retryAfter = 10 * time.Second
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		answer.WriteError(writer, core.Errorf(core.Overloaded, "queue is full").WithRetryAfter(retryAfter))
	}))
	defer server.Close()
	client := &Client{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, SeedsOnly: true, MaxAttempts: 1}
	start := time.Now()
	_, err := client.Do(t.Context(), Request{Pipeline: "any"}, func(Event) {})
	e := core.AsError(err)
	if e == nil || e.Kind != core.Overloaded || e.RetryAfter != retryAfter || e.Run != core.NotRun {
		t.Errorf("error is %v, expected Overloaded, not run, with its RetryAfter", err)
	}
	if elapsed := time.Since(start); elapsed > retryAfter/2 {
		t.Errorf("the error was returned after %v", elapsed)
	}
}

// TestDaemonErrorBeforeContextError guards against a context that ends during the backoff and whose error hides why the
// daemon rejected the request.
func TestDaemonErrorBeforeContextError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		answer.WriteError(writer, core.Errorf(core.Overloaded, "queue is full").WithRetryAfter(time.Minute))
	}))
	defer server.Close()
	client := &Client{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, SeedsOnly: true}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, Request{Pipeline: "lookup"}, func(Event) {})
	if e := core.AsError(err); e.Kind != core.Overloaded || e.Run != core.NotRun {
		t.Errorf("error is %v (%v), expected Overloaded and not run", err, e.Run)
	}
}

// TestEarlierAttempt guards against a request that counts as not run because its last attempt was rejected, although an earlier one may have run: the
// caller of an at-most-once call would be told to try again later, with a new key.
func TestEarlierAttempt(t *testing.T) {
	for _, test := range []struct {
		name  string
		first func(http.ResponseWriter)
		key   string
		kind  core.Kind
		run   core.Run
	}{
		{"rejected", func(writer http.ResponseWriter) { answer.WriteError(writer, core.Errorf(core.Unavailable, "no owner")) }, "key", core.Overloaded, core.NotRun},
		{"connection lost", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, "key", core.OutcomeUnknown, core.Unknown},
		{"connection lost, no key", func(http.ResponseWriter) { panic(http.ErrAbortHandler) }, "", core.Overloaded, core.Unknown},
		{"rejected at a later stage", func(writer http.ResponseWriter) {
			answer.WriteError(writer, core.Errorf(core.Overloaded, "queue of the second stage is full").WithRun(core.HasRun))
		}, "key", core.Overloaded, core.HasRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			requests := 0
			server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
				if requests++; requests == 1 {
					test.first(writer)
					return
				}
				answer.WriteError(writer, core.Errorf(core.Overloaded, "queue is full"))
			}))
			defer server.Close()
			client := &Client{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, SeedsOnly: true, MaxAttempts: 2, HTTP: &http.Client{Transport: &http.Transport{}}}
			_, err := client.Do(t.Context(), Request{Pipeline: "any", Key: test.key}, func(Event) {})
			if e := core.AsError(err); e.Kind != test.kind || e.Run != test.run || requests != 2 {
				t.Errorf("after %d attempts: %v (%v), want %v (%v)", requests, err, e.Run, test.kind, test.run)
			}
		})
	}
}
