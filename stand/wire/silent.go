package wire

import (
	"net"
	"syscall"
	"time"
)

// SilentPort is an address at which new connections hang, as behind a partition: its queue of connections is full and nobody accepts.
type SilentPort struct {
	descriptor int
	fillers    []net.Conn
}

// maxFillers bounds the connections that fill the queue; the kernel admits one or two for a queue of length 0.
const maxFillers = 8

// ListenSilently occupies an IP:port.
func ListenSilently(address string) (*SilentPort, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	port := &SilentPort{descriptor: descriptor}
	bind := &syscall.SockaddrInet4{Port: tcp.Port}
	copy(bind.Addr[:], tcp.IP.To4())
	_ = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err = syscall.Bind(descriptor, bind); err == nil {
		err = syscall.Listen(descriptor, 0)
	}
	if err != nil {
		port.Close()
		return nil, err
	}
	for range maxFillers {
		filler, err := net.DialTimeout("tcp4", address, 20*time.Millisecond)
		if err != nil {
			break
		}
		port.fillers = append(port.fillers, filler)
	}
	return port, nil
}

// Close releases the address; the connections that hang are reset.
func (port *SilentPort) Close() {
	for _, filler := range port.fillers {
		_ = filler.Close()
	}
	_ = syscall.Shutdown(port.descriptor, syscall.SHUT_RDWR)
	_ = syscall.Close(port.descriptor)
}
