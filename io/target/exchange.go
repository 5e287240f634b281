package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"catkincove/core"
)

// Header names of the target protocol.
const (
	headerRequest  = "X-Request-Id"
	headerStage    = "X-Stage"
	headerAttempt  = "X-Attempt"
	headerTimeLeft = "X-Time-Left-Ms"
	headerPriority = "X-Priority"
	headerStart    = "X-Start-Id"
	headerKey      = "Idempotency-Key"
	headerLast     = "Last-Event-Id"
)

var (
	errStalled   = errors.New("target stopped sending")
	errDeadline  = errors.New("deadline passed without a complete response")
	errSentTwice = errors.New("transport tried to send a call twice")
)

// exchange is one HTTP request to a target and its response.
type exchange struct {
	client         *Client
	call           core.TargetCall
	parent         context.Context
	ctx            context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc // releases the timer of the deadline
	stallTimer     *time.Timer        // ends the call when it makes no progress; nil while only the deadline applies
	started        time.Time
	response       *http.Response

	mutex      sync.Mutex
	sent       bool
	sendErr    error // returned by BeforeSend
	conn       *conn
	reused     bool // the connection has served another call
	startID    string
	outcome    core.Outcome
	firstToken time.Duration
}

// requestSpec is the part of a request that depends on the kind of call.
type requestSpec struct {
	path   string
	key    string
	resume int // tokens received so far
	body   []byte
}

// open sends the request and checks status and identity of the response.
func (client *Client) open(ctx context.Context, call core.TargetCall, spec requestSpec) (*exchange, error) {
	client.init()
	exchange := &exchange{client: client, call: call, parent: ctx, started: client.Clock.Now()}
	timeLeft := call.Deadline.Sub(exchange.started)
	ctx, exchange.cancelDeadline = context.WithTimeoutCause(ctx, timeLeft, errDeadline)
	exchange.ctx, exchange.cancel = context.WithCancelCause(ctx)
	if call.FirstByte > 0 {
		exchange.setStallTimeout(call.FirstByte)
	}
	var response *http.Response
	for range maxIdlePerTarget + 1 {
		request, err := exchange.newRequest(spec, timeLeft)
		if err != nil {
			return exchange, core.Errorf(core.Internal, "building the request to %s: %w", call.Address, err)
		}
		if response, err = client.calls.RoundTrip(request); err == nil {
			break
		}
		if !errors.Is(err, errRetired) {
			return exchange, exchange.transportError(err)
		}
	}
	if response == nil {
		return exchange, exchange.transportError(errRetired)
	}
	exchange.response = response
	return exchange, exchange.checkResponse()
}

// setStallTimeout ends the call when it makes no progress within the timeout; it replaces the previous timeout.
func (exchange *exchange) setStallTimeout(timeout time.Duration) {
	if exchange.stallTimer == nil {
		exchange.stallTimer = time.AfterFunc(timeout, func() { exchange.cancel(errStalled) })
		return
	}
	exchange.stallTimer.Reset(timeout)
}

func (exchange *exchange) newRequest(spec requestSpec, timeLeft time.Duration) (*http.Request, error) {
	call := exchange.call
	trace := &httptrace.ClientTrace{GotConn: exchange.gotConn, PutIdleConn: exchange.putIdle}
	ctx := httptrace.WithClientTrace(exchange.ctx, trace)
	url := "http://" + call.Address + spec.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(spec.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http cannot send the request a second time, which it otherwise does after a disconnect for
	// requests with an Idempotency-Key header.
	request.GetBody = nil
	header := request.Header
	header.Set("Content-Type", "application/json")
	header.Set(headerRequest, string(call.Request))
	header.Set(headerStage, call.Stage)
	header.Set(headerAttempt, strconv.Itoa(call.Attempt))
	header.Set(headerTimeLeft, strconv.FormatInt(timeLeft.Milliseconds(), 10))
	header.Set(headerPriority, strconv.Itoa(call.Priority))
	if spec.key != "" {
		header.Set(headerKey, spec.key)
	}
	if spec.resume > 0 {
		header.Set(headerLast, strconv.Itoa(spec.resume))
	}
	return request, nil
}

func (exchange *exchange) gotConn(info httptrace.GotConnInfo) {
	exchange.reused = info.Reused
	conn, isConn := info.Conn.(*conn)
	if isConn && !exchange.client.HTTP2 {
		exchange.conn = conn
		conn.attach(exchange)
		return
	}
	// The HTTP/2 transport checks the context under its write lock before it writes the headers, so cancelling here leaves
	// the call unsent.
	if err := exchange.beforeSend(); err != nil {
		exchange.cancel(err)
	}
}

func (exchange *exchange) putIdle(error) {
	if exchange.conn != nil {
		exchange.conn.detach(exchange)
	}
}

func (exchange *exchange) beforeSend() error {
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	if exchange.sent {
		return errSentTwice
	}
	if err := exchange.ctx.Err(); err != nil {
		return err
	}
	if exchange.call.BeforeSend != nil {
		if err := exchange.call.BeforeSend(); err != nil {
			exchange.sendErr = err
			return err
		}
	}
	exchange.sent = true
	return nil
}

// close ends the exchange and returns its outcome and timing.
func (exchange *exchange) close() core.TargetInfo {
	if exchange.stallTimer != nil {
		exchange.stallTimer.Stop()
	}
	if exchange.response != nil {
		_ = exchange.response.Body.Close()
	}
	exchange.cancel(nil)
	exchange.cancelDeadline()
	exchange.mutex.Lock()
	defer exchange.mutex.Unlock()
	return core.TargetInfo{
		StartID:    exchange.startID,
		Sent:       exchange.sent,
		Outcome:    exchange.outcome,
		FirstToken: exchange.firstToken,
		Took:       exchange.client.Clock.Now().Sub(exchange.started),
	}
}

// limitGap restarts the timeout for the next byte or token, unless the call waits until its deadline.
func (exchange *exchange) limitGap() {
	if !exchange.call.UntilDeadline {
		exchange.setStallTimeout(exchange.client.TokenGap)
	}
}

// read returns the whole body of a response that is not a stream.
func (exchange *exchange) read() ([]byte, error) {
	exchange.limitGap()
	limit := exchange.client.MaxBody
	body, err := io.ReadAll(io.LimitReader(exchange.response.Body, limit+1))
	if err != nil {
		return nil, exchange.transportError(err)
	}
	if int64(len(body)) > limit {
		return nil, exchange.responseError("response is longer than %d bytes", limit)
	}
	return body, nil
}
