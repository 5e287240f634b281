package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	"catkincove/core"
)

// stepClock is a clock that tests set.
type stepClock struct {
	core.SystemClock
	now time.Time
}

func (clock *stepClock) Now() time.Time                       { return clock.now }
func (clock *stepClock) After(time.Duration) <-chan time.Time { return nil }

// fakeConn is a connection from an address, which reads what is needed and notes that it was closed.
type fakeConn struct {
	net.Conn
	from   string
	closed atomic.Bool
}

func (conn *fakeConn) RemoteAddr() net.Addr          { return &net.TCPAddr{IP: net.ParseIP(conn.from)} }
func (conn *fakeConn) Read(data []byte) (int, error) { return len(data), nil }
func (conn *fakeConn) Close() error                  { conn.closed.Store(true); return nil }

// TestEvictionOrder guards against the eviction of an ordinary caller's connection instead of one of the crowd: requests in progress stay, unfinished heads
// go before responses that nobody reads and those before idle connections, the source that has most comes first, and then the oldest.
func TestEvictionOrder(t *testing.T) {
	head := func(conn *Conn) { _, _ = conn.Read(make([]byte, 100)) }
	busy := func(conn *Conn) { conn.setState(http.StateActive); conn.begin(httptest.NewRequest("GET", "/", nil)) }
	body := func(conn *Conn) {
		conn.setState(http.StateActive)
		conn.begin(httptest.NewRequest("POST", "/", strings.NewReader("b")))
	}
	unread := func(conn *Conn) { busy(conn); conn.writes, conn.writingSince = 1, conn.pool.clock.Now() }
	idle := func(conn *Conn) { busy(conn); conn.end(&request{conn: conn}); conn.setState(http.StateIdle) }
	rest := func(conn *Conn) { busy(conn); conn.end(&request{conn: conn}) } // the server reads the rest of a body
	type step struct {
		from string
		do   func(*Conn)
	}
	for _, test := range []struct {
		name    string
		steps   []step
		evicted string // indices; -1 means that the new connection is refused
	}{
		{"oldest head", []step{{"1", busy}, {"1", head}, {"1", head}, {"1", idle}}, "1"},
		{"source with most", []step{{"1", head}, {"2", head}, {"2", head}, {"3", idle}}, "1"},
		{"heads before idle", []step{{"1", idle}, {"1", idle}, {"2", head}, {"1", idle}}, "2"},
		{"body before idle", []step{{"1", idle}, {"1", idle}, {"2", body}, {"1", idle}}, "2"},
		{"unused before idle", []step{{"1", idle}, {"1", idle}, {"2", func(*Conn) {}}, {"1", idle}}, "2"},
		{"unread before idle", []step{{"1", idle}, {"1", unread}, {"1", busy}, {"1", idle}}, "1"},
		{"head before unread", []step{{"1", idle}, {"1", unread}, {"1", busy}, {"1", head}}, "3"},
		{"rest of a body before idle", []step{{"1", idle}, {"1", busy}, {"1", rest}, {"1", idle}}, "2"},
		{"head over the limit before idle", []step{{"1", idle}, {"1", idle}, {"2", func(conn *Conn) { conn.setState(http.StateActive) }}, {"1", idle}}, "2"},
		{"oldest idle", []step{{"1", busy}, {"1", idle}, {"1", idle}, {"1", busy}}, "1"},
		{"nothing to evict", []step{{"1", busy}, {"1", busy}, {"1", busy}, {"1", busy}}, "-1"},
	} {
		clock := &stepClock{now: time.Unix(1000, 0)}
		pool := New(Limits{}, clock)
		pool.maxConnections = 4
		port := pool.Listen(nil, PortOptions{}).(*port)
		var conns []*fakeConn
		for _, step := range test.steps {
			conns = append(conns, &fakeConn{from: "10.0.0." + step.from})
			step.do(pool.add(port, conns[len(conns)-1]))
			clock.now = clock.now.Add(2 * minStall)
		}
		var evicted []string
		if pool.add(port, &fakeConn{from: "10.0.0.9"}) == nil {
			evicted = append(evicted, "-1")
		}
		for i, conn := range conns {
			if conn.closed.Load() {
				evicted = append(evicted, fmt.Sprint(i))
			}
		}
		if got := strings.Join(evicted, " "); got != test.evicted {
			t.Errorf("%s: evicted %q, expected %q", test.name, got, test.evicted)
		}
	}
}

// TestMemoryIsReturned guards against a pool whose memory is used up by connections that were closed and by requests that have ended: it would evict
// ordinary callers.
func TestMemoryIsReturned(t *testing.T) {
	pool := New(Limits{}, core.SystemClock{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		_, _ = io.WriteString(writer, "ok")
	})}
	pool.Serve(server)
	go func() { _ = server.Serve(pool.Listen(listener, PortOptions{})) }()
	defer func() { _ = server.Close() }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(conn)
	for i, request := range []string{
		"POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", "POST /not HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "POST /read HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	} {
		if _, err := io.WriteString(conn, request); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("request %d: %v %v", i, response, err)
		}
		_, _ = io.Copy(io.Discard, response.Body)
	}
	expect := func(what string, connections int, bytes int64) {
		t.Helper()
		for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
			pool.mutex.Lock()
			reached := len(pool.connections) == connections && pool.headBytes == bytes && pool.totalBytes == bytes
			pool.mutex.Unlock()
			if reached {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d connections, %d and %d bytes", what, len(pool.connections), pool.headBytes, pool.totalBytes)
			}
		}
	}
	expect("idle", 1, connectionBytes)
	_ = conn.Close()
	expect("closed", 0, 0)
}

// TestReadFull guards against a body that is changed by the growth of its buffer, and against memory that is reserved for a length that a caller only states.
func TestReadFull(t *testing.T) {
	for _, length := range []int{0, 1, firstRead, firstRead + 1, 5*firstRead + 7} {
		text := strings.Repeat("0123456789abcde", length/15+1)[:length]
		memory := (&Budget{Limit: 1 << 20}).Memory()
		if body, err := memory.ReadFull(strings.NewReader(text), int64(length)); err != nil || string(body) != text || memory.reserved != int64(length) {
			t.Errorf("%d bytes: got %d, reserved %d: %v", length, len(body), memory.reserved, err)
		}
	}
	budget := &Budget{Limit: 1 << 20}
	if _, err := budget.Memory().ReadFull(strings.NewReader("short"), 1<<30); err != io.ErrUnexpectedEOF || budget.used.Load() != firstRead {
		t.Errorf("a stated length: %v, reserved %d", err, budget.used.Load())
	}
}

// TestReadAll guards against a body that takes more memory than it has reserved while its buffer grows, against one that is taken as whole although its
// sender broke it off, and against the loss of what was read when the memory is used up.
func TestReadAll(t *testing.T) {
	text := strings.Repeat("0123456789abcde", 1<<20/15)
	for _, test := range []struct {
		length, limit, memory int
		cause, expected       error
	}{
		{length: 0, limit: 100, memory: 1 << 20},
		{length: 99, limit: 100, memory: 1 << 20},
		{length: 5000, limit: 100, memory: 100},
		{length: 100_000, limit: 1 << 20, memory: 192 << 10},
		{length: 1 << 19, limit: 1 << 20, memory: 300_000, expected: ErrMemory},
		{length: 5000, limit: 1 << 20, memory: 1 << 20, cause: io.ErrUnexpectedEOF, expected: io.ErrUnexpectedEOF},
	} {
		source := io.Reader(strings.NewReader(text[:test.length]))
		if test.cause != nil {
			source = io.MultiReader(source, iotest.ErrReader(test.cause))
		}
		budget := &Budget{Limit: int64(test.memory)}
		memory := budget.Memory()
		body, err := memory.ReadAll(source, int64(test.limit))
		if err != test.expected || string(body) != text[:len(body)] || err == nil && len(body) != min(test.length, test.limit) || err == ErrMemory && len(body) < test.memory/4 {
			t.Errorf("%+v: %d bytes, %v", test, len(body), err)
		}
		if used := budget.used.Load(); used < int64(cap(body)) || used > budget.Limit {
			t.Errorf("%+v: buffer of %d bytes, reserved %d", test, cap(body), used)
		}
		if memory.Release(); budget.used.Load() != 0 {
			t.Errorf("%+v: %d bytes stay reserved", test, budget.used.Load())
		}
	}
}

// TestEndlessHeaderBlock guards against an HTTP/2 connection whose header block exceeds the limit and which the server keeps for a second with its memory,
// also when the client is gone, so that many of them opened one after the other exceed the memory. The limit counts only until the first request.
func TestEndlessHeaderBlock(t *testing.T) {
	pool := New(Limits{}, core.SystemClock{})
	port := pool.Listen(nil, PortOptions{}).(*port)
	for _, test := range []struct {
		name   string
		before func(*Conn)
		closed bool
	}{
		{"first request", func(*Conn) {}, true},
		{"rest of a rejected body", func(conn *Conn) { conn.multiplexed = true }, false},
		{"body", func(conn *Conn) { conn.setState(http.StateActive) }, false},
	} {
		inner := &fakeConn{from: "10.0.0.1"}
		conn := pool.add(port, inner)
		test.before(conn)
		var err error
		for range 2 * maxHeadReceived / 4096 {
			if _, err = conn.Read(make([]byte, 4096)); err != nil {
				break
			}
		}
		if inner.closed.Load() != test.closed || (err != nil) != test.closed || conn.headBytes > connectionBytes+headFactor*(maxHeadReceived+4096) {
			t.Errorf("%s: closed %v, %v, charged %d bytes", test.name, inner.closed.Load(), err, conn.headBytes)
		}
	}
}

// TestClosedConnections guards against memory that is taken as free when a connection is closed, although its goroutine, its head or the garbage that they
// leave is still there: reads of other heads wait for a cycle of the collector, those of requests do not, and a connection that waits ends when it is evicted.
func TestClosedConnections(t *testing.T) {
	pool := New(Limits{}, &stepClock{})
	pool.maxClosedBytes = 4 * connectionBytes
	port := pool.Listen(nil, PortOptions{}).(*port)
	waiting, evicted, busy := pool.add(port, &fakeConn{from: "1.1.1.1"}), pool.add(port, &fakeConn{from: "1.1.1.1"}), pool.add(port, &fakeConn{from: "1.1.1.1"})
	busy.setState(http.StateActive)
	var closed []*Conn
	for range 5 {
		closed = append(closed, pool.add(port, &fakeConn{from: "1.1.1.1"}))
		_ = closed[len(closed)-1].Close()
	}
	reads := make(chan *Conn, 2)
	for _, conn := range []*Conn{waiting, evicted} {
		go func() { _, _ = conn.Read(make([]byte, 100)); reads <- conn }()
	}
	_, _ = busy.Read(make([]byte, 100))
	for isWaiting := 0; isWaiting < 2 && len(reads) == 0; time.Sleep(time.Millisecond) {
		pool.mutex.Lock()
		isWaiting = waiting.reads + evicted.reads
		pool.mutex.Unlock()
	}
	_ = evicted.Close()
	if first := <-reads; first != evicted {
		t.Error("a read went on while the goroutines of closed connections had not ended")
	}
	for _, conn := range append(closed, evicted) {
		conn.setState(http.StateClosed)
	}
	<-reads
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		pool.mutex.Lock()
		now := pool.closed
		pool.mutex.Unlock()
		if now.endingBytes == 0 && now.garbageBytes <= pool.maxClosedBytes/2 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes ending, %d of garbage", now.endingBytes, now.garbageBytes)
		}
	}
}

// waitClock is a clock on which each wait ends at once: after runs in place of it, or the whole duration passes.
type waitClock struct {
	stepClock
	waits []time.Duration
	after func() // nil lets the wait time out
}

func (clock *waitClock) After(duration time.Duration) <-chan time.Time {
	clock.waits = append(clock.waits, duration)
	if clock.after != nil {
		clock.after()
		return nil
	}
	clock.now = clock.now.Add(duration)
	fired := make(chan time.Time, 1)
	fired <- clock.now
	return fired
}

// TestHeadWaitsOnce guards against a wait for the collector of up to 1 s in each read of a head: a head of 64 KB takes 16 reads, so while closed connections
// stayed over their limit, ordinary callers met the server's time limit for a head.
func TestHeadWaitsOnce(t *testing.T) {
	clock := &waitClock{stepClock: stepClock{now: time.Unix(1000, 0)}}
	pool := New(Limits{}, clock)
	conn := pool.add(pool.Listen(nil, PortOptions{}).(*port), &fakeConn{from: "10.0.0.1"})
	over := pool.maxClosedBytes + 1
	readHead := func() []time.Duration {
		clock.waits = nil
		for range 16 {
			pool.closed.garbageBytes = over
			_, _ = conn.Read(make([]byte, 4096))
		}
		return clock.waits
	}
	collectAfter := func(duration time.Duration) func() {
		return func() {
			clock.now = clock.now.Add(duration)
			pool.collect()
		}
	}
	for _, test := range []struct {
		name     string
		after    func()
		expected []time.Duration
	}{
		{"lasting excess", nil, []time.Duration{time.Second}},
		{"next head", nil, []time.Duration{time.Second}},
		{"excess that ends and returns", collectAfter(400 * time.Millisecond), []time.Duration{time.Second, 600 * time.Millisecond, 200 * time.Millisecond}},
	} {
		clock.after = test.after
		if waits := readHead(); !slices.Equal(waits, test.expected) {
			t.Errorf("%s: waits %v, expected %v", test.name, waits, test.expected)
		}
		conn.setState(http.StateActive)
		conn.setState(http.StateIdle)
	}
}

// fakeListener accepts connections without end.
type fakeListener struct{ net.Listener }

func (fakeListener) Accept() (net.Conn, error) { return &fakeConn{from: "10.0.0.1"}, nil }

// TestAcceptWaitsOnce guards against a wait for the collector of up to 1 s for each connection: Accept is serial, so while closed connections stayed over
// their limit, each port, that of readiness too, accepted one connection a second.
func TestAcceptWaitsOnce(t *testing.T) {
	clock := &waitClock{stepClock: stepClock{now: time.Unix(1000, 0)}}
	pool := New(Limits{}, clock)
	ports := []net.Listener{pool.Listen(fakeListener{}, PortOptions{}), pool.Listen(fakeListener{}, PortOptions{Share: 0.125})}
	for period := range 2 {
		clock.waits = nil
		pool.closed.garbageBytes = pool.maxClosedBytes + 1
		for range 4 {
			for _, port := range ports {
				if _, err := port.Accept(); err != nil {
					t.Fatal(err)
				}
			}
		}
		if !slices.Equal(clock.waits, []time.Duration{time.Second}) {
			t.Errorf("period %d: waits %v, expected one of 1 s", period, clock.waits)
		}
		pool.collect()
	}
}
