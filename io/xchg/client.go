package xchg

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
)

// MaxHeadBytes limits a response's header, with the interim responses before it.
const MaxHeadBytes = 64 << 10

const (
	readBufferBytes    = 4 << 10                // most response headers fit
	dialTimeout        = time.Second            // equals the connect timeout of callers
	defaultIdleTimeout = 4 * time.Second        // for targets that send no Keep-Alive header
	idleMargin         = 500 * time.Millisecond // connections are closed this long before the target would close them
	maxStaleResponses  = 3                      // responses to earlier requests on one connection that fail an exchange
	maxStaleBytes      = 1 << 20                // limit on the body of a response to an earlier request
	maxInlineBody      = 8 << 10                // bytes; longer bodies are written while the response is read
	maxIdleConns       = 16                     // per target
	maxFailedAttempts  = 64                     // attempts without success that a connection remembers; after more it is closed
)

// Request is one exchange with a target.
type Request struct {
	Address string // IP:port
	Method  string
	URI     string // path and query as received from the caller
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool // sends Content-Length even when the body is empty
	// Sending is called when the connection is open and before the first byte is written; nil is skipped.
	Sending func()
	// Attempt identifies the request to Match and may be empty. A request is not sent over a connection on which a request of the same attempt got no
	// success: a second copy of that response could not be told from the response to this one.
	Attempt string
	// Fresh sends the request on a new connection, on which nothing else can be taken for its response.
	Fresh bool
	// Single sends the request on a new connection that carries no other, for requests whose responses nothing identifies.
	Single bool
	// Purpose separates connections: one is reused only for requests of the same purpose.
	Purpose string
	// MaxIdle limits the time for which the connection is kept for another request; 0 stands for no limit but that of the target.
	MaxIdle time.Duration
	// Match reports whether the status and headers of a response belong to the attempt; nil accepts any response.
	Match func(response *http.Response) bool
	// MatchBody is Match for responses that only their body identifies: the body is read first, up to MaxBody bytes.
	MatchBody func(response *http.Response, body []byte) bool
	MaxBody   int64
	// Trace receives what is known of the exchange and may be read once Do has returned; nil is skipped.
	Trace *Trace
}

// Trace says over which connection a request was sent and what came there before its response.
type Trace struct {
	Connection int64 // number of the connection in the order in which the client opened them; 0 if none was open
	Earlier    int   // requests that the connection had carried before
	Skipped    int   // responses that belong to other requests
}

// connKey identifies the connections that a request may use.
type connKey struct{ address, purpose string }

func (request Request) connKey() connKey { return connKey{request.Address, request.Purpose} }

// Error is a failed exchange.
type Error struct {
	Sent  bool // at least one byte may have been written, so that the request may have run
	Cause error
}

// Error returns the cause and whether the request was sent.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("after sending: %v", e.Cause)
	}
	return fmt.Sprintf("before sending: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Sent reports whether the request of the failed exchange may have reached the target.
func Sent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// errMismatchedResponse reports that the target sent only responses to other requests.
var errMismatchedResponse = errors.New("target sent no response to this request")

// errEndedEarly reports that the connection of a response without a length was closed while the request was being sent, so that its end may not be that
// of the response.
var errEndedEarly = errors.New("the connection ended before the request was sent")

// writtenTimeout is the time within which the writing of a request that its target has read is noticed.
const writtenTimeout = 100 * time.Millisecond

// errInvalidStatus reports a status below 100: the bytes are no response, nor is what follows them.
var errInvalidStatus = errors.New("the status of the response is invalid")

// IsForeign reports whether an exchange failed because of responses that do not belong to it: the target works, and the request is not the cause.
func IsForeign(err error) bool {
	return errors.Is(err, errMismatchedResponse) || errors.Is(err, errJoinedHeads) || errors.Is(err, errInvalidStatus)
}

// Client is an HTTP/1.1 client with a pool of connections per target; Clock must be set.
type Client struct {
	Clock core.Clock
	// Dial opens a connection to an address; nil stands for one with the limits of this package.
	Dial func(ctx context.Context, address string) (*net.TCPConn, error)

	mutex   sync.Mutex
	idle    map[connKey][]*conn
	opened  atomic.Int64
	skipped atomic.Int64

	readSendQueue func(conn *net.TCPConn) sendQueue // replaced by tests; nil stands for the system's
}

type conn struct {
	net      *net.TCPConn
	input    *boundedReader
	reader   *bufio.Reader // reads from input
	closesAt time.Time     // the time when the target may close it
	unusable atomic.Bool   // must not be reused
	number   int64         // of the connections that the client has opened
	carried  int           // requests sent so far
	failed   []uint64      // hashes of the attempts whose responses on it were no success

	detectsSilence atomic.Bool // the kernel's probes begin early
}

// rememberFailed records an attempt whose response was no success. Callers choose the IDs, which may be long.
func (conn *conn) rememberFailed(attempt string) {
	if len(conn.failed) == maxFailedAttempts {
		conn.unusable.Store(true)
		return
	}
	conn.failed = append(conn.failed, xxhash.Sum64String(attempt))
}

// mayCarry reports whether no response on the connection could be taken for the one to the attempt.
func (conn *conn) mayCarry(attempt string) bool {
	return attempt == "" || len(conn.failed) == 0 || !slices.Contains(conn.failed, xxhash.Sum64String(attempt))
}

// Opened returns how many connections have been opened.
func (client *Client) Opened() int64 { return client.opened.Load() }

// Skipped returns how many responses were not returned because they belong to other requests.
func (client *Client) Skipped() int64 { return client.skipped.Load() }

// Do sends the request and returns when the status and headers of its response have arrived; errors are of type *Error.
//
// The response's body must be closed. When ctx ends, the connection is closed, also while the body is read.
func (client *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &Error{Cause: err} // a kept connection would carry the request before the end of ctx closes it
	}
	conn, err := client.connect(ctx, request)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	if request.Trace == nil {
		request.Trace = &Trace{}
	}
	*request.Trace = Trace{Connection: conn.number, Earlier: conn.carried}
	conn.carried++
	if request.Single {
		conn.unusable.Store(true)
	}
	exchange := &exchange{client: client, key: request.connKey(), maxIdle: request.MaxIdle, conn: conn, written: make(chan error, 1)}
	exchange.stopAbort = context.AfterFunc(ctx, exchange.abort)
	response, err := exchange.run(request)
	if err != nil {
		// A request that a partition holds up would otherwise reach the target when the partition ends.
		_ = conn.net.SetLinger(0)
		exchange.finish(false)
		switch {
		case ctx.Err() != nil:
			err = ctx.Err()
		case exchange.unacknowledged.Load():
			err = errUnacknowledged
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	return response, nil
}

func (client *Client) connect(ctx context.Context, request Request) (*conn, error) {
	if !request.Fresh && !request.Single {
		if idle := client.takeIdle(request.connKey(), request.Attempt); idle != nil {
			return idle, nil
		}
	}
	dial := client.Dial
	if dial == nil {
		dial = dialTarget
	}
	opened, err := dial(ctx, request.Address)
	if err != nil {
		awaitDeadline(ctx)
		return nil, err
	}
	input := &boundedReader{source: opened}
	return &conn{net: opened, input: input, reader: bufio.NewReaderSize(input, readBufferBytes), number: client.opened.Add(1)}, nil
}

// awaitDeadline returns when a context whose deadline has passed has ended. A dial fails at the deadline, which its caller would take for a
// failure of the address as long as the context has no error.
func awaitDeadline(ctx context.Context) {
	if deadline, found := ctx.Deadline(); found && !time.Now().Before(deadline) {
		<-ctx.Done()
	}
}

// takeIdle returns the connection that became idle last, of those that may carry the attempt; nil if there is none.
func (client *Client) takeIdle(key connKey, attempt string) *conn {
	now := client.Clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for i := len(client.idle[key]) - 1; i >= 0; i-- {
		candidate := client.idle[key][i]
		if !candidate.mayCarry(attempt) {
			continue
		}
		client.idle[key] = slices.Delete(client.idle[key], i, i+1)
		if now.Before(candidate.closesAt) && !hasPendingInput(candidate.net) {
			return candidate
		}
		_ = candidate.net.Close()
	}
	return nil
}

func (client *Client) putIdle(key connKey, freed *conn) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.idle == nil {
		client.idle = map[connKey][]*conn{}
	}
	if len(client.idle[key]) >= maxIdleConns {
		_ = freed.net.Close()
		return
	}
	client.idle[key] = append(client.idle[key], freed)
}

// Sweep closes connections that have been idle for too long, and all idle connections to addresses that are not live.
func (client *Client) Sweep(live func(address string) bool) {
	now := client.Clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for key, idle := range client.idle {
		remaining := idle[:0]
		for _, conn := range idle {
			if live(key.address) && now.Before(conn.closesAt) {
				remaining = append(remaining, conn)
			} else {
				_ = conn.net.Close()
			}
		}
		if len(remaining) == 0 {
			delete(client.idle, key)
		} else {
			client.idle[key] = remaining
		}
	}
}

// CloseIdle closes the idle connections to an address, as a failed connection is rarely the only one.
func (client *Client) CloseIdle(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for key, idle := range client.idle {
		if key.address != address {
			continue
		}
		for _, conn := range idle {
			_ = conn.net.Close()
		}
		delete(client.idle, key)
	}
}

// exchange is one request and its response on one connection.
type exchange struct {
	client    *Client
	key       connKey
	maxIdle   time.Duration
	conn      *conn
	stopAbort func() bool
	written   chan error
	ended     atomic.Bool

	unacknowledged atomic.Bool // the exchange was aborted because its request was not acknowledged
}

func (exchange *exchange) abort() {
	exchange.conn.unusable.Store(true)
	_ = exchange.conn.net.SetLinger(0) // a reset tells the target at once that the response is not read
	_ = exchange.conn.net.Close()
}

func (exchange *exchange) run(request Request) (*http.Response, error) {
	head := encodeHead(request)
	if request.Sending != nil {
		request.Sending()
	}
	if len(request.Body) <= maxInlineBody {
		_, err := exchange.conn.net.Write(append(head, request.Body...))
		exchange.written <- err
		if err != nil {
			return nil, err
		}
	} else {
		go func() {
			buffers := net.Buffers{head, request.Body}
			_, err := buffers.WriteTo(exchange.conn.net)
			exchange.written <- err
		}()
	}
	defer exchange.watchAcks()()
	input := exchange.conn.input
	input.limit(MaxHeadBytes)
	for range maxStaleResponses {
		response, err := exchange.readResponse(request)
		if err != nil {
			return nil, err
		}
		matches := request.Match == nil || request.Match(response)
		if matches {
			input.unlimit()
			if request.Attempt != "" && response.StatusCode >= http.StatusMultipleChoices {
				exchange.conn.rememberFailed(request.Attempt)
			}
			if response.ContentLength < 0 {
				exchange.conn.detectSilence() // a stream may last
			}
			response.Body = &body{ReadCloser: response.Body, exchange: exchange, response: response}
			if request.MatchBody == nil {
				return response, nil
			}
			content, err := io.ReadAll(io.LimitReader(response.Body, request.MaxBody+1))
			if err != nil {
				return nil, err
			}
			response.Body = replayed{bytes.NewReader(content), response.Body}
			if request.MatchBody(response, content) {
				return response, nil
			}
		}
		// A stale response to an earlier request on this connection; the next response may belong to this request.
		request.Trace.Skipped++
		exchange.client.skipped.Add(1)
		exchange.conn.unusable.Store(true)
		input.limit(maxStaleBytes)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
		input.limit(MaxHeadBytes)
	}
	return nil, errMismatchedResponse
}

func (exchange *exchange) readResponse(request Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(exchange.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if HeadIsJoined(response) {
			return nil, errJoinedHeads
		}
		if response.StatusCode < http.StatusContinue {
			return nil, errInvalidStatus
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// isWritten reports whether the whole request is written and the target's host has acknowledged it; it waits for a short time, as the end of a response may be read before that of the request is noticed.
func (exchange *exchange) isWritten() bool {
	select {
	case err := <-exchange.written:
		exchange.written <- err
		return err == nil && exchange.readQueue().bytes == 0
	case <-exchange.client.Clock.After(writtenTimeout):
		return false
	}
}

func (exchange *exchange) finish(reusable bool) {
	if exchange.ended.Swap(true) {
		return
	}
	stopped := exchange.stopAbort()
	conn := exchange.conn
	select {
	case err := <-exchange.written:
		reusable = reusable && err == nil
	default:
		reusable = false // the target responded before it had read the whole body
	}
	if !stopped || !reusable || conn.unusable.Load() || conn.reader.Buffered() > 0 {
		_ = conn.net.Close()
		return
	}
	conn.tolerateSilence()
	exchange.client.putIdle(exchange.key, conn)
}

// replayed is a response body that has been read before.
type replayed struct {
	io.Reader
	io.Closer
}

// body is a response body that returns its connection to the pool when it is closed after it was read to its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
	atEnd    bool
	failed   bool
}

func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	if err == io.EOF && !body.isDelimited() && !body.exchange.isWritten() {
		err = errEndedEarly
	}
	switch {
	case err == io.EOF:
		body.atEnd = true
	case err != nil:
		body.failed = true
	}
	return count, err
}

// isDelimited reports whether the end of the body can be told from that of its connection.
func (body *body) isDelimited() bool {
	return body.response.ContentLength >= 0 || len(body.response.TransferEncoding) > 0
}

func (body *body) Close() error {
	response := body.response
	reusable := body.atEnd && !body.failed && body.isDelimited() && !response.Close
	idleTimeout := defaultIdleTimeout
	if timeout, found := statedIdleTimeout(response.Header); found {
		idleTimeout = timeout
	}
	idleTimeout -= idleMargin
	if limit := body.exchange.maxIdle; limit > 0 {
		idleTimeout = min(idleTimeout, limit)
	}
	body.exchange.conn.closesAt = body.exchange.client.Clock.Now().Add(idleTimeout)
	if !body.atEnd && !body.exchange.ended.Load() {
		_ = body.exchange.conn.net.SetLinger(0)
	}
	body.exchange.finish(reusable)
	return nil
}

// statedIdleTimeout returns the idle timeout from the target's Keep-Alive header, and whether the header has one.
func statedIdleTimeout(header http.Header) (time.Duration, bool) {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		if text, found := strings.CutPrefix(strings.TrimSpace(part), "timeout="); found {
			if seconds, err := strconv.Atoi(text); err == nil {
				return time.Duration(seconds) * time.Second, true
			}
		}
	}
	return 0, false
}

func encodeHead(request Request) []byte {
	var head bytes.Buffer
	head.Grow(1 << 10)
	head.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	if len(request.Body) > 0 || request.HasBody {
		head.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	_ = request.Header.WriteSubset(&head, map[string]bool{"Host": true, "Content-Length": true})
	head.WriteString("\r\n")
	return head.Bytes()
}
