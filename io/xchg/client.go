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
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core"
)

const (
	bufferBytes  = 4 << 10                // for reading; most heads of responses fit
	dialTimeout  = time.Second            // callers allow a new connection the same
	defaultIdle  = 4 * time.Second        // for targets that state no Keep-Alive
	idleMargin   = 500 * time.Millisecond // connections are dropped this long before the target would close them
	maxStray     = 3                      // late answers of earlier requests that are skipped on one connection
	inlineBody   = 8 << 10                // bytes written before reading; longer bodies are written beside it
	maxIdleConns = 16                     // kept for each target
)

// Request is one exchange with a target.
type Request struct {
	Address string // IP:port
	Method  string
	URI     string // path and query as the caller sent them
	Host    string
	Header  http.Header
	Body    []byte
	HasBody bool   // send a length even when the body is empty
	Attempt string // the answer must be for this attempt, as Match says
	// Match reports whether the head of a response belongs to the attempt; nil accepts any.
	Match func(response *http.Response) bool
}

// Error is a failed exchange.
type Error struct {
	Sent  bool // a byte was written, so that the request may have run
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

// ErrNotAnswer reports bytes that are no response, or responses to other requests.
var ErrNotAnswer = errors.New("bytes on the connection are no answer to the request")

// Client keeps connections to targets; Clock must be set.
type Client struct {
	Clock core.Clock

	mutex  sync.Mutex
	idle   map[string][]*conn
	opened atomic.Int64
}

type conn struct {
	net    *net.TCPConn
	reader *bufio.Reader
	until  time.Time   // when the target may close it
	spoilt atomic.Bool // must not be used again
}

// Opened returns how many connections have been opened.
func (client *Client) Opened() int64 { return client.opened.Load() }

// Do sends the request and returns when the head of its response has arrived; errors are of type *Error.
//
// The response's body must be closed. The exchange ends when ctx does.
func (client *Client) Do(ctx context.Context, request Request) (*http.Response, error) {
	conn, err := client.connect(ctx, request.Address)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	exchange := &exchange{client: client, address: request.Address, conn: conn, written: make(chan error, 1)}
	exchange.release = context.AfterFunc(ctx, exchange.abort)
	response, err := exchange.run(request)
	if err != nil {
		exchange.finish(false)
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Sent: true, Cause: err}
	}
	return response, nil
}

func (client *Client) connect(ctx context.Context, address string) (*conn, error) {
	if kept := client.take(address); kept != nil {
		return kept, nil
	}
	opened, err := Dialer(dialTimeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	client.opened.Add(1)
	return &conn{net: opened.(*net.TCPConn), reader: bufio.NewReaderSize(opened, bufferBytes)}, nil
}

func (client *Client) take(address string) *conn {
	now := client.Clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for {
		kept := client.idle[address]
		if len(kept) == 0 {
			return nil
		}
		last := kept[len(kept)-1]
		client.idle[address] = kept[:len(kept)-1]
		if now.Before(last.until) && !readable(last.net) {
			return last
		}
		_ = last.net.Close()
	}
}

func (client *Client) keep(address string, free *conn) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.idle == nil {
		client.idle = map[string][]*conn{}
	}
	if len(client.idle[address]) >= maxIdleConns {
		_ = free.net.Close()
		return
	}
	client.idle[address] = append(client.idle[address], free)
}

// Sweep closes connections that have been idle for too long, and all idle ones to addresses that are not live.
func (client *Client) Sweep(live func(address string) bool) {
	now := client.Clock.Now()
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for address, kept := range client.idle {
		remaining := kept[:0]
		for _, conn := range kept {
			if live(address) && now.Before(conn.until) {
				remaining = append(remaining, conn)
			} else {
				_ = conn.net.Close()
			}
		}
		if len(remaining) == 0 {
			delete(client.idle, address)
		} else {
			client.idle[address] = remaining
		}
	}
}

// CloseIdle closes the idle connections to an address, as one that went silent is rarely the only one.
func (client *Client) CloseIdle(address string) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, conn := range client.idle[address] {
		_ = conn.net.Close()
	}
	delete(client.idle, address)
}

// exchange is the use of one connection for one request.
type exchange struct {
	client  *Client
	address string
	conn    *conn
	release func() bool
	written chan error
	ended   atomic.Bool
}

func (exchange *exchange) abort() {
	exchange.conn.spoilt.Store(true)
	_ = exchange.conn.net.SetLinger(0) // a reset tells the target at once that nobody reads
	_ = exchange.conn.net.Close()
}

func (exchange *exchange) run(request Request) (*http.Response, error) {
	head := encodeHead(request)
	if len(request.Body) <= inlineBody {
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
	for range maxStray {
		response, err := exchange.read(request)
		if err != nil {
			return nil, err
		}
		if request.Match == nil || request.Match(response) {
			response.Body = &body{ReadCloser: response.Body, exchange: exchange, response: response}
			return response, nil
		}
		// A late answer to an earlier request of this connection; the next one may be ours.
		exchange.conn.spoilt.Store(true)
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, ErrNotAnswer
}

func (exchange *exchange) read(request Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(exchange.conn.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

func (exchange *exchange) finish(reusable bool) {
	if exchange.ended.Swap(true) {
		return
	}
	released := exchange.release()
	conn := exchange.conn
	select {
	case err := <-exchange.written:
		reusable = reusable && err == nil
	default:
		reusable = false // the target answered before it had read the whole body
	}
	if !released || !reusable || conn.spoilt.Load() || conn.reader.Buffered() > 0 {
		_ = conn.net.Close()
		return
	}
	exchange.client.keep(exchange.address, conn)
}

// body returns its connection for further use once it has been read to its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
	atEnd    bool
	failed   bool
}

func (body *body) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	switch {
	case err == io.EOF:
		body.atEnd = true
	case err != nil:
		body.failed = true
	}
	return count, err
}

func (body *body) Close() error {
	response := body.response
	delimited := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	reusable := body.atEnd && !body.failed && delimited && !response.Close
	idle := defaultIdle
	if stated, found := keepAlive(response.Header); found {
		idle = stated
	}
	body.exchange.conn.until = body.exchange.client.Clock.Now().Add(idle - idleMargin)
	if !body.atEnd && !body.exchange.ended.Load() {
		_ = body.exchange.conn.net.SetLinger(0)
	}
	body.exchange.finish(reusable)
	return nil
}

// keepAlive returns how long the target keeps the connection, if it says so.
func keepAlive(header http.Header) (time.Duration, bool) {
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
