package meter

import (
	"context"
	"net"
	"sync/atomic"
)

// Counter sums bytes; the zero value is ready to use and safe for concurrent use.
type Counter struct {
	read    atomic.Int64
	written atomic.Int64
}

// Read returns the bytes received.
func (counter *Counter) Read() int64 { return counter.read.Load() }

// Written returns the bytes sent.
func (counter *Counter) Written() int64 { return counter.written.Load() }

// Conn counts the bytes of a connection in the counter it was last assigned.
type Conn struct {
	net.Conn
	counter atomic.Pointer[Counter]
}

// Assign moves the connection's further bytes to the counter; nil stops counting.
func (conn *Conn) Assign(counter *Counter) { conn.counter.Store(counter) }

// Read reads and counts.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if counter := conn.counter.Load(); counter != nil {
		counter.read.Add(int64(n))
	}
	return n, err
}

// Write writes and counts.
func (conn *Conn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	if counter := conn.counter.Load(); counter != nil {
		counter.written.Add(int64(n))
	}
	return n, err
}

// Dialer returns a dial function whose connections count in the counter.
func Dialer(dialer *net.Dialer, counter *Counter) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		conn := &Conn{Conn: inner}
		conn.Assign(counter)
		return conn, nil
	}
}

// Listener wraps accepted connections in Conn without a counter; the server assigns one.
type Listener struct {
	net.Listener
}

// Accept waits for a connection.
func (listener Listener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: inner}, nil
}

type connKey struct{}

// ConnContext stores an accepted connection in its context; it fits http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// AssignFromContext assigns the counter to the connection of a request, if it is a Conn.
func AssignFromContext(ctx context.Context, counter *Counter) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.Assign(counter)
	}
}
