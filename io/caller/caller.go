package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/io/answer"
	"catkincove/io/callid"
	"catkincove/io/entry"
)

const (
	defaultAttempts  = 4
	addressTimeout   = time.Second
	idleTimeout      = 3 * time.Second // daemons send an SSE comment every second while they process a request
	maxResponseBytes = 16 << 20
	minBackoff       = 50 * time.Millisecond
)

// Client sends requests to the daemons; Seeds is required, the other fields have defaults.
type Client struct {
	Seeds       []string // IP:port of the daemons that are queried for addresses at first
	Team        string
	Token       string
	Name        string // identifies the caller; daemons use it to balance callers over daemons
	MaxAttempts int    // maximum number of attempts per request, including the first
	SeedsOnly   bool   // sends requests to the seeds only and never queries for addresses
	Clock       core.Clock
	HTTP        *http.Client // its transport, if it is an *http.Transport, gets the IDs of package callid

	once        sync.Once
	identified  *http.Client // HTTP with IDs of calls
	mutex       sync.Mutex
	addresses   []string
	refreshedAt time.Time
	keepFor     time.Duration
	failedAt    map[string]time.Time // time of the last failure by address
}

// Request is one request to a pipeline.
type Request struct {
	Pipeline string
	Body     entry.RequestBody
	Key      string        // idempotency key; required by pipelines with an at-most-once call
	Deadline time.Duration // of one attempt; 0 means the deadline of the pipeline
}

// Event is a part of a streamed answer; exactly one field is set.
type Event struct {
	Stage   *entry.StageBody
	Token   *entry.TokenBody
	Restart bool // the answer starts over; discard the tokens received so far
}

// Do sends the request and retries it on other daemons where that is safe.
//
// It returns a *core.Error, whose Run covers all attempts, or the error of ctx.
func (client *Client) Do(ctx context.Context, request Request, emit func(Event)) (entry.AnswerBody, error) {
	var last error
	emitted, run := false, core.NotRun
	for attempt := range client.attempts() {
		address, err := client.address(ctx)
		if err != nil {
			last = err
			break
		}
		if emitted {
			emit(Event{Restart: true})
			emitted = false
		}
		body, err := client.send(ctx, address, request, func(event Event) {
			emitted = emitted || event.Token != nil
			emit(event)
		})
		if err == nil {
			return body, nil
		}
		last = err
		wait, retry := client.retryDelay(address, request, err, attempt)
		// The error of the last attempt is returned without a delay, as no retry follows.
		if !retry || attempt == client.attempts()-1 || ctx.Err() != nil {
			break
		}
		if !client.sleep(ctx, wait) {
			break
		}
		run = runOfAll(run, core.AsError(err).Run)
	}
	return entry.AnswerBody{}, withEarlier(last, run, request)
}

// runOfAll returns whether any of several attempts has run.
func runOfAll(earlier, next core.Run) core.Run {
	if earlier == core.HasRun || next == core.NotRun {
		return earlier
	}
	return next
}

// withEarlier returns the error of the last attempt. If an earlier one may have run, a rejection of the last one does not mean that the request has not,
// and a caller with an at-most-once call must not send it again with a new key.
func withEarlier(last error, earlier core.Run, request Request) error {
	var rejection *core.Error
	if earlier == core.NotRun || !errors.As(last, &rejection) || rejection.Run != core.NotRun {
		return last
	}
	if request.Key != "" && earlier == core.Unknown {
		return core.Errorf(core.OutcomeUnknown, "an earlier attempt may have run: %w", last)
	}
	return rejection.WithRun(earlier)
}

// sleep reports false when ctx ends first: a further attempt would fail with the error of ctx and hide the daemon's.
func (client *Client) sleep(ctx context.Context, wait time.Duration) bool {
	select {
	case <-client.clock().After(wait):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}

// retryDelay returns the time to wait before the next attempt and whether the request may be retried.
func (client *Client) retryDelay(address string, request Request, err error, attempt int) (time.Duration, bool) {
	e := core.AsError(err)
	backoff := minBackoff << attempt
	if e.Kind == core.Internal && e.Run == core.Unknown {
		// The connection failed, but another daemon may be reachable. Retrying is safe: pipelines with at-most-once calls
		// require a key, which prevents a second execution, and without a key the pipeline has no such call.
		client.markFailed(address)
		return backoff, true
	}
	if e.Kind == core.Unconfirmed || e.Kind == core.Unavailable {
		client.markFailed(address)
	}
	return max(backoff, e.RetryAfter), e.Kind.Answer().Retryable
}

func (client *Client) send(ctx context.Context, address string, request Request, emit func(Event)) (entry.AnswerBody, error) {
	encoded, err := json.Marshal(request.Body)
	if err != nil {
		return entry.AnswerBody{}, core.Errorf(core.BadRequest, "encode request: %v", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	url := "http://" + address + "/v1/pipelines/" + request.Pipeline
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(encoded)))
	if err != nil {
		return entry.AnswerBody{}, core.Errorf(core.BadRequest, "address %q: %v", address, err)
	}
	client.setHeaders(httpRequest, request)
	// The timeout also covers the response headers, as an idle keep-alive connection may have died before the request.
	watchdog := watchdog{cancel: cancel}
	defer watchdog.stop()
	watchdog.feed()
	response, err := client.http().Do(httpRequest)
	if err != nil {
		client.http().CloseIdleConnections() // when one connection is dead, others are likely to be dead as well
		return entry.AnswerBody{}, connectionError(address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
		if err != nil {
			return entry.AnswerBody{}, connectionError(address, err)
		}
		return entry.AnswerBody{}, answer.DecodeResponse(response.StatusCode, body)
	}
	watchdog.feed()
	body, err := readEvents(response.Body, watchdog.feed, emit)
	var rejection *core.Error
	if err != nil && !errors.As(err, &rejection) {
		return body, connectionError(address, err)
	}
	return body, err
}

func (client *Client) setHeaders(httpRequest *http.Request, request Request) {
	header := httpRequest.Header
	header.Set("Content-Type", "application/json")
	header.Set("Accept", "text/event-stream")
	header.Set(entry.TeamHeader, client.Team)
	if client.Token != "" {
		header.Set("Authorization", "Bearer "+client.Token)
	}
	if request.Key != "" {
		header.Set(entry.IdempotencyKeyHeader, request.Key)
	}
	if request.Deadline > 0 {
		header.Set(entry.DeadlineHeader, request.Deadline.String())
	}
}

// connectionError returns an error for a connection that failed before the full response, so that it is unknown whether
// the request was executed.
func connectionError(address string, err error) error {
	return core.Errorf(core.Internal, "daemon %s: %w", address, err)
}

func (client *Client) attempts() int {
	if client.MaxAttempts > 0 {
		return client.MaxAttempts
	}
	return defaultAttempts
}

func (client *Client) clock() core.Clock {
	if client.Clock != nil {
		return client.Clock
	}
	return core.SystemClock{}
}

// http returns the HTTP client, which returns no response to another call: the list of addresses would count as the acceptance of a ticket.
func (client *Client) http() *http.Client {
	client.once.Do(func() {
		identified := *http.DefaultClient
		if client.HTTP != nil {
			identified = *client.HTTP
		}
		if identified.Transport == nil {
			identified.Transport = http.DefaultTransport
		}
		if kept, isTransport := identified.Transport.(*http.Transport); isTransport {
			identified.Transport = &callid.Transport{Kept: kept}
		}
		client.identified = &identified
	})
	return client.identified
}

// Get sends a GET request for an operator command to the preferred daemon and returns the response body.
func (client *Client) Get(ctx context.Context, path string) ([]byte, error) {
	address, err := client.address(ctx)
	if err != nil {
		return nil, err
	}
	return client.Call(ctx, address, http.MethodGet, path, "")
}

// Post sends a POST request for an operator command to the preferred daemon and returns the response body.
func (client *Client) Post(ctx context.Context, path, body string) ([]byte, error) {
	address, err := client.address(ctx)
	if err != nil {
		return nil, err
	}
	return client.Call(ctx, address, http.MethodPost, path, body)
}

// Call sends a request for an operator command to the daemon at address and returns the response body; it returns an
// error response as a *core.Error.
func (client *Client) Call(ctx context.Context, address, method, path, body string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	response, err := client.http().Do(request)
	if err != nil {
		return nil, core.Errorf(core.Unavailable, "daemon %s did not respond: %v", address, err).WithRun(core.Unknown)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, core.Errorf(core.Unavailable, "daemon %s: response was cut off: %v", address, err).WithRun(core.Unknown)
	}
	if response.StatusCode != http.StatusOK {
		return nil, answer.DecodeResponse(response.StatusCode, data)
	}
	return data, nil
}
