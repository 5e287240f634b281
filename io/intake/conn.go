package intake

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// Ranks of connections; lower ones are evicted first.
const (
	unfinished = iota // no whole request has come
	unread            // the caller does not read the response
	idle              // nothing has come since the last response
	stays             // a request is in progress
)

// Conn is a connection of a pool.
type Conn struct {
	net.Conn
	pool   *Pool
	port   *port
	source string // IP address of the caller

	// Guarded by the mutex of the pool.
	since        time.Time     // begin of the present state
	active       bool          // the head of a request is whole
	handled      bool          // a handler has begun since
	rest         bool          // the handler has returned and a part of the body has not come
	used         bool          // a whole request has come before
	requests     int           // in their handlers
	incomplete   int           // requests in their handlers whose bodies are not whole
	head         requestHead   // the present one
	headReceived int64         // bytes since the last response
	afterHead    int64         // bytes since the end of the head
	bodyLength   int64         // bytes of the body behind the head; -1 means unknown
	tail         tail          // of what the server has read last
	buffered     bool          // the server has read the begin of the next head together with a request
	rejected     bool          // its head was too long
	draining     bool          // what comes after the rejection is read
	waited       time.Duration // for the collector, by reads since the last response
	headBytes    int64         // memory of the connection and of a head that is not whole
	unparsed     int64         // part of it that the server has not parsed yet
	bodyBytes    int64         // memory of heads and bodies of requests in progress
	multiplexed  bool          // its requests come over HTTP/2
	bodyReadAt   time.Time     // when bytes of a body last came
	reads        int           // calls of Read in progress
	writes       int           // calls of Write in progress
	writingSince time.Time     // begin of the oldest of them
	ended        bool          // the server has ended its goroutine
	endingHead   int64         // memory of the head, counted as closed until the read in progress returns
	endingBytes  int64         // other memory, counted as closed until the goroutine has ended
}

// rank returns the rank of a connection; the mutex must be held.
func (conn *Conn) rank(now time.Time) int {
	switch {
	case conn.writes > 0 && now.Sub(conn.writingSince) > minStall:
		return unread
	case conn.requests > conn.incomplete:
		return stays
	case conn.requests > 0:
		return unfinished
	case conn.active && conn.handled && !conn.rest && now.Sub(conn.since) <= minStall:
		return stays // its response is being sent
	case conn.active || conn.buffered || conn.headReceived > 0 && !conn.multiplexed || !conn.used: // HTTP/2 sends frames beside requests
		return unfinished
	}
	return idle
}

// isStalled reports whether a body or the reading of a response makes no progress; the mutex must be held.
func (conn *Conn) isStalled(now time.Time) bool {
	return conn.rank(now) == unread || conn.incomplete > 0 && conn.requests == conn.incomplete && now.Sub(conn.bodyReadAt) > minStall
}

// Read reads from the connection. It counts the memory of a head that is not whole before the server parses it, and returns an error when the head is too long, after a
// rejection if the port has a limit of its own, or the connection was evicted.
func (conn *Conn) Read(data []byte) (int, error) {
	pool := conn.pool
	pool.mutex.Lock()
	conn.reads++
	pool.mutex.Unlock()
	count, err := conn.Conn.Read(data)
	pool.mutex.Lock()
	wait := !conn.active && count > 0 && pool.isOver()
	pool.mutex.Unlock()
	if wait {
		pool.awaitBeforeParsing(conn)
	}
	pool.mutex.Lock()
	conn.reads--
	var victims []*Conn
	rejected := false
	if _, found := pool.connections[conn]; found && count > 0 {
		switch {
		case conn.active:
			conn.afterHead += int64(count)
			conn.tail = newTail(data[:count])
		case conn.headReceived <= maxHeadReceived:
			conn.receiveHead(data[:count])
			switch {
			case conn.multiplexed: // HTTP/2 may still get the body of a request that was rejected
			case conn.headReceived > maxHeadReceived:
				count, err = 0, errHeadTooLong
				victims = append(victims, conn)
				pool.removeAll(victims)
			case conn.head.isTooLong():
				conn.rejected, rejected = true, true
			}
			victims = append(victims, pool.shrink()...)
		}
	}
	_, found := pool.connections[conn]
	if !found && !conn.active && err == nil {
		count, err = 0, errEvicted // the server must not parse what has come
	}
	silent := err == errEvicted || !conn.active && conn.head.isPending() && errors.Is(err, os.ErrDeadlineExceeded)
	conn.unparsed = 0
	if conn.reads == 0 {
		pool.endHead(conn)
	}
	pool.mutex.Unlock()
	closeAll(victims)
	if rejected {
		conn.rejectHead()
		return 0, errHeadTooLong
	}
	if silent {
		_ = conn.Conn.Close() // a server takes the begin of a line before an error as a line, and responds with 400, which callers take as final
	}
	return count, err
}

// receiveHead counts bytes that have come before the head was whole; the mutex must be held.
func (conn *Conn) receiveHead(part []byte) {
	pool := conn.pool
	if conn.headReceived == 0 {
		conn.since = pool.clock.Now()
		conn.limitHead()
	}
	conn.head.ended = false // the server expects more of it
	inHead := conn.head.add(part)
	conn.headReceived += int64(len(part))
	conn.unparsed = headMemory(part[:inHead])
	pool.charge(conn, conn.unparsed, true)
	conn.afterHead = int64(len(part) - inHead)
	conn.tail = newTail(part[inHead:])
}

// Write writes to the connection and notes how long it has waited for the caller to read.
func (conn *Conn) Write(data []byte) (int, error) {
	mutex := &conn.pool.mutex
	mutex.Lock()
	if conn.writes++; conn.writes == 1 {
		conn.writingSince = conn.pool.clock.Now()
	}
	mutex.Unlock()
	defer func() {
		mutex.Lock()
		conn.writes--
		mutex.Unlock()
	}()
	return conn.Conn.Write(data)
}

// Close closes the connection, a rejected one after the caller has had time to read the rejection.
func (conn *Conn) Close() error {
	pool := conn.pool
	pool.mutex.Lock()
	_, found := pool.connections[conn]
	drain := conn.rejected && found && !conn.draining
	if drain {
		conn.draining = true
		pool.discardHead(conn)
	} else {
		pool.remove(conn)
	}
	pool.mutex.Unlock()
	if drain {
		conn.drain()
		pool.mutex.Lock()
		pool.remove(conn)
		pool.mutex.Unlock()
	}
	return conn.Conn.Close()
}

// CloseWrite ends what is sent.
func (conn *Conn) CloseWrite() error {
	if half, possible := conn.Conn.(interface{ CloseWrite() error }); possible {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// SetLinger sets what closing does with data that was not sent yet, as for a TCP connection.
func (conn *Conn) SetLinger(seconds int) error {
	if tcp, possible := conn.Conn.(*net.TCPConn); possible {
		return tcp.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// setState applies what the server reports.
func (conn *Conn) setState(state http.ConnState) {
	pool := conn.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		pool.end(conn)
	}
	if _, found := pool.connections[conn]; !found || state != http.StateActive && state != http.StateIdle {
		return
	}
	conn.since = pool.clock.Now()
	conn.active, conn.handled, conn.rest = state == http.StateActive, false, false
	headBytes := conn.headBytes - connectionBytes
	pool.charge(conn, -headBytes, true)
	pool.charge(conn, -conn.bodyBytes, false)
	conn.buffered = false
	if conn.active {
		conn.used, conn.bodyLength = true, -1
		pool.charge(conn, headBytes, false)
	} else if conn.buffered = conn.hasBuffered(); conn.buffered {
		pool.charge(conn, conn.tail.memory, true)
	}
	conn.head, conn.headReceived, conn.waited = requestHead{}, 0, 0
}

// begin notes that a request is in its handler and returns it; the second result is false if there is too little memory for its head.
func (conn *Conn) begin(incoming *http.Request) (*request, bool) {
	pool := conn.pool
	pool.mutex.Lock()
	conn.requests++
	conn.handled = true
	conn.since = pool.clock.Now()
	conn.bodyReadAt = conn.since
	conn.multiplexed = incoming.ProtoMajor > 1
	conn.bodyLength = incoming.ContentLength
	request := &request{conn: conn}
	var victims []*Conn
	if _, found := pool.connections[conn]; found && conn.multiplexed {
		request.bytes = headerMemory(incoming.Header)
		pool.charge(conn, request.bytes, false)
		victims = pool.shrink()
	}
	admitted := pool.reserveLarge(request)
	if incoming.Body != nil && incoming.Body != http.NoBody {
		conn.incomplete++
		request.body = &body{ReadCloser: incoming.Body, request: request}
		incoming.Body = request.body
	}
	pool.mutex.Unlock()
	closeAll(victims)
	return request, admitted
}

// end notes that the handler of a request has returned, and reports whether a part of its body has not been read.
func (conn *Conn) end(request *request) bool {
	pool := conn.pool
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	conn.requests--
	conn.since = pool.clock.Now()
	pool.largeBytes -= request.large
	if _, found := pool.connections[conn]; found {
		freed := min(request.bytes, conn.bodyBytes)
		pool.charge(conn, -freed, false)
	}
	if request.body == nil {
		return false
	}
	conn.rest = !request.body.whole
	request.body.finish()
	return conn.rest
}

// request is a request in its handler.
type request struct {
	conn  *Conn
	body  *body // nil if it has none
	bytes int64 // memory that is free when the handler returns: of the body and, with HTTP/2, of the head
	large int64 // memory of a large head

	trailer *http.Header // of the server's own request; nil if unknown
}

// body is the body of a request, whose bytes count until its handler returns.
type body struct {
	io.ReadCloser
	request *request
	whole   bool
}

// Read reads from the body and counts the bytes.
func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	conn := body.request.conn
	pool := conn.pool
	pool.mutex.Lock()
	var victims []*Conn
	if _, found := pool.connections[conn]; found {
		body.request.bytes += int64(count)
		conn.bodyReadAt = pool.clock.Now()
		pool.charge(conn, int64(count), false)
		victims = pool.shrink()
	}
	if err == io.EOF {
		body.finish()
		if body.request.trailer != nil {
			*body.request.trailer = nil // up to 4 KB of short lines that nothing reads and that are not counted
		}
	}
	pool.mutex.Unlock()
	closeAll(victims)
	return count, err
}

// finish notes that no more of the body is awaited; the mutex must be held.
func (body *body) finish() {
	if !body.whole {
		body.whole = true
		body.request.conn.incomplete--
	}
}
