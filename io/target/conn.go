package target

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errRetired = errors.New("connection was closed before use")

// conn runs the beforeSend check of the call that uses it immediately before the call's first byte is written.
//
// net/http has no hook that can stop a request at this point: after GotConn the transport's writer may already be running.
// On HTTP/2 connections, which calls share, beforeWrite is not set.
type conn struct {
	net.Conn
	client  *Client
	address string

	mutex       sync.Mutex
	beforeWrite func() error // nil once it has been called
	exchange    *exchange    // nil while idle
	retired     bool
}

func (client *Client) dialWith(dialer *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		inner, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		opened := &conn{Conn: inner, client: client, address: address}
		client.track(opened)
		return opened, nil
	}
}

// Write calls beforeWrite before the first byte of a call and writes nothing when it returns an error.
func (conn *conn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	beforeWrite := conn.beforeWrite
	conn.beforeWrite = nil
	conn.mutex.Unlock()
	if beforeWrite != nil {
		if err := beforeWrite(); err != nil {
			return 0, err
		}
	}
	return conn.Conn.Write(data)
}

// Close removes the connection from the client and closes it.
func (conn *conn) Close() error {
	conn.client.untrack(conn)
	return conn.Conn.Close()
}

func (conn *conn) attach(exchange *exchange) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.exchange, conn.beforeWrite = exchange, exchange.beforeSend
	if conn.retired {
		conn.beforeWrite = func() error { return errRetired }
	}
}

// detach marks the connection as idle unless the next call uses it already: net/http reports a connection as idle only
// after it has offered it to other calls.
func (conn *conn) detach(exchange *exchange) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.exchange == exchange {
		conn.exchange, conn.beforeWrite = nil, nil
	}
}

// retire marks an idle connection as unusable; it returns false when a call uses the connection.
func (conn *conn) retire() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.exchange != nil {
		return false
	}
	conn.retired = true
	return true
}

func (client *Client) track(opened *conn) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	conns := client.conns[opened.address]
	if conns == nil {
		conns = make(map[*conn]struct{})
		client.conns[opened.address] = conns
	}
	conns[opened] = struct{}{}
}

func (client *Client) untrack(closed *conn) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	conns := client.conns[closed.address]
	delete(conns, closed)
	if len(conns) == 0 {
		delete(client.conns, closed.address)
	}
}

// closeIdle closes the idle connections to an address, as a stalled connection is rarely the only one.
//
// HTTP/2 connections are left to their pings, because other calls may be running on them.
func (client *Client) closeIdle(address string) {
	if client.HTTP2 {
		return
	}
	client.mutex.Lock()
	idle := make([]*conn, 0, len(client.conns[address]))
	for candidate := range client.conns[address] {
		if candidate.retire() {
			idle = append(idle, candidate)
		}
	}
	client.mutex.Unlock()
	for _, retired := range idle {
		_ = retired.Close()
	}
}
