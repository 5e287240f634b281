package target

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

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
