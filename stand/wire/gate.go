package wire

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Gate is a listener that can refuse connections for a while without giving up its port.
//
// A bound socket that does not listen keeps the port, so no outgoing connection can take it while the gate is down.
type Gate struct {
	mutex    sync.Mutex
	hold     int
	address  string
	listener net.Listener // nil while down
	changed  chan struct{}
	conns    map[*gateConn]struct{}
	closed   bool
}

type gateConn struct {
	*net.TCPConn
	gate *Gate
}

// NewGate listens on the address, which may have port 0.
func NewGate(address string) (*Gate, error) {
	hold, bound, err := holdPort(address)
	if err != nil {
		return nil, fmt.Errorf("binding %s: %w", address, err)
	}
	gate := &Gate{hold: hold, address: bound, changed: make(chan struct{}), conns: map[*gateConn]struct{}{}}
	if err := gate.Raise(); err != nil {
		_ = syscall.Close(hold)
		return nil, err
	}
	return gate, nil
}

func holdPort(address string) (int, string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, "", err
	}
	hold, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", err
	}
	bind := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bind.Addr[:], tcp.IP.To4())
	_ = syscall.SetsockoptInt(hold, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(hold, bind); err != nil {
		_ = syscall.Close(hold)
		return 0, "", err
	}
	name, err := syscall.Getsockname(hold)
	if err != nil {
		_ = syscall.Close(hold)
		return 0, "", err
	}
	bound := name.(*syscall.SockaddrInet4)
	return hold, (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String(), nil
}

// Raise listens again; it does nothing on a closed or listening gate.
func (gate *Gate) Raise() error {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.closed || gate.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp4", gate.address)
	if err != nil {
		return err
	}
	gate.listener = listener
	close(gate.changed)
	gate.changed = make(chan struct{})
	return nil
}

// Lower refuses new connections and keeps the open ones.
func (gate *Gate) Lower() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.listener != nil {
		_ = gate.listener.Close()
		gate.listener = nil
	}
}

// Reset ends the open connections with a TCP reset.
func (gate *Gate) Reset() {
	gate.mutex.Lock()
	conns := make([]*gateConn, 0, len(gate.conns))
	for conn := range gate.conns {
		conns = append(conns, conn)
	}
	gate.mutex.Unlock()
	for _, conn := range conns {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
}

// Accept waits while the gate is down.
func (gate *Gate) Accept() (net.Conn, error) {
	for {
		gate.mutex.Lock()
		listener, changed, closed := gate.listener, gate.changed, gate.closed
		gate.mutex.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		if listener == nil {
			<-changed
			continue
		}
		if conn, err := listener.Accept(); err == nil {
			return gate.track(conn.(*net.TCPConn), listener), nil
		}
	}
}

func (gate *Gate) track(conn *net.TCPConn, listener net.Listener) net.Conn {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	tracked := &gateConn{TCPConn: conn, gate: gate}
	gate.conns[tracked] = struct{}{}
	if gate.listener != listener {
		_ = conn.Close()
	}
	return tracked
}

// Close ends the gate and gives up the port.
func (gate *Gate) Close() error {
	gate.mutex.Lock()
	if gate.closed {
		gate.mutex.Unlock()
		return nil
	}
	gate.closed = true
	close(gate.changed)
	gate.mutex.Unlock()
	gate.Lower()
	gate.Reset()
	return syscall.Close(gate.hold)
}

// Addr returns the address, which stays the same while the gate is down.
func (gate *Gate) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp4", gate.address)
	return address
}

// Close ends the connection.
func (conn *gateConn) Close() error {
	conn.gate.mutex.Lock()
	delete(conn.gate.conns, conn)
	conn.gate.mutex.Unlock()
	return conn.TCPConn.Close()
}
