package plain

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"catkincove/stand/wire"
)

// TestExecutions guards against a service that deduplicates requests itself, or does not count one whose caller timed out;
// the tests of at-most-once calls would then miss a repeated execution.
func TestExecutions(t *testing.T) {
	service := New("booking", Settings{ServiceTime: 400 * time.Millisecond})
	server, err := wire.Listen("127.0.0.1:0", service)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	call := func(ctx context.Context) error {
		request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address()+"/booking", strings.NewReader(`{"Hall":3}`))
		request.Header.Set("Idempotency-Key", "k")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		for ctx.Err() == nil && service.ByKey()["k"] == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel() // the caller leaves while the service executes its request
	}()
	if err := call(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("call whose caller leaves: %v", err)
	}
	for range 2 {
		if err := call(t.Context()); err != nil {
			t.Error(err)
		}
	}
	if key, body := service.ByKey()["k"], service.ByBody()[`{"Hall":3}`]; key != 3 || body != 3 {
		t.Errorf("%d executions by key and %d by body, want 3 each", key, body)
	}
}
