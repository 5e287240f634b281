package fault

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func echo(t *testing.T) net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener
}

// behaviour sends a byte to the echo server and returns "works", "silent" (timeout) or "broken" (any other error).
func behaviour(conn net.Conn) string {
	if conn == nil {
		return "broken"
	}
	_ = conn.SetDeadline(time.Now().Add(100 * time.Millisecond))
	_, _ = conn.Write([]byte("x"))
	_, err := io.ReadFull(conn, make([]byte, 1))
	failure, isNet := err.(net.Error)
	switch {
	case err == nil:
		return "works"
	case isNet && failure.Timeout():
		return "silent"
	}
	return "broken"
}

// TestModes guards against a proxy that affects other connections than its mode names: those that are open when the mode
// is set, those opened later, or both.
func TestModes(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener := echo(t)
	defer listener.Close()
	tests := []struct {
		rule         Rule
		open, opened string // behaviour of a connection that was opened before the rule is set, and of one opened after it
	}{
		{Rule{Mode: Pass}, "works", "works"},
		{Rule{Mode: Cut}, "broken", "broken"},
		{Rule{Mode: Silent}, "silent", "works"},
		{Rule{Mode: Silent, Direction: Down}, "silent", "works"},
		{Rule{Mode: Silent, Direction: Up}, "silent", "works"},
		{Rule{Mode: SilentAll}, "silent", "silent"},
		{Rule{Mode: Delay, Delay: 10 * time.Millisecond}, "works", "works"},
		{Rule{Mode: Refuse}, "works", "broken"},
		{Rule{Mode: Partition}, "silent", "broken"},
	}
	for _, test := range tests {
		proxy, err := Listen("127.0.0.1:0", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		before, _ := net.Dial("tcp", proxy.Address())
		if behaviour(before) != "works" {
			t.Fatal("connection does not work before the rule is set")
		}
		if err := proxy.Set(test.rule); err != nil {
			t.Fatal(err)
		}
		after, _ := net.DialTimeout("tcp", proxy.Address(), time.Second)
		if open, opened := behaviour(before), behaviour(after); open != test.open || opened != test.opened {
			t.Errorf("%+v: open %s, opened %s", test.rule, open, opened)
		}
		if _ = proxy.SetMode(Pass); test.open == "silent" && behaviour(before) != "silent" {
			t.Errorf("%+v: a silenced connection works again in mode Pass", test.rule)
		}
		proxy.Close()
	}
}

// TestCloseWhileConnecting guards against a Close that never returns, because a connection that opens while it runs is
// silenced: neither side then sees that the other one has closed.
func TestCloseWhileConnecting(t *testing.T) {
	defer goleak.VerifyNone(t)
	target := echo(t)
	defer func() { _ = target.Close() }()
	for _, mode := range []Mode{Pass, SilentAll} {
		for round := range 100 {
			proxy, err := Listen("127.0.0.1:0", target.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			if err := proxy.SetMode(mode); err != nil {
				t.Fatal(err)
			}
			for range 8 {
				conn, err := net.Dial("tcp", proxy.Address())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
			}
			closed := make(chan struct{})
			go func() { proxy.Close(); close(closed) }()
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Fatalf("mode %s, round %d: Close does not return", mode, round)
			}
		}
	}
}
