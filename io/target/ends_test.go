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

// scriptedTarget starts a TCP server that responds to one request on each connection, if kept is set, and runs the script
// for the next one.
func scriptedTarget(t *testing.T, kept bool, script func(conn net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		if kept && readCall(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+identity+"Content-Length: 2\r\n\r\n{}")
		}
		if readCall(reader) {
			script(conn, reader)
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

// identity is the header that a target echoes for callTo.
const identity = "X-Request-Id: R\r\nX-Stage: S\r\nX-Attempt: 2\r\n"

func readCall(reader *bufio.Reader) bool {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return err == nil
}

// TestConnectionEnds guards against a response without a length that ends early and counts as complete, and against a call on
// the connection of a response that allows none after it, or that was followed by further bytes.
func TestConnectionEnds(t *testing.T) {
	stream := event(1, "ab", "null") + event(2, "c", `"stop"`) + endEvent
	const object = `{"vector": [1, 2]}`
	for _, test := range []struct {
		name    string
		status  string
		header  string
		body    string
		stream  bool
		reset   bool
		kind    core.Kind // 0 means success
		outcome core.Outcome
	}{
		{"stream", "HTTP/1.1 200 OK", "", stream, true, false, 0, core.OutcomeDone},
		{"stream, HTTP/1.0", "HTTP/1.0 200 OK", "", stream, true, false, 0, core.OutcomeDone},
		{"stream, Connection: close", "HTTP/1.1 200 OK", "Connection: close\r\n", stream, true, false, 0, core.OutcomeDone},
		{"stream, keep-alive", "HTTP/1.1 200 OK", "Connection: keep-alive\r\n", stream, true, false, 0, core.OutcomeDone},
		{"stream, bytes after it", "HTTP/1.1 200 OK", "", stream + "these bytes", true, false, 0, core.OutcomeDone},
		{"stream with a length, bytes after it", "HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(stream)), stream + "these bytes", true, false, 0, core.OutcomeDone},
		{"stream, inside an event", "HTTP/1.1 200 OK", "", stream[:len(stream)-30], true, false, core.TargetFailed, core.OutcomeDisconnected},
		{"stream, inside its end marker", "HTTP/1.1 200 OK", "", stream[:len(stream)-1], true, false, core.TargetFailed, core.OutcomeDisconnected},
		{"stream, between events", "HTTP/1.1 200 OK", "", event(1, "ab", "null"), true, false, core.TargetFailed, core.OutcomeDisconnected},
		{"stream without an event", "HTTP/1.1 200 OK", "", "", true, false, core.TargetFailed, core.OutcomeDisconnected},
		{"stream, HTTP/1.0, inside an event", "HTTP/1.0 200 OK", "", stream[:len(stream)-30], true, false, core.TargetFailed, core.OutcomeDisconnected},
		{"stream, reset", "HTTP/1.1 200 OK", "", event(1, "ab", "null"), true, true, core.TargetFailed, core.OutcomeDisconnected},
		{"object", "HTTP/1.1 200 OK", "", object, false, false, 0, core.OutcomeDone},
		{"object, HTTP/1.0", "HTTP/1.0 200 OK", "", object, false, false, 0, core.OutcomeDone},
		{"object, HTTP/1.0 with keep-alive", "HTTP/1.0 200 OK", "Connection: keep-alive\r\n", object, false, false, 0, core.OutcomeDone},
		{"object, Connection: close", "HTTP/1.1 200 OK", "Connection: close\r\n", object, false, false, 0, core.OutcomeDone},
		{"object with a length, bytes after it", "HTTP/1.1 200 OK", fmt.Sprintf("Content-Length: %d\r\n", len(object)), object + "these bytes", false, false, 0, core.OutcomeDone},
		{"object, inside", "HTTP/1.1 200 OK", "", object[:9], false, false, core.TargetFailed, core.OutcomeFailed},
		{"object without a byte", "HTTP/1.1 200 OK", "", "", false, false, core.TargetFailed, core.OutcomeFailed},
		{"object, reset", "HTTP/1.1 200 OK", "", object[:9], false, true, core.TargetFailed, core.OutcomeDisconnected},
		{"object, reset after its last byte", "HTTP/1.1 200 OK", "", object, false, true, core.TargetFailed, core.OutcomeDisconnected},
		{"error 500", "HTTP/1.1 500 Failed", "", "why", false, false, core.TargetFailed, core.OutcomeFailed},
		{"error 400", "HTTP/1.1 400 Wrong", "", "why", false, false, core.BadRequest, core.OutcomeRejected},
		{"error 503", "HTTP/1.1 503 Full", "", "why", false, false, core.Overloaded, core.OutcomeRejected},
		{"error 500, reset", "HTTP/1.1 500 Failed", "", "why", false, true, core.TargetFailed, core.OutcomeFailed},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept=%v", test.name, kept), func(t *testing.T) {
				t.Parallel()
				var reused atomic.Int64
				address := scriptedTarget(t, kept, func(conn net.Conn, reader *bufio.Reader) {
					_, _ = io.WriteString(conn, test.status+"\r\n"+identity+test.header+"\r\n"+test.body)
					if test.reset {
						time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
						_ = conn.(*net.TCPConn).SetLinger(0)
						return
					}
					if !strings.Contains(test.header, "Content-Length") {
						_ = conn.(*net.TCPConn).CloseWrite()
					}
					if readCall(reader) {
						reused.Add(1)
					}
				})
				client := &Client{}
				defer client.Close()
				call := callTo(address)
				if kept {
					if _, _, err := client.Call(t.Context(), call, "/x", "", []byte("{}")); err != nil {
						t.Fatal(err)
					}
				}
				var info core.TargetInfo
				var err error
				var text strings.Builder
				if test.stream {
					info, err = client.Generate(t.Context(), call, core.GenerateInput{MaxTokens: 50}, func(token core.Token) error {
						text.WriteString(token.Text)
						return nil
					})
				} else {
					var body []byte
					body, info, err = client.Call(t.Context(), call, "/x", "", []byte("{}"))
					text.Write(body)
				}
				switch {
				case (err != nil) != (test.kind != 0) || err != nil && core.AsError(err).Kind != test.kind || info.Outcome != test.outcome:
					t.Errorf("%v, %+v", err, info)
				case err == nil && text.String() != map[bool]string{true: "abc", false: object}[test.stream]:
					t.Errorf("%q", text.String())
				}
				call.Deadline = time.Now().Add(300 * time.Millisecond)
				_, _, _ = client.Call(t.Context(), call, "/x", "", []byte("{}"))
				if reused.Load() > 0 {
					t.Error("the connection was used again")
				}
			})
		}
	}
}
