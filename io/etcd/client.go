package etcd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core"
)

const (
	defaultStallTimeout = 1500 * time.Millisecond // three progress notifications, which are 500 ms apart
	dialTimeout         = 300 * time.Millisecond  // leaves time for another endpoint within the call's deadline
	maxResponseBytes    = 64 << 20                // a full page of values of the largest size is smaller
)

// Client implements core.Store; it needs at least one endpoint.
type Client struct {
	Endpoints    []string          // base URLs such as "http://10.0.0.1:2379"
	Timeout      time.Duration     // of one call including failover; 0 means core.DefaultStoreRTT
	StallTimeout time.Duration     // longest time between messages of a watch before it fails; 0 means 1.5 s
	Transport    http.RoundTripper // carries one call over each connection; nil means one transport shared by all clients

	preferred atomic.Int64 // modulo the number of endpoints, the index of the endpoint to call
	mutex     sync.Mutex
	counters  Counters
}

var _ core.Store = (*Client)(nil)

var sharedTransport = &http.Transport{
	DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
	IdleConnTimeout: dialTimeout, // of connections that were opened too late for their call
}

// errNotConnected marks an attempt that failed before any byte reached the store.
var errNotConnected = errors.New("connection could not be established")

func (client *Client) timeout() time.Duration {
	if client.Timeout > 0 {
		return client.Timeout
	}
	return core.DefaultStoreRTT
}

func (client *Client) transport() http.RoundTripper {
	if client.Transport != nil {
		return client.Transport
	}
	return sharedTransport
}

// call posts the body and returns the response; idempotent calls are retried at another endpoint after any failure.
//
// Other calls are retried only when no connection was made, because a lost response may belong to a write that took
// effect.
func (client *Client) call(ctx context.Context, path string, body message, idempotent bool) (fields, error) {
	if len(client.Endpoints) == 0 {
		return nil, fmt.Errorf("%s: no endpoints: %w", path, core.ErrStoreUnavailable)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s: encode request: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, client.timeout())
	defer cancel()
	for endpointsLeft := len(client.Endpoints); ; endpointsLeft-- {
		response, err := client.attempt(ctx, path, encoded, endpointsLeft)
		if err == nil || !errors.Is(err, core.ErrStoreUnavailable) {
			return response, err
		}
		client.count(func(counters *Counters) { counters.Failures[path]++ })
		client.preferred.Add(1)
		retry := idempotent || errors.Is(err, errNotConnected)
		if endpointsLeft <= 1 || !retry || ctx.Err() != nil {
			return nil, err
		}
	}
}

// callAtRevision is call for responses that state the revision of the store; one that states none is not from the store, and shows neither that a key is
// absent nor that a condition is not met.
func (client *Client) callAtRevision(ctx context.Context, path string, body message, idempotent bool) (fields, error) {
	response, err := client.call(ctx, path, body, idempotent)
	if err != nil {
		return nil, err
	}
	if revision, err := response.revision(); err != nil || revision <= 0 {
		return nil, fmt.Errorf("%s: response without a revision: %w", path, errors.Join(core.ErrStoreUnavailable, err))
	}
	return response, nil
}

// attempt calls one endpoint with an equal share of the time left.
func (client *Client) attempt(ctx context.Context, path string, body []byte, endpointsLeft int) (fields, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(endpointsLeft))
	defer cancel()
	response, err := client.post(ctx, path, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	client.count(func(counters *Counters) { counters.BytesReceived += int64(len(data)) })
	if err != nil {
		return nil, fmt.Errorf("%s: read response: %w: %w", path, core.ErrStoreUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(path, response.StatusCode, data)
	}
	object, err := parse(data)
	if err != nil {
		return nil, fmt.Errorf("%s: decode response: %w: %w", path, core.ErrStoreUnavailable, err)
	}
	return object, nil
}

// post counts the call and sends it to the preferred endpoint, over a connection of its own.
//
// Responses do not say to which call they belong. A second copy of one, sent when its connection is in use again, would be read as the response to the
// next call: a write whose condition is not met as done, or a lease that has expired as renewed.
func (client *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	index := int(client.preferred.Load() % int64(len(client.Endpoints)))
	address := strings.TrimSuffix(client.Endpoints[index], "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	request.Close = true
	request.Header.Set("Content-Type", "application/json")
	client.count(func(counters *Counters) {
		counters.Calls[path]++
		counters.BytesSent += int64(len(body))
	})
	response, err := client.transport().RoundTrip(request)
	if err != nil {
		return nil, transportError(path, err)
	}
	return response, nil
}

func transportError(path string, err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return fmt.Errorf("%s: %w: %w: %w", path, core.ErrStoreUnavailable, errNotConnected, err)
	}
	return fmt.Errorf("%s: %w: %w", path, core.ErrStoreUnavailable, err)
}

// statusError maps an error response of the gateway; client errors other than 429 do not count as an unavailable store.
func statusError(path string, status int, body []byte) error {
	text := strings.TrimSpace(string(body[:min(len(body), 200)]))
	switch {
	case strings.Contains(text, "lease not found"):
		return fmt.Errorf("%s: %w", path, core.ErrLeaseNotFound)
	case strings.Contains(text, "compacted"):
		return fmt.Errorf("%s: %w", path, core.ErrCompacted)
	case status == http.StatusTooManyRequests || status >= http.StatusInternalServerError:
		return fmt.Errorf("%s: status %d: %s: %w", path, status, text, core.ErrStoreUnavailable)
	default:
		return fmt.Errorf("%s: status %d: %s", path, status, text)
	}
}
