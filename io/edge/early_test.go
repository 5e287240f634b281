package edge

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"catkincove/core"
)

// earlyTarget is a target that responds to the head of a request, never reads its body, and ends the connection.
func earlyTarget(t *testing.T, respond func(attempt string) string, end func(conn *net.TCPConn)) (address string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if request, err := http.ReadRequest(bufio.NewReaderSize(conn, 512)); err == nil {
					_, _ = io.WriteString(conn, respond(request.Header.Get("Attempt")))
					end(conn.(*net.TCPConn))
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// TestEarlyAnswer guards against the part of a response that reaches a caller as a whole one, because the target responded while the upload was still being
// written, without a length, and reset the connection.
func TestEarlyAnswer(t *testing.T) {
	const uploadBytes = 4 << 20 // the limit of a body without one in the routing
	status := func(line, header, body string) func(string) string {
		return func(attempt string) string {
			return "HTTP/1.1 " + line + "\r\n" + targetHeader(attempt) + header + "\r\n" + body
		}
	}
	const events = "Content-Type: text/event-stream\r\n"
	responses := map[string]func(string) string{
		"part": status("200 OK", "", "part of the answer"), "events": status("200 OK", events, streamEvents(1, 3)), "head": status("200 OK", "", ""),
		"chunk": status("200 OK", "Transfer-Encoding: chunked\r\n", "4\r\npart\r\n"), "length": status("200 OK", "Content-Length: 100\r\n", "part"),
		"status 000": status("000 ", "", "part of the answer"), "status 000, then 200": func(attempt string) string { return "HTTP/1.1 000 \r\n\r\n" + wholeReply(attempt, "answer").text },
	}
	ends := map[string]func(*net.TCPConn){
		"reset":       func(conn *net.TCPConn) { time.Sleep(3 * time.Millisecond); _ = conn.SetLinger(0) },
		"reset later": func(conn *net.TCPConn) { time.Sleep(50 * time.Millisecond); _ = conn.SetLinger(0) },
		"close":       func(*net.TCPConn) {},
		"half closed": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(50 * time.Millisecond)
			_ = conn.SetLinger(0)
		},
		"close, later": func(*net.TCPConn) { time.Sleep(50 * time.Millisecond) },
	}
	for ending, end := range ends {
		for form, respond := range responses {
			t.Run(form+"/"+ending, func(t *testing.T) {
				daemon := newHeadDaemon(t, earlyTarget(t, respond, end), core.SystemClock{})
				var group sync.WaitGroup
				for i, route := range []string{"unsafe", "safe", "once", "brief", "unsafe", "safe", "once", "brief"} {
					group.Go(func() {
						request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, daemon.front+"/"+route+"/1", bytes.NewReader(make([]byte, uploadBytes)))
						if err != nil {
							t.Error(err)
							return
						}
						request.Host = "h"
						request.Header.Set("Attempt", fmt.Sprint("e", i))
						response, err := http.DefaultClient.Do(request)
						if err != nil {
							return
						}
						defer func() { _ = response.Body.Close() }()
						if body, err := io.ReadAll(response.Body); err == nil && response.StatusCode < http.StatusMultipleChoices {
							t.Errorf("route %s: %d %q counts as whole", route, response.StatusCode, body)
						}
					})
				}
				group.Wait()
			})
		}
	}
}
