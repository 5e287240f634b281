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

// TestErrorOutlivesTheContext guards against a context's error that hides why the daemon refused the request.
func TestErrorOutlivesTheContext(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		answer.Write(writer, core.Errorf(core.Overloaded, "queue is full").WithRetryAfter(time.Minute))
	}))
	defer server.Close()
	client := &Client{Seeds: []string{strings.TrimPrefix(server.URL, "http://")}, Fixed: true}
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, err := client.Do(ctx, Request{Pipeline: "lookup"}, func(Event) {})
	if e := core.AsError(err); e.Kind != core.Overloaded || e.Run != core.NotRun {
		t.Errorf("error is %v (%v), expected Overloaded and not run", err, e.Run)
	}
}
