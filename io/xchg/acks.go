package xchg

import (
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// ackCheckInterval is the time between two looks at the bytes that a target has not acknowledged; an exchange fails after two
// without progress.
const ackCheckInterval = 900 * time.Millisecond

// errUnacknowledged reports that the target's host acknowledges nothing, as behind a partition.
var errUnacknowledged = errors.New("the target's host does not acknowledge the request")

// sendQueue is the state of the bytes that were written to a connection.
type sendQueue struct {
	unacknowledged bool // some were sent and not acknowledged
	bytes          int  // not acknowledged or not sent yet
}

// readSendQueue returns the state of a connection's send queue; the zero state if the system does not tell.
func readSendQueue(conn *net.TCPConn) sendQueue {
	var queue sendQueue
	raw, err := conn.SyscallConn()
	if err != nil {
		return queue
	}
	_ = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		bytes, queueErr := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		if infoErr == nil && queueErr == nil {
			queue = sendQueue{unacknowledged: info.Unacked > 0, bytes: bytes}
		}
	})
	return queue
}

// watchAcks resets the connection when the target's host acknowledges nothing for two intervals; the returned function ends
// the watch.
//
// The kernel's own limit ends a connection without a reset, and a request that a partition holds up would reach the target
// when the partition ends, seconds after its caller was told that it has failed.
func (exchange *exchange) watchAcks() (stop func()) {
	done := make(chan struct{})
	timer := time.AfterFunc(ackCheckInterval, func() {
		ticker := time.NewTicker(ackCheckInterval)
		defer ticker.Stop()
		for before := exchange.readQueue(); ; {
			select {
			case <-ticker.C:
			case <-done:
				return
			}
			queue := exchange.readQueue()
			switch {
			case queue.unacknowledged && queue == before:
				exchange.unacknowledged.Store(true)
				exchange.abort()
				return
			case queue.bytes == 0:
				exchange.conn.detectSilence() // the target has the whole request and works on it
				return
			}
			before = queue
		}
	})
	return func() {
		timer.Stop()
		close(done)
	}
}

// detectSilence lets the kernel end the connection within 3 s when the target's host stops responding, which is safe once it
// has the whole request.
func (conn *conn) detectSilence() {
	if !conn.detectsSilence.Swap(true) {
		setTimeouts(conn.net, keepAliveIdle, silenceTimeout)
	}
}

// tolerateSilence undoes detectSilence before the connection carries another request.
func (conn *conn) tolerateSilence() {
	if conn.detectsSilence.Swap(false) {
		setTimeouts(conn.net, targetKeepAliveIdle, targetUnackedTimeout)
	}
}

func (exchange *exchange) readQueue() sendQueue {
	if read := exchange.client.readSendQueue; read != nil {
		return read(exchange.conn.net)
	}
	return readSendQueue(exchange.conn.net)
}
