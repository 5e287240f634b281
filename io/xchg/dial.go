package xchg

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle  = time.Second     // a connection that was cut silently is found within 3 s
	keepAliveEvery = time.Second     // between two probes
	keepAliveCount = 2               // probes without an answer that end a connection
	unackedTimeout = 2 * time.Second // sent bytes that stay unacknowledged this long end the connection
)

// Dialer returns a dialer whose connections end within seconds when the other side has gone silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveEvery, Count: keepAliveCount},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

// readable reports whether bytes or the end of the connection wait to be read: nothing may come while it is idle.
func readable(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	waiting := true
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		waiting = err != unix.EAGAIN
		return true
	})
	return waiting || err != nil
}
