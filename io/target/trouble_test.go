package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// repeatingTarget starts a server that sends each response a second time when the next request on its connection has been read.
// It rejects every third attempt and all orders.
func repeatingTarget(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	respond := func(request *http.Request) string {
		status, body := "200 OK", fmt.Sprintf(`{"attempt": %q}`, request.Header.Get(headerAttempt))
		switch {
		case request.URL.Path == "/load":
			body = `{"start": "s1", "running": 3, "age_ms": 1}`
		case request.URL.Path == "/cache/events":
			body = `{"events": [{"sequence": 4, "block": "00000000000000ff", "stored": true}]}`
		case request.URL.Path == "/orders":
			status, body = "409 Conflict", "{}"
		case len(request.Header.Get(headerAttempt))%3 == 0:
			status, body = "503 Full", "full"
		}
		return fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Stage: %s\r\nX-Attempt: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, request.Header.Get(headerRequest), request.Header.Get(headerStage), request.Header.Get(headerAttempt), len(body), body)
	}
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		previous := ""
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(conn, previous)
			previous = respond(request)
			if _, err := io.WriteString(conn, previous); err != nil {
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

// TestRepeatedResponses guards against a response that is taken for the response to another call, load report or order,
// because the target sends it a second time when its connection is in use again: an order that was rejected would count
// as accepted, and a call that ran as rejected.
func TestRepeatedResponses(t *testing.T) {
	address := repeatingTarget(t)
	client := &Client{}
	defer client.Close()
	ctx := t.Context()
	served, reports := 0, 0
	for i := range 60 {
		call := callTo(address)
		call.Attempt = []int{7, 42, 333}[i%3] // the last one is rejected
		body, _, err := client.Call(ctx, call, "/x", "", []byte("{}"))
		switch {
		case err == nil && string(body) != fmt.Sprintf(`{"attempt": "%d"}`, call.Attempt):
			t.Errorf("attempt %d got %s", call.Attempt, body)
		case err == nil:
			served++
		case (core.AsError(err).Kind == core.Overloaded) && call.Attempt != 333:
			t.Errorf("attempt %d ran and counts as rejected: %v", call.Attempt, err)
		}
		switch i % 4 {
		case 0:
			report, err := client.Load(ctx, address)
			if err == nil && (report.StartID != "s1" || report.Running != 3) {
				t.Errorf("round %d: load report %+v", i, report)
			}
			if err == nil {
				reports++
			}
		case 1:
			if events, err := client.CacheEvents(ctx, address, 3); err == nil && fmt.Sprint(events) != "[{4 255 true}]" {
				t.Errorf("round %d: cache events %v", i, events)
			}
		case 2, 3:
			if i%4 == 3 {
				_, _ = client.Load(ctx, address) // its copy has status 200
			}
			if err := client.Order(ctx, address, core.Order{}); err == nil || core.AsError(err).Kind != core.Conflict {
				t.Errorf("round %d: order: %v, want that it was rejected", i, err)
			}
		}
	}
	if served < 10 || reports < 10 {
		t.Errorf("%d calls were served and %d load reports received", served, reports)
	}
}

// TestBytesWithoutEnd guards against a process that reads, and keeps in memory, whatever a target in trouble sends: bytes
// that are no response, or belong to none, may come until the connection is closed.
func TestBytesWithoutEnd(t *testing.T) {
	// The limits of the client on a head, a body and what follows it, 6 MB in its socket buffer and 64 KB in that of the target.
	const maxBody = 1 << 20
	const maxAccepted = 64<<10 + maxBody + maxEventLine + 6<<20 + 64<<10
	ok := "HTTP/1.1 200 OK\r\n" + identity
	for _, test := range []struct {
		name        string
		stream      bool
		begin, then string
		complete    bool // the bytes come after a complete response
	}{
		{"no response", false, "", "\x00\x01\xfe no answer ", false},
		{"status line", false, "HTTP/1.1 200 ", "OK", false},
		{"header line", false, ok + "X-Long: ", "a", false},
		{"header lines", false, ok, "X: y\r\n", false},
		{"interim responses", false, "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n", false},
		{"body", false, ok + "\r\n", "[1,", false},
		{"chunks", false, ok + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", false},
		{"chunk extension", false, ok + "Transfer-Encoding: chunked\r\n\r\n5;", "x", false},
		{"trailer", false, ok + "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "X: y\r\n", false},
		{"body of an error", false, "HTTP/1.1 500 Failed\r\n" + identity + "\r\n", "why ", false},
		{"body of a rejection", false, "HTTP/1.1 503 Full\r\n" + identity + "\r\n", "why ", false},
		{"body of another attempt", false, "HTTP/1.1 200 OK\r\nX-Attempt: 9\r\n\r\n", "stale", false},
		{"after a body", false, ok + "Content-Length: 2\r\n\r\n{}", "extra", true},
		{"line of an event", true, ok + "\r\ndata: ", "x", false},
		{"lines of an event", true, ok + "\r\n", "data: x\n", false},
		{"event IDs", true, ok + "\r\n", "id: 1\n", false},
		{"comments", true, ok + "\r\n", ": still here\n", false},
		{"empty lines", true, ok + "\r\n", "\n", false},
		{"after the end marker", true, ok + "\r\n" + event(1, "ab", `"stop"`) + endEvent, "extra", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted := make(chan int, 1)
			address := scriptedTarget(t, false, func(conn net.Conn, _ *bufio.Reader) {
				_ = conn.(*net.TCPConn).SetWriteBuffer(32 << 10) // the kernel doubles it
				_, _ = io.WriteString(conn, test.begin)
				chunk := []byte(strings.Repeat(test.then, 1+4096/len(test.then)))
				sum := 0
				for sum < 16*maxAccepted {
					count, err := conn.Write(chunk)
					if sum += count; err != nil {
						break
					}
				}
				accepted <- sum
			})
			client := &Client{MaxBody: maxBody, TokenGap: 2 * time.Second}
			defer client.Close()
			call := callTo(address)
			call.FirstByte = 2 * time.Second
			var err error
			if test.stream {
				_, err = client.Generate(t.Context(), call, core.GenerateInput{MaxTokens: 50}, func(core.Token) error { return nil })
			} else {
				_, _, err = client.Call(t.Context(), call, "/x", "", []byte("{}"))
			}
			if (err == nil) != test.complete {
				t.Errorf("error %v", err)
			}
			select {
			case sum := <-accepted:
				if sum > maxAccepted {
					t.Errorf("%d bytes were accepted", sum)
				}
			case <-time.After(4 * time.Second):
				t.Error("the connection stays open")
			}
		})
	}
}
