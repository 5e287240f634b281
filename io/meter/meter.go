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

// BytesRead returns the bytes received.
func (counter *Counter) BytesRead() int64 { return counter.read.Load() }

// BytesWritten returns the bytes sent.
func (counter *Counter) BytesWritten() int64 { return counter.written.Load() }

// Conn is a connection that adds its bytes to the counter assigned last.
type Conn struct {
	net.Conn
	counter atomic.Pointer[Counter]
}

// Assign makes the connection add all further bytes to the counter; nil stops counting.
func (conn *Conn) Assign(counter *Counter) { conn.counter.Store(counter) }

// NetConn returns the connection whose bytes are counted.
func (conn *Conn) NetConn() net.Conn { return conn.Conn }

// Read reads from the connection and counts the bytes received.
func (conn *Conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	if counter := conn.counter.Load(); counter != nil {
		counter.read.Add(int64(n))
	}
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (conn *Conn) Write(buffer []byte) (int, error) {
	n, err := conn.Conn.Write(buffer)
	if counter := conn.counter.Load(); counter != nil {
		counter.written.Add(int64(n))
	}
	return n, err
}

// Dialer returns a dial function whose connections add their bytes to the counter; it returns the errors of dialer.
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

// Listener wraps accepted connections in a Conn without a counter; AssignFromContext assigns one per request.
type Listener struct {
	net.Listener
}

// Accept waits for a connection and returns it as a *Conn.
func (listener Listener) Accept() (net.Conn, error) {
	inner, err := listener.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: inner}, nil
}

type connKey struct{}

// ConnContext returns ctx with the accepted connection; it is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// AssignFromContext assigns the counter to the connection that ConnContext stored, if it is a *Conn.
func AssignFromContext(ctx context.Context, counter *Counter) {
	if conn, ok := ctx.Value(connKey{}).(*Conn); ok {
		conn.Assign(counter)
	}
}
