package xchg

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"catkincove/core"
)

// FuzzResponse guards against bytes of a target that make the client panic, hang, return a response to another request, take a
// request that was sent for one that was not, or keep a connection on which bytes of the response are left.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200\r\n\r\n", "\x00\xff", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nAttempt: a\r\n\r\nno length", "HTTP/1.0 200 OK\r\nAttempt: a\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\nContent-Length: 2\r\n\r\nhi",
		"HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 None\r\nAttempt: a\r\n\r\nbytes",
		"HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 2\r\n\r\nhiHTTP/1.1 200 OK\r\n",
	} {
		f.Add([]byte(seed))
	}
	response := make(chan []byte, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(connection))
			_, _ = connection.Write(<-response)
			_ = connection.(*net.TCPConn).CloseWrite()
			_, _ = io.Copy(io.Discard, connection)
			_ = connection.Close()
		}
	}()
	f.Fuzz(func(t *testing.T, data []byte) {
		client := &Client{Clock: core.SystemClock{}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		response <- data
		received, err := client.Do(ctx, Request{
			Address: listener.Addr().String(), Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
			Match: func(response *http.Response) bool { return response.Header.Get("Attempt") == "a" },
		})
		switch {
		case err == nil:
			if received.Header.Get("Attempt") != "a" || received.StatusCode < http.StatusOK {
				t.Errorf("%q: returned status %d and header %v", data, received.StatusCode, received.Header)
			}
			_, _ = io.Copy(io.Discard, received.Body)
			_ = received.Body.Close()
		case errors.Is(err, syscall.EADDRNOTAVAIL):
			<-response
			t.Skip("no port is free on this machine")
		case !Sent(err):
			t.Errorf("%q: error says that nothing was sent: %v", data, err)
		}
		if ctx.Err() != nil {
			t.Errorf("%q: the client hangs", data)
		}
		for _, idle := range client.idle {
			for _, conn := range idle {
				if conn.reader.Buffered() > 0 {
					t.Errorf("%q: bytes are left on an idle connection", data)
				}
				if conn.unusable.Load() {
					t.Errorf("%q: an unusable connection is idle", data)
				}
				_ = conn.net.Close()
			}
		}
	})
}
