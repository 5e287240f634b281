package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
)

// repeatingTarget starts a server that sends each response a second time when the next request on its connection has been read.
// It rejects every third attempt and all orders, and repeats the IDs of load reports and cache events if it echoes.
func repeatingTarget(t *testing.T, echoes bool) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	var loads atomic.Int64
	respond := func(request *http.Request) string {
		status, body := "200 OK", fmt.Sprintf(`{"attempt": %q}`, request.Header.Get(headerAttempt))
		if request.Method == http.MethodGet && !echoes {
			request.Header.Del(headerRequest)
		}
		switch {
		case request.URL.Path == "/load":
			body = fmt.Sprintf(`{"start": "s1", "running": %d, "age_ms": 1}`, loads.Add(1))
		case request.URL.Path == "/cache/events":
			body = fmt.Sprintf(`{"events": [{"sequence": 1%s, "block": "00000000000000ff", "stored": true}]}`, request.URL.Query().Get("after"))
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
// as accepted, a call that ran as rejected, and an older load report as made now, which shows a model that the target no longer holds.
func TestRepeatedResponses(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("IDs of reports %v", echoes), func(t *testing.T) { testRepeatedResponses(t, echoes) })
	}
}

func testRepeatedResponses(t *testing.T, echoes bool) {
	address := repeatingTarget(t, echoes)
	client := &Client{}
	defer client.Close()
	ctx := t.Context()
	served, asked, reports, events := 0, 0, 0, 0
	load := func(i int) {
		asked++
		report, err := client.Load(ctx, address)
		if err == nil && (report.StartID != "s1" || report.Running < asked) {
			t.Errorf("round %d: load report %d is %+v", i, asked, report)
		}
		if err == nil {
			reports++
		}
		asked = max(asked, report.Running) // a report may be asked for a second time
	}
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
			load(i)
		case 1:
			got, err := client.CacheEvents(ctx, address, int64(100+i))
			if err == nil && fmt.Sprint(got) != fmt.Sprintf("[{%d 255 true}]", 1100+i) {
				t.Errorf("round %d: cache events %v", i, got)
			}
			if err == nil {
				events++
			}
		case 2, 3:
			if i%4 == 3 {
				load(i) // its copy has status 200
			}
			if err := client.Order(ctx, address, core.Order{}); err == nil || core.AsError(err).Kind != core.Conflict {
				t.Errorf("round %d: order: %v, want that it was rejected", i, err)
			}
		}
	}
	if served < 10 || reports < 30 || events < 15 {
		t.Errorf("%d calls were served, %d of 30 load reports and %d of 15 cache events received", served, reports, events)
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
