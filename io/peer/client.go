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
	// idleTimeout closes connections that one heartbeat to a random peer left open: each costs pings from both ends every
	// second, and with 390 daemons nearly all pairs would stay connected.
	idleTimeout    = 5 * time.Second
	maxAnswerBytes = 16 << 20 // a full configuration of 5,800 teams and 1,300 targets is about 3 MB
)

// Paths of the calls between daemons.
const (
	HeartbeatPath = "/peer/heartbeat"
	ConfigPath    = "/peer/config"
	GrantPath     = "/peer/grant"
	ReleasePath   = "/peer/release"
)

// Client implements core.Peers over HTTP/2 without TLS; use NewClient.
type Client struct {
	counter *meter.Counter
	mutex   sync.Mutex
	clients map[string]*http.Client // by address
}

// NewClient returns a client whose connections are checked by HTTP/2 pings and counted in the counter.
func NewClient(counter *meter.Counter) *Client {
	return &Client{counter: counter, clients: map[string]*http.Client{}}
}

// Close drops idle connections.
func (client *Client) Close() {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	for _, used := range client.clients {
		used.CloseIdleConnections()
	}
}

// to returns the HTTP client for an address, which has one connection.
func (client *Client) to(address string) *http.Client {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.clients[address] == nil {
		client.clients[address] = client.newClient()
	}
	return client.clients[address]
}

func (client *Client) newClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		Protocols:       protocols,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext:     meter.Dialer(&net.Dialer{Timeout: connectTimeout}, client.counter),
		IdleConnTimeout: idleTimeout,
	}}
}

// renew makes the next call to an address dial, after one that got no answer in time: its connection may have gone
// silent, and its pings would show that only after 3 s. Calls in progress on the old connection go on.
func (client *Client) renew(address string, used *http.Client) {
	client.mutex.Lock()
	defer client.mutex.Unlock()
	if client.clients[address] == used {
		delete(client.clients, address)
	}
	used.CloseIdleConnections()
}

// Heartbeat exchanges heartbeats with the daemon at the address.
func (client *Client) Heartbeat(ctx context.Context, address string, heartbeat core.Heartbeat) (core.Heartbeat, error) {
	var answer wireHeartbeat
	err := client.post(ctx, address, HeartbeatPath, encodeHeartbeat(heartbeat), &answer)
	return decodeHeartbeat(answer), err
}

// Config fetches configuration changes from the daemon at the address.
func (client *Client) Config(ctx context.Context, address string, request core.ConfigRequest) (core.ConfigReply, error) {
	var answer wireConfigReply
	err := client.post(ctx, address, ConfigPath, wireConfigRequest{Since: int64(request.Since)}, &answer)
	return decodeConfigReply(answer), err
}

// Grant asks the pool's owner at the address.
func (client *Client) Grant(ctx context.Context, address string, request core.GrantRequest) (core.GrantReply, error) {
	var answer wireGrantReply
	err := client.post(ctx, address, GrantPath, encodeGrantRequest(request), &answer)
	return decodeGrantReply(answer, request.Pool), err
}

// Release returns a grant to the pool's owner at the address.
func (client *Client) Release(ctx context.Context, address string, release core.Release) error {
	return client.post(ctx, address, ReleasePath, encodeRelease(release), nil)
}

func (client *Client) post(ctx context.Context, address, path string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	used := client.to(address)
	response, err := used.Do(request)
	if errors.Is(err, context.DeadlineExceeded) {
		client.renew(address, used)
	}
	if err != nil {
		return fmt.Errorf("peer %s: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("peer %s: read answer of %s: %w", address, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("peer %s: %s answered status %d", address, path, response.StatusCode)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return fmt.Errorf("peer %s: decode answer of %s: %w", address, path, err)
	}
	return nil
}
