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
	defaultSilence = 1500 * time.Millisecond // three progress notifications at 500 ms
	dialTimeout    = 300 * time.Millisecond  // leaves time for another endpoint within the call's deadline
	maxResponse    = 64 << 20                // bytes; a full page of largest values stays below
)

// Client implements core.Store; it needs at least one endpoint.
type Client struct {
	Endpoints []string          // base URLs such as "http://10.0.0.1:2379"
	Timeout   time.Duration     // of one call including failover; 0 counts as core.DefaultStoreRTT
	Silence   time.Duration     // after which a watch without any message ends; 0 counts as 1.5 s
	Transport http.RoundTripper // nil counts as one transport shared by all clients

	preferred atomic.Int64
	mutex     sync.Mutex
	counters  Counters
}

var _ core.Store = (*Client)(nil)

var sharedTransport = &http.Transport{
	DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
	MaxIdleConnsPerHost: 16,
	IdleConnTimeout:     30 * time.Second,
}

// errRefused marks an attempt of which no byte reached the store.
var errRefused = errors.New("connection could not be established")

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

// call posts the body and returns the answer; repeatable calls go to another endpoint after any failure.
//
// Other calls do so only when no connection was made, because a lost answer may belong to a write that took effect.
func (client *Client) call(ctx context.Context, path string, body message, repeatable bool) (fields, error) {
	if len(client.Endpoints) == 0 {
		return nil, fmt.Errorf("%s: no endpoints: %w", path, core.ErrStoreUnavailable)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, fmt.Errorf("%s: encode request: %w", path, err)
	}
	ctx, cancel := context.WithTimeout(ctx, client.timeout())
	defer cancel()
	for left := len(client.Endpoints); ; left-- {
		answer, err := client.attempt(ctx, path, encoded, left)
		if err == nil || !errors.Is(err, core.ErrStoreUnavailable) {
			return answer, err
		}
		client.count(func(counters *Counters) { counters.Failures[path]++ })
		if !errors.Is(err, errRefused) {
			client.closeIdle()
		}
		client.preferred.Add(1)
		again := repeatable || errors.Is(err, errRefused)
		if left <= 1 || !again || ctx.Err() != nil {
			return nil, err
		}
	}
}

// closeIdle closes the idle connections, as one that went silent is rarely the only one: the renewal of a lease has time
// for one call that fails.
func (client *Client) closeIdle() {
	if transport, closes := client.transport().(interface{ CloseIdleConnections() }); closes {
		transport.CloseIdleConnections()
	}
}

// attempt gives one endpoint an equal part of the time that is left.
func (client *Client) attempt(ctx context.Context, path string, body []byte, left int) (fields, error) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithTimeout(ctx, time.Until(deadline)/time.Duration(left))
	defer cancel()
	response, err := client.post(ctx, path, body)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	client.count(func(counters *Counters) { counters.BytesReceived += int64(len(content)) })
	if err != nil {
		return nil, fmt.Errorf("%s: read answer: %w: %w", path, core.ErrStoreUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, statusError(path, response.StatusCode, content)
	}
	answer, err := parse(content)
	if err != nil {
		return nil, fmt.Errorf("%s: decode answer: %w: %w", path, core.ErrStoreUnavailable, err)
	}
	return answer, nil
}

// post counts the call and sends it to the preferred endpoint.
func (client *Client) post(ctx context.Context, path string, body []byte) (*http.Response, error) {
	index := int(client.preferred.Load() % int64(len(client.Endpoints)))
	address := strings.TrimSuffix(client.Endpoints[index], "/") + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
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
		return fmt.Errorf("%s: %w: %w: %w", path, core.ErrStoreUnavailable, errRefused, err)
	}
	return fmt.Errorf("%s: %w: %w", path, core.ErrStoreUnavailable, err)
}

// statusError maps the gateway's error answer; client errors are not outages.
func statusError(path string, status int, content []byte) error {
	text := strings.TrimSpace(string(content[:min(len(content), 200)]))
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
