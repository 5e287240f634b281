package xchg

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	keepAliveIdle     = time.Second     // a stalled connection is detected within 3 s
	keepAliveInterval = time.Second     // between two probes
	keepAliveCount    = 2               // unacknowledged probes that end a connection
	unackedTimeout    = 2 * time.Second // bytes that stay unacknowledged for this time end the connection

	// The limits of the kernel on connections to targets come after those of an exchange, which resets the connection: one
	// that the kernel ends may still deliver its request later.
	targetKeepAliveIdle  = 10 * time.Second
	targetUnackedTimeout = 10 * time.Second

	// silenceTimeout takes the place of targetUnackedTimeout while a target works on a request: TCP_USER_TIMEOUT also decides when
	// keep-alive probes give up, whatever their count.
	silenceTimeout = keepAliveIdle + keepAliveCount*keepAliveInterval
)

// Dialer returns a dialer whose connections fail within 3 s when the other side stops responding.
func Dialer(timeout time.Duration) *net.Dialer {
	return dialer(timeout, keepAliveIdle, unackedTimeout)
}

// targetDialer dials targets.
var targetDialer = dialer(dialTimeout, targetKeepAliveIdle, targetUnackedTimeout)

func dialTarget(ctx context.Context, address string) (*net.TCPConn, error) {
	opened, err := targetDialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return opened.(*net.TCPConn), nil
}

func dialer(timeout, idle, unacked time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: keepAlive(idle),
		Control:         func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, unacked) },
	}
}

func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// setTimeouts replaces the limits of the kernel on an open connection; one that has ended keeps its own.
func setTimeouts(conn *net.TCPConn, idle, unacked time.Duration) {
	_ = conn.SetKeepAliveConfig(keepAlive(idle))
	if raw, err := conn.SyscallConn(); err == nil {
		_ = setUserTimeout(raw, unacked)
	}
}

func keepAlive(idle time.Duration) net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: idle, Interval: keepAliveInterval, Count: keepAliveCount}
}

// hasPendingInput reports whether bytes or an end of file wait to be read; a connection that is idle must have neither.
func hasPendingInput(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	pending := true
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN
		return true
	})
	return pending || err != nil
}
