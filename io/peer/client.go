package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/io/meter"
)

const (
	pingInterval   = time.Second
	pingTimeout    = 2 * time.Second
	connectTimeout = time.Second
	// idleTimeout closes connections opened for a single heartbeat to a random peer: each open connection costs pings from
	// both ends every second, and with 390 daemons nearly every pair would stay connected.
	idleTimeout      = 5 * time.Second
	maxResponseBytes = 16 << 20 // a full configuration of 5,800 teams and 1,300 targets is about 3 MB
)

// Paths of the calls between daemons.
const (
	HeartbeatPath = "/peer/heartbeat"
	ConfigPath    = "/peer/config"
	GrantPath     = "/peer/grant"
	ReleasePath   = "/peer/release"
)

// Client implements core.Peers over HTTP/2 without TLS; NewClient creates it.
type Client struct {
	counter *meter.Counter
	mutex   sync.Mutex
	clients map[string]*http.Client // by address
}

// NewClient returns a client that checks its connections with HTTP/2 pings and adds their traffic to the counter.
func NewClient(counter *meter.Counter) *Client {
	return &Client{counter: counter, clients: map[string]*http.Client{}}
}

// Close closes idle connections.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, httpClient := range client.clients {
		httpClient.CloseIdleConnections()
	}
}

// clientFor returns the HTTP client for an address; each client has one connection.
func (client *Client) clientFor(address string) *http.Client {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.clients[address] == nil {
		client.clients[address] = client.newHTTPClient()
	}
	return client.clients[address]
}

func (client *Client) newHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext:     meter.Dialer(&net.Dialer{Timeout: connectTimeout}, client.counter),
		IdleConnTimeout: idleTimeout,
	}}
}

// replaceClient makes the next call to an address open a new connection after a call timed out: the old connection may
// be stalled, which its pings detect only after 3 s. Calls in progress on the old connection continue.
func (client *Client) replaceClient(address string, httpClient *http.Client) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.clients[address] == httpClient {
		delete(client.clients, address)
	}
	httpClient.CloseIdleConnections()
}

// Heartbeat exchanges heartbeats with the daemon at the address.
func (client *Client) Heartbeat(ctx context.Context, address string, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	var reply wireHeartbeat
	err := client.post(ctx, address, HeartbeatPath, encodeHeartbeat(heartbeat), &reply)
	return decodeHeartbeat(reply), err
}

// Config fetches configuration changes from the daemon at the address.
func (client *Client) Config(ctx context.Context, address string, request core.ConfigRequest) (core.ConfigReply, error) {
	var reply wireConfigReply
	err := client.post(ctx, address, ConfigPath, wireConfigRequest{Since: int64(request.Since)}, &reply)
	return decodeConfigReply(reply), err
}

// Grant sends a grant request to the pool's owner at the address.
func (client *Client) Grant(ctx context.Context, address string, request core.GrantRequest) (core.GrantReply, error) {
	var reply wireGrantReply
	err := client.post(ctx, address, GrantPath, encodeGrantRequest(request), &reply)
	return decodeGrantReply(reply, request.Pool), err
}

// Release returns a grant to the pool's owner at the address.
func (client *Client) Release(ctx context.Context, address string, release core.Release) error {
	return client.post(ctx, address, ReleasePath, encodeRelease(release), nil)
}

func (client *Client) post(ctx context.Context, address, path string, body, reply any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	httpClient := client.clientFor(address)
	response, err := httpClient.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		client.replaceClient(address, httpClient)
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return fmt.Errorf("peer %s: read response to %s: %w", address, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s: %s returned status %d", address, path, response.StatusCode)
	}
	if reply == nil {
		return nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return fmt.Errorf("peer %s: decode response to %s: %w", address, path, err)
	}
	return nil
}
