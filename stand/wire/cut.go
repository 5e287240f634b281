package wire

import (
	"net"
	"sync/atomic"
	"time"
)

// CutListener is a net.Listener for TCP whose connections end after a number of bytes has been written to them.
type CutListener struct {
	net.Listener
	Limit   atomic.Int64 // bytes; 0 means no limit
	Reset   atomic.Bool  // ends the connections with a reset
	Written atomic.Int64 // bytes written to all connections
}

// resetDelay is how long the other side has to read what was written before a reset discards it.
const resetDelay = 2 * time.Millisecond

// Accept returns the next connection, with the limit that is set then.
func (listener *CutListener) Accept() (net.Conn, error) {
	conn, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, listener: listener, limit: listener.Limit.Load()}, nil
}

type cutConn struct {
	net.Conn
	listener *CutListener
	limit    int64
	written  atomic.Int64
}

// Write writes up to the limit, ends the connection there and returns net.ErrClosed.
func (conn *cutConn) Write(data []byte) (int, error) {
	written := conn.written.Add(int64(len(data)))
	conn.listener.Written.Add(int64(len(data)))
	if conn.limit <= 0 || written <= conn.limit {
		return conn.Conn.Write(data)
	}
	if left := conn.limit - (written - int64(len(data))); left > 0 {
		_, _ = conn.Conn.Write(data[:left])
	}
	if conn.listener.Reset.Load() {
		time.Sleep(resetDelay)
		_ = conn.Conn.(*net.TCPConn).SetLinger(0)
	}
	_ = conn.Close()
	return 0, net.ErrClosed
}
