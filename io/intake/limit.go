package intake

import (
	"io"
	"time"
)

const (
	headSlack        = 4 << 10                // bytes of a head beyond its limit, as net/http allows them for a request line
	rejectionTimeout = 500 * time.Millisecond // limit on reading on after a rejection, so that a caller that still sends gets it
	maxDrained       = 256 << 10              // bytes that are read on
)

// tooLong is sent when a head exceeds the limit of its port.
const tooLong = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// HeadLimits bounds the heads of requests at a port; fields that are zero have the defaults of the server.
type HeadLimits struct {
	Bytes   int           // at most DefaultHeadBytes
	Timeout time.Duration // from the first byte of a head to its last
}

// isTooLong reports whether the head exceeds the limit of its port.
func (head *requestHead) isTooLong() bool {
	return head.limits.Bytes > 0 && head.bytes > int64(min(head.limits.Bytes, DefaultHeadBytes))+headSlack
}

// isPending reports whether a part of a head has come.
func (head *requestHead) isPending() bool { return head.bytes > 0 && !head.ended }

// limitHead applies the limits of the port to a head that begins; the mutex must be held.
func (conn *Conn) limitHead() {
	if conn.port.headLimits == nil {
		return
	}
	conn.head.limits = conn.port.headLimits()
	if timeout := conn.head.limits.Timeout; timeout > 0 {
		conn.head.deadline = conn.since.Add(timeout)
		_ = conn.Conn.SetReadDeadline(conn.head.deadline) // fails only if the connection is closed
	}
}

// SetReadDeadline sets the time limit on reads; while a head comes at a port that limits the time for it, that limit stays.
func (conn *Conn) SetReadDeadline(deadline time.Time) error {
	conn.pool.mutex.Lock()
	if !conn.active && conn.head.isPending() && !conn.head.deadline.IsZero() {
		deadline = conn.head.deadline
	}
	conn.pool.mutex.Unlock()
	return conn.Conn.SetReadDeadline(deadline)
}

// rejectHead sends the rejection of a head that is too long, and makes it the last that is sent: the server responds with 400 to an error in a head.
func (conn *Conn) rejectHead() {
	_ = conn.Conn.SetWriteDeadline(conn.pool.clock.Now().Add(rejectionTimeout))
	_, _ = conn.Conn.Write([]byte(tooLong))
	_ = conn.CloseWrite() // fails only if the connection is closed
}

// drain reads what the caller still sends after a rejection, for a short time: closing a connection with unread bytes resets it, and the rejection is lost.
func (conn *Conn) drain() {
	_ = conn.Conn.SetReadDeadline(conn.pool.clock.Now().Add(rejectionTimeout))
	_, _ = io.CopyBuffer(io.Discard, io.LimitReader(readerOnly{conn.Conn}, maxDrained), make([]byte, 4<<10))
}

// readerOnly hides the other methods of a connection, so that a copy uses its buffer.
type readerOnly struct{ io.Reader }
