package intake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// shortNames returns header lines or entries of a list, each with one of the shortest names that are left.
func shortNames(size int, format string) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		name := string([]byte{letters[i%26], letters[i/26%len(letters)]})
		if more := i / 26 / len(letters); more > 0 {
			name += string(letters[more%len(letters)])
		}
		fmt.Fprintf(&text, format, name)
	}
	return text.String()
}

// TestHeadMemory guards against heads that take more memory than they are charged: the dearest forms of a line, an entry of a list and a byte, parsed and copied as
// for a target.
func TestHeadMemory(t *testing.T) {
	const size, copies = 15_000, 64
	for _, test := range []struct{ name, head string }{
		{"ordinary", "POST /quote/1 HTTP/1.1\r\nHost: x\r\nX-A: 0123456789\r\nX-B: 0123456789\r\n\r\n"},
		{"short lines", "GET / HTTP/1.1\r\nHost: x\r\n" + shortNames(size, "%s:\n") + "\r\n"},
		{"short lines of one name", "GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("a:\n", size/3) + "\r\n"},
		{"short values", "GET / HTTP/1.1\r\nHost: x\r\n" + shortNames(size, "%s:b\n") + "\r\n"},
		{"trailers", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTrailer: " + shortNames(size, "%s,") + "z\r\n\r\n"},
		{"long line", "GET / HTTP/1.1\r\nHost: x\r\nX-A: " + strings.Repeat("a", size) + "\r\n\r\n"},
		{"lines that go on", "GET / HTTP/1.1\r\nHost: x\r\nX-A: a\r\n" + strings.Repeat(" \n", size/2) + "\r\n"},
		{"path", "GET /" + strings.Repeat("a", size) + " HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"escaped path", "GET /" + strings.Repeat("%2f", size/3) + " HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"method", strings.Repeat("A", size) + " / HTTP/1.1\r\nHost: x\r\n\r\n"},
	} {
		var held [copies]struct {
			request *http.Request
			copied  http.Header
		}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range held {
			request, err := http.ReadRequest(bufio.NewReaderSize(strings.NewReader(test.head), 4096))
			if err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
			held[i].request, held[i].copied = request, request.Header.Clone()
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		took, charged := (int64(after.HeapAlloc)-int64(before.HeapAlloc))/copies, headMemory([]byte(test.head))
		if took > charged+connectionBytes {
			t.Errorf("%s: %d bytes take %d of memory, %d are charged", test.name, len(test.head), took, charged)
		}
		runtime.KeepAlive(held)
	}
}

// TestHeadEnd guards against bytes of a body that count as a head, and bytes of a head that do not, however they are split.
func TestHeadEnd(t *testing.T) {
	for _, head := range []string{
		"GET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\n\n", "GET / HTTP/1.1\r\nA: b\r\n\r\n", "\r\n\r\nGET / HTTP/1.1\r\nA: b\n\r\n", "GET / HTTP/1.1\r\nA: b\r\r\n \r\n\r\n", "\r\r\nA\r\n\r\n",
	} {
		text := head + "body\r\n\r\nmore"
		for first := range len(text) {
			for second := first; second < len(text); second++ {
				state := new(requestHead)
				counted := 0
				for _, part := range []string{text[:first], text[first:second], text[second:]} {
					if !state.ended {
						counted += state.add([]byte(part))
					}
				}
				if counted != len(head) || state.bytes != int64(len(head)) || !state.ended {
					t.Fatalf("%q split at %d and %d: %d bytes, ended %v", text, first, second, counted, state.ended)
				}
			}
		}
	}
}

// startServer starts a server whose connections belong to a pool, and returns its address.
func startServer(t *testing.T, pool *Pool, options PortOptions, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: handler, MaxHeaderBytes: DefaultHeadBytes}
	pool.Serve(server)
	go func() { _ = server.Serve(pool.Listen(listener, options)) }()
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// exchange sends on a new connection and returns the status of the response; 0 means that the connection was closed without one.
func exchange(t *testing.T, address, sends string) int {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	_, _ = io.WriteString(conn, sends)
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		if timeout, isNet := err.(net.Error); isNet && timeout.Timeout() {
			t.Fatal("neither a response nor the end of the connection")
		}
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode == http.StatusRequestHeaderFieldsTooLarge {
		if more, _ := io.ReadAll(reader); len(more) > 0 {
			t.Errorf("%q follows the rejection", more)
		}
	}
	return response.StatusCode
}

// TestHeadLimitOfPort guards against heads over the limit that a port states, which were read to the default, against a rejection that is lost because the caller
// still sends, and against one of a head within the limit.
func TestHeadLimitOfPort(t *testing.T) {
	limits := HeadLimits{Bytes: 8_000}
	pool := New(Limits{}, core.SystemClock{})
	address := startServer(t, pool, PortOptions{HeadLimits: func() HeadLimits { return limits }}, func(http.ResponseWriter, *http.Request) {})
	head := func(bytes int) string {
		begin, end := "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\nX-A: ", "\r\n\r\n"
		return begin + strings.Repeat("a", bytes-len(begin)-len(end)) + end + strings.Repeat("\n", 9000)
	}
	for _, test := range []struct {
		name, sends string
		limit       int
		status      int
	}{
		{"within", head(8_000), 8_000, http.StatusOK},
		{"over, whole", head(20_000), 8_000, http.StatusRequestHeaderFieldsTooLarge},
		{"over, without end", head(20_000)[:20_000-4], 8_000, http.StatusRequestHeaderFieldsTooLarge},
		{"over, much more follows", head(20_000) + strings.Repeat("a", 4<<20), 8_000, http.StatusRequestHeaderFieldsTooLarge},
		{"none", head(20_000), 0, http.StatusOK},
		{"higher than the default", head(DefaultHeadBytes + 20_000), 1 << 30, http.StatusRequestHeaderFieldsTooLarge},
	} {
		limits.Bytes = test.limit
		if status := exchange(t, address, test.sends); status != test.status {
			t.Errorf("%s: status %d, expected %d", test.name, status, test.status)
		}
	}
}

// TestRejectedHeadIsFree guards against rejected heads that count against others while their callers have time to read the rejection.
func TestRejectedHeadIsFree(t *testing.T) {
	pool := New(Limits{}, core.SystemClock{})
	address := startServer(t, pool, PortOptions{HeadLimits: func() HeadLimits { return HeadLimits{Bytes: 8_000} }}, func(http.ResponseWriter, *http.Request) {})
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+shortNames(20_000, "%s:\n"))
	if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Fatalf("%v %v", response, err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		pool.mutex.Lock()
		draining, bytes := 0, pool.totalBytes
		for conn := range pool.connections {
			if conn.draining {
				draining++
			}
		}
		pool.mutex.Unlock()
		if draining == 1 && bytes == connectionBytes {
			return
		}
		if draining == 0 && bytes == 0 || time.Now().After(deadline) {
			t.Fatalf("%d connections are open after their rejection, %d bytes count", draining, bytes)
		}
	}
}

// TestHeadTimeoutOfPort guards against heads that take longer than the port allows, and against a time limit on a caller that has sent nothing of a head, or all.
func TestHeadTimeoutOfPort(t *testing.T) {
	const timeout = 300 * time.Millisecond
	pool := New(Limits{}, core.SystemClock{})
	address := startServer(t, pool, PortOptions{HeadLimits: func() HeadLimits { return HeadLimits{Timeout: timeout} }}, func(_ http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
	})
	for _, head := range []string{"GET / HTTP/1.1\r\nHost: x\r\n", "GET / HTTP/1.1\r\nHost: x\r\nbegin of a line"} {
		if status := exchange(t, address, head); status != 0 {
			t.Errorf("a head that stops, %q: status %d", head, status)
		}
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 { // the second head comes on a connection that has been idle
		for _, part := range []string{"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\na", "b"} {
			time.Sleep(2 * timeout)
			_, _ = io.WriteString(conn, part)
		}
		if response, err := http.ReadResponse(reader, nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("a head that comes late and a body that takes long: %v %v", response, err)
		}
	}
}

// TestBufferedHead guards against the memory of a head that the server has read together with the request before it, which was not charged.
func TestBufferedHead(t *testing.T) {
	pool := New(Limits{}, core.SystemClock{})
	address := startServer(t, pool, PortOptions{}, func(_ http.ResponseWriter, request *http.Request) { _, _ = io.Copy(io.Discard, request.Body) })
	lines := "GET / HTTP/1.1\r\nHost: x\r\n" + shortNames(3_000, "%s:\n")
	for _, test := range []struct {
		name, sends string
		charged     int64
	}{
		{"no body", "GET / HTTP/1.1\r\nHost: x\r\n\r\n" + lines, headMemory([]byte(lines))},
		{"body with a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" + lines, headMemory([]byte(lines))},
		{"chunked body", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" + lines, headMemory([]byte(lines))},
		{"nothing behind a body with a length", "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello", 0},
		{"nothing behind a chunked body", "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 0},
	} {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, test.sends)
		if response, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%s: %v %v", test.name, response, err)
		}
		var charged, most int64
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			pool.mutex.Lock()
			charged, most = 0, test.charged+8*serverBuffer
			for conn := range pool.connections {
				if !conn.active && conn.used {
					charged += conn.headBytes - connectionBytes
				}
			}
			pool.mutex.Unlock()
			if charged >= test.charged && charged <= most {
				break
			}
		}
		if charged < test.charged || test.charged == 0 && charged > 0 || charged > most {
			t.Errorf("%s: %d bytes are charged, expected %d at least and %d at most", test.name, charged, test.charged, most)
		}
		_ = conn.Close()
		for deadline := time.Now().Add(5 * time.Second); pool.Connections() > 0 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		}
	}
}

// TestLargeHeadsInProgress guards against requests in progress, which are never evicted, whose heads fill the memory for all: those with large heads are refused
// before they fill half of it, others are served beside them.
func TestLargeHeadsInProgress(t *testing.T) {
	pool := New(Limits{MemoryBytes: 32 << 20, Descriptors: 4000}, core.SystemClock{})
	var begun, refused int
	release := make(chan struct{})
	statuses := make(chan int, 400)
	address := startServer(t, pool, PortOptions{}, func(_ http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/wait" {
			<-release
		}
	})
	large := "GET /wait HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + shortNames(15_000, "%s:\n") + "\r\n"
	const callers = 40
	for range callers {
		go func() { statuses <- exchange(t, address, large) }()
	}
	most := int(pool.maxLargeBytes / headMemory([]byte(large)))
	for len(statuses) < callers-most {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		if status := exchange(t, address, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); status != http.StatusOK {
			t.Errorf("ordinary request: status %d", status)
		}
	}
	close(release)
	for range callers {
		switch status := <-statuses; status {
		case http.StatusOK:
			begun++
		case http.StatusServiceUnavailable, 0:
			refused++
		default:
			t.Errorf("status %d", status)
		}
	}
	if begun == 0 || begun > most || refused == 0 {
		t.Errorf("%d requests with large heads are served and %d refused, at most %d at once fit", begun, refused, most)
	}
	if status := exchange(t, address, large[:4]+"/"+large[9:]); status != http.StatusOK {
		t.Errorf("request with a large head in calm: status %d", status)
	}
}

// linesConn is a connection that sends short lines without end.
type linesConn struct{ fakeConn }

func (conn *linesConn) Read(data []byte) (int, error) {
	return copy(data, strings.Repeat("ab:\n", len(data)/4)), nil
}

// TestEvictedHeadIsNotParsed guards against heads that the server parses although their connection has just been evicted for them, or while it waited for the
// collector: a crowd that is read at once takes the memory that the eviction was to save, and what was not parsed must not count as garbage.
func TestEvictedHeadIsNotParsed(t *testing.T) {
	pool := New(Limits{MemoryBytes: 8 << 20}, core.SystemClock{})
	port := pool.Listen(nil, PortOptions{}).(*port)
	const readBytes = 4 << 10
	charge := headMemory([]byte(strings.Repeat("ab:\n", readBytes/4)))
	parsed, evicted := 0, 0
	var conns []*Conn
	for range 40 {
		conns = append(conns, pool.add(port, &linesConn{fakeConn{from: "10.0.0.1"}}))
	}
	for range 4 {
		for _, conn := range conns {
			switch count, err := conn.Read(make([]byte, readBytes)); {
			case err == nil && count == readBytes:
				parsed++
			case err != nil && count == 0:
				evicted++
			default:
				t.Fatalf("%d bytes, %v", count, err)
			}
		}
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	if evicted == 0 || pool.headBytes > pool.maxHeadBytes {
		t.Errorf("%d reads of evicted heads, %d bytes of heads", evicted, pool.headBytes)
	}
	held := pool.headBytes - int64(len(pool.connections))*connectionBytes
	if closed := pool.closed.endingBytes + pool.closed.garbageBytes; closed+held > int64(parsed)*charge+40*connectionBytes {
		t.Errorf("%d bytes of closed connections and %d of heads count, %d reads of %d were parsed", closed, held, parsed, charge)
	}
}
