package target

import (
	"context"
	"errors"
	"net"
	"sync"
)

var errRetired = errors.New("connection was closed before use")

// conn asks the call that uses it immediately before the call's first byte is written.
//
// net/http has no hook at this place that can refuse: after GotConn the transport's writer may already be running.
// On HTTP/2 connections, which calls share, no gate is set.
type conn struct {
	net.Conn
	client  *Client
	address string

	mutex   sync.Mutex
	gate    func() error // nil once it has been asked
	user    *exchange    // nil while idle
	retired bool
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

// Write asks the gate before the first byte of a call.
func (conn *conn) Write(data []byte) (int, error) {
	conn.mutex.Lock()
	gate := conn.gate
	conn.gate = nil
	conn.mutex.Unlock()
	if gate != nil {
		if err := gate(); err != nil {
			return 0, err
		}
	}
	return conn.Conn.Write(data)
}

// Close forgets the connection.
func (conn *conn) Close() error {
	conn.client.forget(conn)
	return conn.Conn.Close()
}

func (conn *conn) begin(user *exchange) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	conn.user, conn.gate = user, user.beforeSend
	if conn.retired {
		conn.gate = func() error { return errRetired }
	}
}

// end marks the connection as idle unless the next call has it already: net/http reports a connection as idle
// only after it has offered it to other calls.
func (conn *conn) end(user *exchange) {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.user == user {
		conn.user, conn.gate = nil, nil
	}
}

// retire marks an idle connection as unusable; it reports false when a call uses the connection.
func (conn *conn) retire() bool {
	conn.mutex.Lock()
	defer conn.mutex.Unlock()
	if conn.user != nil {
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

func (client *Client) forget(closed *conn) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	conns := client.conns[closed.address]
	delete(conns, closed)
	if len(conns) == 0 {
		delete(client.conns, closed.address)
	}
}

// closeIdle closes the idle connections to an address, as one that went silent is rarely the only one.
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
