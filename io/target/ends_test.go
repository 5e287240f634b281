package target

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/stand/wire"
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
		if kept {
			if id, read := readCall(reader); read {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+strings.Replace(identity, ": R", ": "+id, 1)+"Content-Length: 2\r\n\r\n{}")
			}
		}
		if _, read := readCall(reader); read {
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
const identity = "X-Stage: S\r\nX-Attempt: 2\r\nX-Request-Id: R\r\n"

// readCall reads a call and returns its ID.
func readCall(reader *bufio.Reader) (id string, read bool) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", false
	}
	_, err = io.Copy(io.Discard, request.Body)
	return request.Header.Get(headerRequest), err == nil
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
		{"status 000", "HTTP/1.1 000 ", "", object, false, false, core.TargetFailed, core.OutcomeFailed},
		{"status 099, stream", "HTTP/1.1 099 ", "", stream, true, false, core.TargetFailed, core.OutcomeFailed},
		{"status 000, then 200", "HTTP/1.1 000 \r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK", "", object, false, false, core.TargetFailed, core.OutcomeMismatched},
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
					if _, read := readCall(reader); read {
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

// controlCalls are the calls of a client that name no attempt.
var controlCalls = map[string]func(context.Context, *Client, string) error{
	"load report": func(ctx context.Context, client *Client, address string) error {
		_, err := client.Load(ctx, address)
		return err
	},
	"cache events": func(ctx context.Context, client *Client, address string) error {
		_, err := client.CacheEvents(ctx, address, 0)
		return err
	},
	"order": func(ctx context.Context, client *Client, address string) error {
		return client.Order(ctx, address, core.Order{})
	},
}

// TestCutHead guards against a response whose head ends early and that counts as one without a body, as a rejection, or as the acceptance of an order.
func TestCutHead(t *testing.T) {
	const framed = "Content-Length: 2\r\n"
	for _, test := range []struct{ name, head string }{
		{"length", "HTTP/1.1 200 OK\r\n" + identity + framed + "\r\n"},
		{"chunks", "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: chunked\r\n\r\n"},
		{"neither", "HTTP/1.1 200 OK\r\n" + identity + "\r\n"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n" + identity + "\r\n"},
		{"bare line feeds", strings.ReplaceAll("HTTP/1.1 200 OK\r\n"+identity+framed+"\r\n", "\r", "")},
		{"interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + identity + "\r\nHTTP/1.1 200 OK\r\n" + identity + framed + "\r\n"},
		{"error 400", "HTTP/1.1 400 Wrong\r\n" + identity + framed + "\r\n"},
		{"error 409", "HTTP/1.1 409 Conflict\r\n" + identity + framed + "\r\n"},
		{"error 500", "HTTP/1.1 500 Failed\r\n" + identity + framed + "\r\n"},
		{"error 503", "HTTP/1.1 503 Full\r\n" + identity + "Retry-After: 1\r\n" + framed + "\r\n"},
	} {
		for _, kept := range []bool{false, true} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, kept=%v, reset=%v", test.name, kept, reset), func(t *testing.T) {
					t.Parallel()
					var cut atomic.Int64
					address := scriptedTarget(t, kept, func(conn net.Conn, _ *bufio.Reader) {
						_, _ = io.WriteString(conn, test.head[:cut.Load()])
						if reset {
							time.Sleep(2 * time.Millisecond) // a reset discards what has not been read
							_ = conn.(*net.TCPConn).SetLinger(0)
						}
					})
					client := &Client{}
					defer client.Close()
					useOnce := func(use func() error) {
						if kept {
							if err := use(); err != nil {
								t.Fatal(err)
							}
						}
					}
					for i := 1; i < len(test.head); i++ {
						cut.Store(int64(i))
						call := callTo(address)
						post := func() error { _, _, err := client.Call(t.Context(), call, "/x", "", []byte("{}")); return err }
						useOnce(post)
						_, info, err := client.Call(t.Context(), call, "/x", "", []byte("{}"))
						if err == nil || core.AsError(err).Kind != core.TargetFailed || info.Outcome != core.OutcomeDisconnected {
							t.Errorf("call, %q: %v, %+v", test.head[:i], err, info)
						}
						useOnce(post)
						info, err = client.Generate(t.Context(), call, core.GenerateInput{MaxTokens: 50}, func(core.Token) error { return nil })
						if err == nil || core.AsError(err).Kind != core.TargetFailed || info.Outcome != core.OutcomeDisconnected {
							t.Errorf("stream, %q: %v, %+v", test.head[:i], err, info)
						}
						for name, use := range controlCalls {
							if name == "order" && kept {
								continue // each has a connection of its own
							}
							useOnce(func() error { return use(t.Context(), client, address) })
							if err := use(t.Context(), client, address); err == nil || core.AsError(err).Kind != core.TargetFailed {
								t.Errorf("%s, %q: %v", name, test.head[:i], err)
							}
						}
					}
				})
			}
		}
	}
}

// TestCutFrames guards against the same where target and client speak HTTP/2: the connection ends after each byte.
func TestCutFrames(t *testing.T) {
	const maxTries = 3 // for each length
	const object = `{"vector": [1, 2]}`
	stream := event(1, "ab", "null") + event(2, "c", `"stop"`) + endEvent
	for _, reset := range []bool{false, true} {
		for _, streams := range []bool{false, true} {
			t.Run(fmt.Sprintf("stream=%v, reset=%v", streams, reset), func(t *testing.T) {
				t.Parallel()
				server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.WriteHeader(http.StatusEarlyHints)
					echoIdentity(w, r)
					_, _ = io.WriteString(w, map[bool]string{true: stream, false: object}[streams])
				}))
				server.Config.Protocols = new(http.Protocols)
				server.Config.Protocols.SetUnencryptedHTTP2(true)
				listener := &wire.CutListener{Listener: server.Listener}
				listener.Reset.Store(reset)
				server.Listener = listener
				server.Start()
				defer server.Close()
				// exchange makes two calls and returns how many have succeeded.
				exchange := func() (succeeded int) {
					client := &Client{HTTP2: true}
					defer client.Close()
					call := callTo(server.Listener.Addr().String())
					for range 2 {
						var text strings.Builder
						var err error
						var info core.TargetInfo
						want := object
						if streams {
							want = "abc"
							info, err = client.Generate(t.Context(), call, core.GenerateInput{MaxTokens: 50}, func(token core.Token) error { text.WriteString(token.Text); return nil })
						} else {
							var body []byte
							body, info, err = client.Call(t.Context(), call, "/x", "", []byte("{}"))
							text.Write(body)
						}
						if err == nil {
							succeeded++
						}
						if err == nil && text.String() != want || err != nil && info.Outcome == core.OutcomeRejected {
							t.Errorf("after %d bytes: %q, %v, %+v", listener.Limit.Load(), text.String(), err, info)
						}
					}
					return succeeded
				}
				if exchange() != 2 {
					t.Fatal("calls fail without a cut")
				}
				cut := [3]int{} // by calls that have succeeded
				for limit := range listener.Written.Load() {
					listener.Limit.Store(limit + 1)
					succeeded := exchange()
					// A client that sees the end of the connection before its second call makes that one over another connection.
					for tries := 1; succeeded == 2 && tries < maxTries; tries++ {
						succeeded = exchange()
					}
					cut[succeeded]++
				}
				if cut[0] < 50 || cut[1] < 50 {
					t.Errorf("calls that succeeded before the connection was cut: %v", cut)
				}
			})
		}
	}
}
