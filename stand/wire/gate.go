package wire

import (
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Gate is a net.Listener that can refuse connections for a while without releasing its port.
//
// A second socket, bound but not listening, reserves the port, so that no outgoing connection can use it as its local port
// while the gate does not listen.
type Gate struct {
	mutex    sync.Mutex
	reserved int // file descriptor of the socket that reserves the port
	address  string
	listener net.Listener  // nil while the gate refuses connections
	changed  chan struct{} // channel that is closed and replaced when the gate starts to listen, and closed by Close
	conns    map[*gateConn]struct{}
	closed   bool
}

type gateConn struct {
	*net.TCPConn
	gate *Gate
}

// NewGate listens on the address, which may have port 0.
func NewGate(address string) (*Gate, error) {
	reserved, bound, err := reservePort(address)
	if err != nil {
		return nil, fmt.Errorf("binding %s: %w", address, err)
	}
	gate := &Gate{reserved: reserved, address: bound, changed: make(chan struct{}), conns: map[*gateConn]struct{}{}}
	if err := gate.StartListening(); err != nil {
		_ = syscall.Close(reserved)
		return nil, err
	}
	return gate, nil
}

// reservePort binds a socket to the address and returns its file descriptor and the bound address.
func reservePort(address string) (int, string, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, "", err
	}
	reserved, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", err
	}
	bind := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bind.Addr[:], tcp.IP.To4())
	_ = syscall.SetsockoptInt(reserved, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err := syscall.Bind(reserved, bind); err != nil {
		_ = syscall.Close(reserved)
		return 0, "", err
	}
	name, err := syscall.Getsockname(reserved)
	if err != nil {
		_ = syscall.Close(reserved)
		return 0, "", err
	}
	bound := name.(*syscall.SockaddrInet4)
	return reserved, (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String(), nil
}

// StartListening accepts connections again; it does nothing on a closed gate or one that listens already.
func (gate *Gate) StartListening() error {
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

// StopListening refuses new connections and keeps the open ones.
func (gate *Gate) StopListening() {
	gate.mutex.Lock()
	defer gate.mutex.Unlock()
	if gate.listener != nil {
		CloseListener(gate.listener)
		gate.listener = nil
	}
}

// CloseListener closes a TCP listener and releases its port at once, so that it can be listened on again.
//
// A child process that is being started has copies of all descriptors until it runs its program, and a copy would go on listening.
func CloseListener(listener net.Listener) {
	if conn, isSyscall := listener.(syscall.Conn); isSyscall {
		if raw, err := conn.SyscallConn(); err == nil {
			_ = raw.Control(func(descriptor uintptr) { _ = syscall.Shutdown(int(descriptor), syscall.SHUT_RDWR) })
		}
	}
	_ = listener.Close()
}

// Reset closes the open connections with a TCP reset.
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

// Accept returns the next connection, waiting also while the gate refuses connections, or net.ErrClosed after Close.
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

// Close stops listening, resets the open connections and releases the port.
func (gate *Gate) Close() error {
	gate.mutex.Lock()
	if gate.closed {
		gate.mutex.Unlock()
		return nil
	}
	gate.closed = true
	close(gate.changed)
	gate.mutex.Unlock()
	gate.StopListening()
	gate.Reset()
	return syscall.Close(gate.reserved)
}

// Addr returns the address, which stays the same while the gate refuses connections.
func (gate *Gate) Addr() net.Addr {
	address, _ := net.ResolveTCPAddr("tcp4", gate.address)
	return address
}

// Close closes the connection and removes it from its gate.
func (conn *gateConn) Close() error {
	conn.gate.mutex.Lock()
	delete(conn.gate.conns, conn)
	conn.gate.mutex.Unlock()
	return conn.TCPConn.Close()
}
