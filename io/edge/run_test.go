package edge

import (
	"context"
	"io"
	"net"
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
