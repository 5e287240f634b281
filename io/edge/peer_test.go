package edge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/callid"
	"catkincove/io/inifmt"
)

// repeatingServer starts a server that sends each response a second time when the next request on its connection has been
// read.
func repeatingServer(t *testing.T, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		var previous []byte
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, request)
			response := recorder.Result()
			response.ContentLength = int64(recorder.Body.Len())
			var encoded bytes.Buffer
			_ = response.Write(&encoded)
			_, _ = conn.Write(previous)
			previous = encoded.Bytes()
			if _, err := conn.Write(previous); err != nil {
				return
			}
		}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// TestRepeatedPeerResponses guards against the pieces of one request that are given to another, because the response of another
// daemon arrives a second time when its connection is in use again; and against a daemon that rejects responses of an older
// one, which echoes no ID.
func TestRepeatedPeerResponses(t *testing.T) {
	handler := http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var message piecesRequest
		if readJSON(writer, request, &message) {
			writeJSON(writer, piecesReply{Handles: []string{"result of " + message.Attempt}})
		}
	})
	older := httptest.NewServer(handler)
	t.Cleanup(older.Close)
	for _, test := range []struct {
		name, address string
		minServed     int
	}{
		{"repeated responses", repeatingServer(t, callid.Echo(handler)), 10}, // each copy costs one call
		{"older daemon", older.Listener.Addr().String(), 20},
		{"repeated responses of an older daemon", repeatingServer(t, handler), 20},
	} {
		daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: plainDialect{}, Clock: core.SystemClock{}})
		served := 0
		for i := range 20 {
			attempt := fmt.Sprint("a", i)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			var reply piecesReply
			err := daemon.callPeer(ctx, test.address, pathPieces, piecesRequest{Attempt: attempt}, &reply)
			cancel()
			if err != nil {
				continue
			}
			served++
			if got := fmt.Sprint(reply.Handles); got != "[result of "+attempt+"]" {
				t.Errorf("%s: request %s got %s", test.name, attempt, got)
			}
		}
		if served < test.minServed {
			t.Errorf("%s: %d of 20 calls were served", test.name, served)
		}
	}
}

// TestRepeatedRefusalOfForwardingDaemon guards against a request that counts as not run although another daemon forwards it: that daemon has rejected an
// earlier request of this one, and the rejection, which names no attempt, arrives a second time on the connection in use again.
func TestRepeatedRefusalOfForwardingDaemon(t *testing.T) {
	const requests = 20
	var ran sync.Map
	address := repeatingServer(t, callid.Echo(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		attempt := request.Header.Get("Attempt")
		if strings.HasPrefix(attempt, "rejected") {
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		ran.Store(attempt, true)
		writer.Header().Set("Attempt", attempt)
		writer.Header().Set("Digest", "seal")
		_, _ = io.WriteString(writer, "answer")
	})))
	daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: headDialect{}, Clock: core.SystemClock{}})
	served := 0
	for i := range requests {
		attempt := fmt.Sprint([]string{"rejected", "served"}[i%2], i)
		incoming := httptest.NewRequest(http.MethodPost, "/book/1", nil)
		incoming.Header.Set("Attempt", attempt)
		received := &request{caller: core.CallerRequest{Attempt: attempt}, incoming: incoming, startedAt: daemon.clock.Now()}
		relay := &relay{daemon: daemon, request: received, attempt: daemon.forwardsTo(received, &peer{record: record{Peer: address}})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, err := relay.openForwarded(ctx)
		if err == nil {
			served++
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		cancel()
		if _, is := ran.Load(attempt); is && err != nil && core.AsError(err).Kind == core.Unavailable {
			t.Errorf("%s was forwarded and counts as not run: %v", attempt, err)
		}
	}
	if served < requests/2-2 {
		t.Errorf("%d of %d requests were served", served, requests/2)
	}
}

// TestRepeatedResponseOfForwardingDaemon guards against a second copy of a target's response that another daemon has passed on and that is read as the response
// to another request, where its attempt proves nothing: both requests name none, or both name the same one, whose first sending the target has rejected.
func TestRepeatedResponseOfForwardingDaemon(t *testing.T) {
	const requests = 20
	var received sync.Map // number of requests by attempt
	address := repeatingServer(t, callid.Echo(http.HandlerFunc(func(writer http.ResponseWriter, incoming *http.Request) {
		writer.Header().Set("Digest", "seal")
		attempt := incoming.Header.Get("Attempt")
		if attempt != "" && !strings.HasSuffix(incoming.URL.Path, "/unnamed") {
			writer.Header().Set("Attempt", attempt)
		}
		if _, again := received.LoadOrStore(attempt, true); attempt != "" && !again {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = io.WriteString(writer, strings.TrimPrefix(incoming.URL.Path, pathForward))
	})))
	daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: headDialect{}, Clock: core.SystemClock{}})
	send := func(attempt, path string) (int, string) {
		incoming := httptest.NewRequest(http.MethodPost, path, nil)
		incoming.Header.Set("Attempt", attempt)
		received := &request{caller: core.CallerRequest{Attempt: attempt}, incoming: incoming, startedAt: daemon.clock.Now()}
		relay := &relay{daemon: daemon, request: received, attempt: daemon.forwardsTo(received, &peer{record: record{Peer: address}})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		response, err := relay.openForwarded(ctx)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		body, _ := io.ReadAll(response.Body)
		return response.StatusCode, string(body)
	}
	for i := range requests {
		path := fmt.Sprint("/book/", i)
		if status, body := send("", path); status != http.StatusOK || body != path {
			t.Errorf("%s without an attempt: status %d, %s", path, status, body)
		}
	}
	if status, text := send("b", "/unnamed"); status != 0 {
		t.Errorf("response that names no attempt, to one that does: status %d, %s", status, text)
	}
	for i := range requests {
		attempt, path := fmt.Sprint("a", i), fmt.Sprint("/cancel/", i)
		if status, _ := send(attempt, path); status != http.StatusServiceUnavailable {
			t.Errorf("%s at first: status %d", attempt, status)
		}
		if status, _ := send(attempt, path); status != http.StatusOK {
			t.Errorf("%s was run and has status %d", attempt, status)
		}
	}
}

// TestPeerBytesWithoutEnd guards against a daemon that reads, and keeps in memory, the head or the body of another daemon's response whatever
// its length.
func TestPeerBytesWithoutEnd(t *testing.T) {
	// 64 KB of a head, 6 MB in this daemon's socket buffer and 64 KB in that of the other.
	const maxHead = 64<<10 + 6<<20 + 64<<10
	for _, test := range []struct {
		name, begin, then string
		maxAccepted       int
	}{
		{"no response", "", "\x00\x01\xfe no answer ", maxHead},
		{"header lines", "HTTP/1.1 200 OK\r\n", "X: y\r\n", maxHead},
		{"body", "HTTP/1.1 200 OK\r\n\r\n", "bytes", maxHead + maxPeerMessage},
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = listener.Close() })
		accepted := make(chan int, 1)
		go func() {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer func() { _ = conn.Close() }()
			_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10) // the kernel doubles it
			_, _ = conn.Write([]byte(test.begin))
			chunk := bytes.Repeat([]byte(test.then), 1000)
			sum := 0
			for sum < 16*test.maxAccepted {
				count, err := conn.Write(chunk)
				if sum += count; err != nil {
					break
				}
			}
			accepted <- sum
		}()
		daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: plainDialect{}, Clock: core.SystemClock{}})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		var reply piecesReply
		if err := daemon.callPeer(ctx, listener.Addr().String(), pathPieces, piecesRequest{}, &reply); err == nil || ctx.Err() != nil {
			t.Errorf("%s: %v", test.name, err)
		}
		cancel()
		if sum := <-accepted; sum > test.maxAccepted {
			t.Errorf("%s: %d bytes were accepted", test.name, sum)
		}
	}
}
