package target

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core"
	"catkincove/io/callid"
)

// Defaults of the Client's settings.
const (
	DefaultTokenGap       = 2 * time.Second
	DefaultControlTimeout = time.Second
	DefaultMaxBody        = 8 << 20 // bytes
	DefaultPingInterval   = time.Second
	DefaultPingTimeout    = 2 * time.Second
)

const (
	dialTimeout = time.Second
	// idleTimeout is short because an idle connection can stall unnoticed; the first request on it then waits for most of
	// its deadline, while a new connection costs one round trip.
	idleTimeout      = 2 * time.Second
	maxIdlePerTarget = 64
	maxIdleConns     = 4096
	maxHeadBytes     = 64 << 10 // limit on a response's header, with the interim responses before it
	readBufferSize   = 16 << 10 // holds several token events, so that one read delivers a batch
)

// Client implements core.Targets; the zero value is ready to use.
type Client struct {
	Clock          core.Clock
	TokenGap       time.Duration // longest time between two tokens of a call that another attempt can follow
	ControlTimeout time.Duration // for load reports, cache events and orders without a timeout of their own
	MaxBody        int64         // bytes of a response that is not a stream
	HTTP2          bool          // HTTP/2 without TLS, with pings
	PingInterval   time.Duration
	PingTimeout    time.Duration

	once       sync.Once
	calls      *http.Transport
	reports    http.RoundTripper // load reports and cache events
	orders     *http.Transport
	kept       []*http.Transport // transports that keep connections
	mutex      sync.Mutex
	conns      map[string]map[*conn]struct{} // open connections by address
	mismatched atomic.Int64
	timeouts   atomic.Int64
}

// Mismatched returns the number of responses rejected because they belong to another attempt.
func (client *Client) Mismatched() int64 { return client.mismatched.Load() }

// TimedOut returns the number of calls that timed out because the target sent nothing more.
func (client *Client) TimedOut() int64 { return client.timeouts.Load() }

// Close closes all idle connections.
func (client *Client) Close() {
	client.init()
	for _, transport := range client.kept {
		transport.CloseIdleConnections()
	}
}

func (client *Client) init() { client.once.Do(client.setUp) }

func (client *Client) setUp() {
	if client.Clock == nil {
		client.Clock = core.SystemClock{}
	}
	setDefault(&client.TokenGap, DefaultTokenGap)
	setDefault(&client.ControlTimeout, DefaultControlTimeout)
	setDefault(&client.MaxBody, DefaultMaxBody)
	setDefault(&client.PingInterval, DefaultPingInterval)
	setDefault(&client.PingTimeout, DefaultPingTimeout)
	client.conns = make(map[string]map[*conn]struct{})
	dialer := &net.Dialer{Timeout: dialTimeout}
	// A second copy of a response, which a target sends when its connection is in use again, must be read neither as a load report or cache events nor
	// as the acceptance of an order.
	client.calls, client.orders = client.newTransport(dialer), client.newTransport(dialer)
	client.orders.DisableKeepAlives = true
	reports := client.newTransport(dialer)
	client.kept = []*http.Transport{client.calls, reports}
	client.reports = &callid.Transport{Kept: reports, Header: headerRequest}
	if client.HTTP2 {
		client.reports = reports // a response belongs to its stream
	}
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

func (client *Client) newTransport(dialer *net.Dialer) *http.Transport {
	transport := &http.Transport{
		DialContext:            client.dialWith(dialer),
		DisableCompression:     true,
		MaxIdleConns:           maxIdleConns,
		MaxIdleConnsPerHost:    maxIdlePerTarget,
		IdleConnTimeout:        idleTimeout,
		ReadBufferSize:         readBufferSize,
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	transport.Protocols = new(http.Protocols)
	if !client.HTTP2 {
		transport.Protocols.SetHTTP1(true)
		return transport
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	transport.HTTP2 = &http.HTTP2Config{SendPingTimeout: client.PingInterval, PingTimeout: client.PingTimeout}
	return transport
}
