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

// answers reports what a connection does: "works", "silent" or "broken".
func answers(conn net.Conn) string {
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

// TestModes guards against a proxy that breaks other connections than its mode says.
func TestModes(t *testing.T) {
	defer goleak.VerifyNone(t)
	listener := echo(t)
	defer listener.Close()
	tests := []struct {
		rule         Rule
		open, opened string // what a connection from before and one from after the change do
	}{
		{Rule{Mode: Pass}, "works", "works"},
		{Rule{Mode: Cut}, "broken", "broken"},
		{Rule{Mode: Silent}, "silent", "works"},
		{Rule{Mode: Silent, Direction: Down}, "silent", "works"},
		{Rule{Mode: Silent, Direction: Up}, "silent", "works"},
		{Rule{Mode: SilentAll}, "silent", "silent"},
		{Rule{Mode: Delay, Delay: 10 * time.Millisecond}, "works", "works"},
		{Rule{Mode: Refuse}, "works", "broken"},
	}
	for _, test := range tests {
		proxy, err := Listen("127.0.0.1:0", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		before, _ := net.Dial("tcp", proxy.Address())
		if answers(before) != "works" {
			t.Fatal("connection does not work before the fault")
		}
		if err := proxy.Set(test.rule); err != nil {
			t.Fatal(err)
		}
		after, _ := net.Dial("tcp", proxy.Address())
		if open, opened := answers(before), answers(after); open != test.open || opened != test.opened {
			t.Errorf("%+v: open %s, opened %s", test.rule, open, opened)
		}
		if _ = proxy.SetMode(Pass); test.open == "silent" && answers(before) != "silent" {
			t.Errorf("%+v: a silent connection came back", test.rule)
		}
		proxy.Close()
	}
}
