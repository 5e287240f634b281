package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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
	http    *http.Client
	counter *meter.Counter
}

// NewClient returns a client whose connections are checked by HTTP/2 pings and counted in the counter.
func NewClient(counter *meter.Counter) *Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
		DialContext:     meter.Dialer(&net.Dialer{Timeout: connectTimeout}, counter),
	}
	return &Client{http: &http.Client{Transport: transport}, counter: counter}
}

// Close drops idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

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
	response, err := client.http.Do(request)
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
