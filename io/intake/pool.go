package intake

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"catkincove/core"
)

// Defaults and shares of Limits.
const (
	DefaultMemoryBytes = 256 << 20

	fileDescriptors  = 200  // descriptors that are no sockets
	connectionShare  = 0.5  // share of the other descriptors for accepted connections; the rest is for the store, other daemons and targets
	headMemoryShare  = 0.15 // share of the memory for connections and heads that are not whole
	totalMemoryShare = 0.4  // share of the memory for connections, heads and bodies
	closedShare      = 0.1  // share of the memory for closed connections whose goroutines have not ended or that were not collected as garbage

	connectionBytes = 16 << 10                 // memory of a connection: its goroutine and two buffers of 4 KB
	maxHeadReceived = DefaultHeadBytes + 8<<10 // bytes of one head after which its connection is closed; an HTTP/1 server ends with 431 before
	evictionShare   = 16                       // one in so many of a limit is freed at once

	runtimeShare   = 0.6      // share of the memory that the Go runtime may use
	outsideRuntime = 28 << 20 // memory at least for the program's own pages, and for what is allocated while the collector runs

	drainTimeout   = 10 * time.Second // limit on reading the rest of a body after the response
	minStall       = time.Second      // a caller that has not read the response for less is not evicted
	refusalTimeout = 100 * time.Millisecond

	refusalRetryAfter = "1.00" // seconds
)

// refusal is sent on a connection of which nothing has been read, so the promise that the request has not run is true.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + refusalRetryAfter + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Limits bounds the connections of a process; fields that are zero have defaults.
type Limits struct {
	MemoryBytes int64 // memory of the process; 0 means DefaultMemoryBytes
	Descriptors int   // limit on the descriptors of the process; 0 means that of the operating system
}

// connections returns the largest number of accepted connections.
func (limits Limits) connections() int {
	descriptors := limits.Descriptors
	var system syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &system); err == nil && (descriptors <= 0 || system.Cur < uint64(descriptors)) {
		descriptors = int(min(system.Cur, 1<<20))
	}
	byDescriptors := max(descriptors-fileDescriptors, descriptors/4)
	return max(1, min(int(float64(byDescriptors)*connectionShare), int(limits.headBytes()/connectionBytes)))
}

func (limits Limits) memory() float64 {
	return float64(cmp.Or(limits.MemoryBytes, DefaultMemoryBytes))
}

func (limits Limits) headBytes() int64 { return int64(limits.memory() * headMemoryShare) }

func (limits Limits) totalBytes() int64 { return int64(limits.memory() * totalMemoryShare) }

// RuntimeBytes returns the memory limit to set for the Go runtime.
func (limits Limits) RuntimeBytes() int64 {
	memory := limits.memory()
	return int64(max(memory/4, min(memory*runtimeShare, memory-outsideRuntime)))
}

// Pool holds the accepted connections of a process within its limits; New creates one.
type Pool struct {
	clock          core.Clock
	maxConnections int
	maxHeadBytes   int64
	maxTotalBytes  int64
	maxLargeBytes  int64
	maxClosedBytes int64

	evicted atomic.Int64
	refused atomic.Int64

	mutex       sync.Mutex
	connections map[*Conn]struct{}
	headBytes   int64 // memory of all connections and of the heads that are not whole
	totalBytes  int64 // the same with the bodies and the heads of requests in progress
	largeBytes  int64 // memory of large heads of requests in progress
	closed      closed
}

// New returns a pool without connections.
func New(limits Limits, clock core.Clock) *Pool {
	return &Pool{
		clock: clock, maxConnections: limits.connections(), maxHeadBytes: limits.headBytes(), maxTotalBytes: limits.totalBytes(),
		maxLargeBytes:  int64(float64(limits.totalBytes()) * largeHeadsShare),
		maxClosedBytes: int64(limits.memory() * closedShare), connections: map[*Conn]struct{}{}, closed: closed{reduced: make(chan struct{})},
	}
}

// MaxConnections returns the largest number of accepted connections.
func (pool *Pool) MaxConnections() int { return pool.maxConnections }

// Connections returns the number of accepted connections.
func (pool *Pool) Connections() int {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return len(pool.connections)
}

// Evicted returns the number of connections that were closed because of the limits.
func (pool *Pool) Evicted() int64 { return pool.evicted.Load() }

// Refused returns the number of connections that got 503 when they were accepted.
func (pool *Pool) Refused() int64 { return pool.refused.Load() }

// PortOptions are the limits of the connections of one listener.
type PortOptions struct {
	Share      float64           // of all connections of the pool; 0 means 1
	HeadLimits func() HeadLimits // in force for a head that begins now; nil means the defaults
}

// Listen returns a listener whose connections belong to the pool.
func (pool *Pool) Listen(listener net.Listener, options PortOptions) net.Listener {
	return &port{Listener: listener, pool: pool, maxConnections: max(1, int(float64(pool.maxConnections)*cmp.Or(options.Share, 1))), headLimits: options.HeadLimits}
}

// Serve makes a server tell the pool what its connections, which are those of a listener of the pool, are doing.
func (pool *Pool) Serve(server *http.Server) {
	handler, connContext := server.Handler, server.ConnContext
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn := unwrap(conn); conn != nil {
			conn.setState(state)
		}
	}
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, unwrap(conn))
	}
	server.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		conn, _ := request.Context().Value(connKey{}).(*Conn)
		if conn == nil {
			handler.ServeHTTP(writer, request)
			return
		}
		copied := *request // the server looks at the body of its own one to decide whether to read the rest
		begun, admitted := conn.begin(&copied)
		begun.trailer = &request.Trailer
		defer func() {
			if conn.end(begun) && request.ProtoMajor == 1 {
				_ = http.NewResponseController(writer).SetReadDeadline(pool.clock.Now().Add(drainTimeout)) // fails only for a connection that was taken over
			}
		}()
		if !admitted {
			pool.refuse(writer)
			return
		}
		handler.ServeHTTP(writer, &copied)
	})
}

type connKey struct{}

// unwrap returns the connection of a pool inside others, or nil.
func unwrap(conn net.Conn) *Conn {
	for {
		switch outer := conn.(type) {
		case *Conn:
			return outer
		case interface{ NetConn() net.Conn }:
			conn = outer.NetConn()
		default:
			return nil
		}
	}
}

// port is a listener of a pool.
type port struct {
	net.Listener
	pool           *Pool
	maxConnections int
	headLimits     func() HeadLimits // nil means the defaults
	connections    int               // guarded by the mutex of the pool
}

// Accept returns the next connection for which there is room, after it has made some; others get 503.
func (port *port) Accept() (net.Conn, error) {
	for {
		inner, err := port.Listener.Accept()
		if err != nil {
			return nil, err
		}
		port.pool.awaitBeforeAccept()
		if conn := port.pool.add(port, inner); conn != nil {
			return conn, nil
		}
		port.pool.refused.Add(1)
		_ = inner.SetWriteDeadline(port.pool.clock.Now().Add(refusalTimeout))
		_, _ = inner.Write([]byte(refusal))
		_ = inner.Close()
	}
}

// add takes in an accepted connection; it returns nil if none can be evicted for it.
func (pool *Pool) add(port *port, inner net.Conn) *Conn {
	pool.mutex.Lock()
	var victims []*Conn
	if port.connections >= port.maxConnections {
		victims = pool.choose(port, func(freed int, _ int64) bool {
			return port.connections-freed <= port.maxConnections-1-port.maxConnections/evictionShare
		})
	}
	if len(pool.connections)-len(victims) >= pool.maxConnections {
		victims = append(victims, pool.choose(nil, func(freed int, _ int64) bool {
			return len(pool.connections)-freed <= pool.maxConnections-1-pool.maxConnections/evictionShare
		})...)
	}
	pool.removeAll(victims)
	var conn *Conn
	if port.connections < port.maxConnections && len(pool.connections) < pool.maxConnections {
		conn = &Conn{Conn: inner, pool: pool, port: port, source: hostOf(inner.RemoteAddr()), since: pool.clock.Now()}
		pool.connections[conn] = struct{}{}
		port.connections++
		pool.charge(conn, connectionBytes, true)
	}
	victims = append(victims, pool.shrink()...)
	pool.mutex.Unlock()
	closeAll(victims)
	return conn
}

// charge adds to the memory of a connection, of its head or of its bodies; the mutex must be held.
func (pool *Pool) charge(conn *Conn, bytes int64, head bool) {
	if head {
		conn.headBytes += bytes
		pool.headBytes += bytes
	} else {
		conn.bodyBytes += bytes
	}
	pool.totalBytes += bytes
}

// shrink removes connections until the memory is within its limits again and returns them; the mutex must be held.
func (pool *Pool) shrink() []*Conn {
	var victims []*Conn
	if over := pool.headBytes - pool.maxHeadBytes; over > 0 {
		victims = pool.choose(nil, func(_ int, freed int64) bool { return freed >= over+pool.maxHeadBytes/evictionShare })
		pool.removeAll(victims)
	}
	if over := pool.totalBytes - pool.maxTotalBytes; over > 0 {
		further := pool.choose(nil, func(_ int, freed int64) bool { return freed >= over+pool.maxTotalBytes/evictionShare })
		pool.removeAll(further)
		victims = append(victims, further...)
	}
	return victims
}

// choose returns connections to evict until enough is freed, of one port unless it is nil; the mutex must be held. Those that have sent no whole request
// go first, then those whose caller does not read, then idle ones; among them those of the source that has most, and of one source the oldest. A
// connection with a whole request whose response is read stays.
func (pool *Pool) choose(port *port, enough func(connections int, bytes int64) bool) []*Conn {
	type candidate struct {
		conn *Conn
		rank int
	}
	type key struct {
		source string
		rank   int
	}
	now := pool.clock.Now()
	var candidates []candidate
	held := map[key]int64{}
	for conn := range pool.connections {
		if rank := conn.rank(now); rank != stays && (port == nil || conn.port == port) {
			candidates = append(candidates, candidate{conn, rank})
			held[key{conn.source, rank}] += conn.headBytes + conn.bodyBytes
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(held[key{b.conn.source, b.rank}], held[key{a.conn.source, a.rank}]), a.conn.since.Compare(b.conn.since))
	})
	var victims []*Conn
	freed := int64(0)
	for _, candidate := range candidates {
		if enough(len(victims), freed) {
			break
		}
		victims = append(victims, candidate.conn)
		freed += candidate.conn.headBytes + candidate.conn.bodyBytes
	}
	return victims
}

// Reclaim closes the connection that has held a body, or a response that its caller does not read, for the longest time without progress; its memory is
// free when its request has ended.
func (pool *Pool) Reclaim() {
	pool.mutex.Lock()
	now := pool.clock.Now()
	var oldest *Conn
	for conn := range pool.connections {
		if conn.isStalled(now) && (oldest == nil || conn.since.Before(oldest.since)) {
			oldest = conn
		}
	}
	var victims []*Conn
	if oldest != nil {
		victims = append(victims, oldest)
		pool.removeAll(victims)
	}
	pool.mutex.Unlock()
	closeAll(victims)
}

// removeAll takes connections that are going to be closed out of the pool; the mutex must be held.
func (pool *Pool) removeAll(victims []*Conn) {
	for _, conn := range victims {
		pool.remove(conn)
	}
	pool.evicted.Add(int64(len(victims)))
}

// remove takes a connection out of the pool; the mutex must be held.
func (pool *Pool) remove(conn *Conn) {
	if _, found := pool.connections[conn]; !found {
		return
	}
	delete(pool.connections, conn)
	conn.port.connections--
	pool.headBytes -= conn.headBytes
	pool.totalBytes -= conn.headBytes + conn.bodyBytes
	pool.ending(conn)
}

func closeAll(victims []*Conn) {
	for _, conn := range victims {
		_ = conn.Close()
	}
}

func hostOf(address net.Addr) string {
	if tcp, isTCP := address.(*net.TCPAddr); isTCP {
		return tcp.IP.String()
	}
	return address.String()
}
