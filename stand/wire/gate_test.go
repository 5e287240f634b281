package wire

import (
	"net"
	"testing"
	"time"
)

// copyListener returns a copy of the descriptor of a listener, as a child process has one until it runs its program.
func copyListener(t *testing.T, listener net.Listener) {
	file, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
}

// TestListenAgainBesideChildProcess guards against a gate that cannot listen again, and refuses all connections from then on, because
// a child process was being started when it stopped listening.
func TestListenAgainBesideChildProcess(t *testing.T) {
	gate, err := NewGate("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = gate.Close() }()
	go func() {
		for {
			if _, err := gate.Accept(); err != nil {
				return
			}
		}
	}()
	copyListener(t, gate.listener)
	gate.StopListening()
	if conn, err := net.DialTimeout("tcp", gate.Addr().String(), time.Second); err == nil {
		_ = conn.Close()
		t.Error("connected to a gate that does not listen")
	}
	if err := gate.StartListening(); err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialTimeout("tcp", gate.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}

// TestCloseListener guards against a port that a test has looked for and a daemon then cannot listen on.
func TestCloseListener(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	copyListener(t, listener)
	CloseListener(listener)
	again, err := net.Listen("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
