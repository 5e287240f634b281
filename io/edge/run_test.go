package edge

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/inifmt"
)

// TestAddressInUse guards against a daemon that reports no error when one of its addresses cannot be listened on, and
// against other addresses that stay occupied after that.
func TestAddressInUse(t *testing.T) {
	listen := func() net.Listener {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		return listener
	}
	occupied, free := listen(), listen()
	defer func() { _ = occupied.Close() }()
	front := free.Addr().String()
	_ = free.Close()
	daemon := New(Options{
		Settings: inifmt.EdgeSettings{Front: front, Ready: "127.0.0.1:0", Directory: "127.0.0.1:0", Peer: occupied.Addr().String()},
		Clock:    core.SystemClock{}, Log: io.Discard,
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if err := daemon.Run(ctx); err == nil || ctx.Err() != nil || !strings.Contains(err.Error(), "peer address") {
		t.Errorf("Run returns %v", err)
	}
	again, err := net.Listen("tcp", front)
	if err != nil {
		t.Fatalf("the front address is still in use: %v", err)
	}
	_ = again.Close()
}

// TestReloadKeepsRetryCounts guards against a daemon that repeats more requests than the retry budget allows, because it forgets
// those of the current window when its settings are reloaded, and against one that does not apply a changed budget.
func TestReloadKeepsRetryCounts(t *testing.T) {
	file := filepath.Join(t.TempDir(), "edge.ini")
	daemon := New(Options{SettingsFile: file, Dialect: plainDialect{}, Clock: core.SystemClock{}})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	for _, test := range []struct {
		bounds  string
		allowed int // further retries, with 0.8 of the budget in use
	}{
		{"RetrySlack = 10\nRetryRatio = 0", 8},
		{"RetrySlack = 10\nRetryRatio = 0\nColdSlack = 7", 0},
		{"RetrySlack = 20\nRetryRatio = 0", 8},
		{"RetrySlack = 20\nRetryRatio = 0.5", 4}, // of 10 requests
	} {
		text := "[Edge]\nName = d0\nDataCentre = dc\nFront = 127.0.0.1:1\nReady = 127.0.0.1:2\nDirectory = 127.0.0.1:3\nPeer = 127.0.0.1:4\nStore = 127.0.0.1:5\n[Bounds]\n" + test.bounds + "\n"
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		daemon.reload("test")
		if test.bounds == "RetrySlack = 10\nRetryRatio = 0" {
			daemon.do(func() {
				for range 10 {
					daemon.retryWindow("model").AddRequest(daemon.clock.Now())
				}
			})
		}
		allowed := 0
		for daemon.allowRetry("model") && allowed < 100 {
			allowed++
		}
		if allowed != test.allowed {
			t.Errorf("%q: %d further retries, expected %d", test.bounds, allowed, test.allowed)
		}
	}
}
