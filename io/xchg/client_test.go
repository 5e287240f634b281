package xchg

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/stand/wire"
)

// serveTCP starts a TCP server that runs the script for each connection and then closes the connection.
func serveTCP(t *testing.T, script func(connection net.Conn, reader *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				script(connection, bufio.NewReader(connection))
			}()
		}
	}()
	return listener.Addr().String()
}

func readRequest(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(request.Body)
	return request.Header.Get("Attempt") + ":" + string(body), err
}

func exchangeWith(client *Client, address, attempt string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := client.Do(ctx, Request{
		Address: address, Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Attempt": {attempt}}, Body: []byte("b"),
		Match: func(response *http.Response) bool { return response.Header.Get("Attempt") == attempt },
	})
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func writeResponse(connection net.Conn, attempt, body string) {
	_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt: %s\r\nContent-Length: %d\r\n\r\n%s", attempt, len(body), body)
}

// TestStaleResponsesAreNotReturned guards against a response that is returned for the wrong request: the target sends a
// second response to each request, at once or after a delay, when the next response is expected.
func TestStaleResponsesAreNotReturned(t *testing.T) {
	for _, delay := range []time.Duration{0, 30 * time.Millisecond} {
		address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
			for {
				got, err := readRequest(reader)
				if err != nil {
					return
				}
				attempt, _, _ := strings.Cut(got, ":")
				writeResponse(connection, attempt, "own "+attempt)
				time.Sleep(delay)
				writeResponse(connection, attempt, "extra "+attempt)
			}
		})
		client := &Client{Clock: core.SystemClock{}}
		for i := range 6 {
			attempt := fmt.Sprint("a", i)
			body, err := exchangeWith(client, address, attempt)
			if err != nil || body != "own "+attempt {
				t.Errorf("extra response after %v, request %d: %q, %v", delay, i, body, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// TestSent guards against an error that says "not sent" although the target may have run the request.
func TestSent(t *testing.T) {
	client := &Client{Clock: core.SystemClock{}}
	closed := serveTCP(t, func(net.Conn, *bufio.Reader) {})
	disconnected := serveTCP(t, func(_ net.Conn, reader *bufio.Reader) { _, _ = readRequest(reader) })
	garbage := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "no answer at all\r\n\r\n")
	})
	unresponsive := serveTCP(t, func(_ net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		time.Sleep(3 * time.Second)
	})
	for _, test := range []struct {
		name, address string
		sent          bool
	}{{"closed", closed, true}, {"lost response", disconnected, true}, {"garbage", garbage, true}, {"silent", unresponsive, true}, {"no listener", closedPort(t), false}} {
		if _, err := exchangeWith(client, test.address, "a"); err == nil || Sent(err) != test.sent {
			t.Errorf("%s: %v, sent %v", test.name, err, Sent(err))
		}
	}
}

// closedPort returns an address that refuses connections. On a shared loopback address, a listener of another test process could
// take the port meanwhile, or the connection could be made to itself.
func closedPort(t *testing.T) string {
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+os.Getpid()%250, 1+os.Getpid()/250%250))
	if err != nil {
		t.Fatal(err)
	}
	defer wire.CloseListener(listener)
	return listener.Addr().String()
}

// TestConnectionReuse guards against a new connection for each request, and against requests on connections that the
// target has closed.
func TestConnectionReuse(t *testing.T) {
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		for i := 0; i < 3; i++ { // the target closes the connection after three responses without a Connection: close header
			got, err := readRequest(reader)
			if err != nil {
				return
			}
			attempt, _, _ := strings.Cut(got, ":")
			writeResponse(connection, attempt, "own "+attempt)
		}
	})
	client := &Client{Clock: core.SystemClock{}}
	for i := range 9 {
		if _, err := exchangeWith(client, address, fmt.Sprint("k", i)); err != nil {
			t.Errorf("request %d: %v", i, err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	if opened := client.Opened(); opened != 3 {
		t.Errorf("%d connections for 9 requests", opened)
	}
}

// TestRefusedAttemptChangesConnection guards against the second copy of a refusal that counts as the response to the same attempt, sent again over the
// connection that brought the refusal, and against a new connection for each refusal.
func TestRefusedAttemptChangesConnection(t *testing.T) {
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s X\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Status"))
		}
	})
	var many []string
	for i := range maxFailedAttempts + 2 {
		many = append(many, fmt.Sprintf("m%d 503", i))
	}
	for _, test := range []struct {
		name     string
		requests []string // attempt and status of its response
		opened   int64
	}{
		{"another attempt", []string{"a 503", "b 200"}, 1},
		{"the same attempt", []string{"a 503", "a 200"}, 2},
		{"the same attempt after an error", []string{"a 500", "a 200"}, 2},
		{"the same attempt after a redirection", []string{"a 302", "a 200"}, 2},
		{"the same attempt after others", []string{"a 421", "b 503", "c 200", "a 200"}, 2},
		{"the same attempt twice", []string{"a 421", "a 503", "b 200", "a 200"}, 3},
		{"after a success", []string{"a 200", "a 200"}, 1},
		{"no attempt", []string{" 503", " 200"}, 1},
		{"more attempts than a connection remembers", many, 2},
	} {
		client := &Client{Clock: core.SystemClock{}}
		for _, request := range test.requests {
			attempt, status, _ := strings.Cut(request, " ")
			response, err := client.Do(t.Context(), Request{
				Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Status": {status}}, Attempt: attempt, HasBody: true,
			})
			if err != nil {
				t.Fatalf("%s: %v", test.name, err)
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if client.Opened() != test.opened {
			t.Errorf("%s: %d connections opened, want %d", test.name, client.Opened(), test.opened)
		}
	}
}

// TestLongAttemptIDs guards against connections that keep megabytes of attempts' IDs in memory: callers choose the IDs, of up to 64 KB.
func TestLongAttemptIDs(t *testing.T) {
	const idBytes, conns, maxHeld = 60_000, maxIdleConns, 4 << 20
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			_, _ = io.WriteString(connection, "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
		}
	})
	client := &Client{Clock: core.SystemClock{}}
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	for round := range maxFailedAttempts {
		var opened, group sync.WaitGroup
		opened.Add(conns)
		for i := range conns {
			group.Go(func() {
				response, err := client.Do(t.Context(), Request{
					Address: address, Method: http.MethodPost, URI: "/", Host: "h", Attempt: fmt.Sprint(round, "-", i, strings.Repeat("x", idBytes)), HasBody: true,
				})
				opened.Done()
				if err != nil {
					t.Error(err)
					return
				}
				opened.Wait() // all connections are in use at the same time
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			})
		}
		group.Wait()
	}
	if held := int64(heap()) - int64(before); held > maxHeld {
		t.Errorf("%d idle connections to one target hold %d MB", conns, held>>20)
	}
	client.CloseIdle(address)
}

// TestResponseBeforeBodyIsRead guards against losing the response when the target responds before it has read a long body;
// on a reused connection the target would read the rest of the body as the next request.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		writeResponse(connection, request.Header.Get("Attempt"), "early")
		_, _ = io.Copy(io.Discard, request.Body)
	})
	client := &Client{Clock: core.SystemClock{}}
	response, err := client.Do(t.Context(), Request{
		Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Attempt": {"e"}}, Body: make([]byte, 4<<20),
	})
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if string(body) != "early" || err != nil {
		t.Errorf("%q, %v", body, err)
	}
}

// TestStatusBelowHundred guards against a status that no response has, which was passed over like an interim response, so that what followed was taken for the
// response; whether the request has run is unknown.
func TestStatusBelowHundred(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 2\r\n\r\nok"
	for _, sent := range []string{
		"HTTP/1.1 000 \r\n\r\n" + ok, "HTTP/1.1 000 \r\nAttempt: a\r\nContent-Length: 0\r\n\r\n" + ok, "HTTP/1.1 099 Odd\r\n\r\n" + ok,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 \r\n\r\n" + ok, "HTTP/1.1 000 \r\nContent-Length: 2\r\n\r\nno" + ok,
	} {
		address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
			if _, err := readRequest(reader); err == nil {
				_, _ = connection.Write([]byte(sent))
			}
		})
		body, err := exchangeWith(&Client{Clock: core.SystemClock{}}, address, "a")
		var failed *Error
		if !errors.As(err, &failed) || !failed.Sent {
			t.Errorf("%q: got %q, %v", sent, body, err)
		}
	}
}

// TestTruncatedBody guards against a truncated response that counts as complete.
func TestTruncatedBody(t *testing.T) {
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		_, _ = readRequest(reader)
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 10\r\n\r\nhalf")
	})
	if body, err := exchangeWith(&Client{Clock: core.SystemClock{}}, address, "a"); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("%q, %v", body, err)
	}
}

// TestConnectionEnds guards against a response that ends with its connection and is cut, and against a request on the connection
// of a response that allows none after it, or that was followed by further bytes.
func TestConnectionEnds(t *testing.T) {
	const body = "own answer"
	const chunked = "Transfer-Encoding: chunked\r\n\r\na\r\n" + body + "\r\n0\r\n\r\n"
	const framed = "Content-Length: 10\r\n"
	for _, test := range []struct {
		name     string
		response string
		reset    bool
		complete bool
	}{
		{"no length", "HTTP/1.1 200 OK\r\nAttempt: own\r\n\r\n" + body, false, true},
		{"no length, keep-alive", "HTTP/1.1 200 OK\r\nAttempt: own\r\nConnection: keep-alive\r\nKeep-Alive: timeout=9\r\n\r\n" + body, false, true},
		{"no length, Connection: close", "HTTP/1.1 200 OK\r\nAttempt: own\r\nConnection: close\r\n\r\n" + body, false, true},
		{"no length, HTTP/1.0", "HTTP/1.0 200 OK\r\nAttempt: own\r\n\r\n" + body, false, true},
		{"no length, HTTP/1.0 with keep-alive", "HTTP/1.0 200 OK\r\nAttempt: own\r\nConnection: keep-alive\r\n\r\n" + body, false, true},
		{"no length, after an interim response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: own\r\n\r\n" + body, false, true},
		{"no length, reset", "HTTP/1.1 200 OK\r\nAttempt: own\r\n\r\n" + body, true, false},
		{"no length, HTTP/1.0, reset", "HTTP/1.0 200 OK\r\nAttempt: own\r\n\r\n" + body, true, false},
		{"length, HTTP/1.0", "HTTP/1.0 200 OK\r\nAttempt: own\r\n" + framed + "\r\n" + body, false, true},
		{"length, Connection: close", "HTTP/1.1 200 OK\r\nAttempt: own\r\nConnection: close\r\n" + framed + "\r\n" + body, false, true},
		{"length, bytes after it", "HTTP/1.1 200 OK\r\nAttempt: own\r\n" + framed + "\r\n" + body + "these bytes", false, true},
		{"length, Connection: close, bytes after it", "HTTP/1.1 200 OK\r\nAttempt: own\r\nConnection: close\r\n" + framed + "\r\n" + body + "these bytes", false, true},
		{"length, HTTP/1.0, bytes after it", "HTTP/1.0 200 OK\r\nAttempt: own\r\n" + framed + "\r\n" + body + "these bytes", false, true},
		{"chunks, bytes after them", "HTTP/1.1 200 OK\r\nAttempt: own\r\n" + chunked + "these bytes", false, true},
		{"chunks, Connection: close, bytes after them", "HTTP/1.1 200 OK\r\nAttempt: own\r\nConnection: close\r\n" + chunked + "these bytes", false, true},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, kept=%v", test.name, kept), func(t *testing.T) {
				var reused atomic.Int64
				address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
					if kept {
						if got, _ := readRequest(reader); got != "first:b" {
							return
						}
						writeResponse(connection, "first", "first answer")
					}
					if got, _ := readRequest(reader); got != "own:b" {
						return
					}
					_, _ = io.WriteString(connection, test.response)
					if test.reset {
						time.Sleep(50 * time.Millisecond) // a reset discards what has not been read
						_ = connection.(*net.TCPConn).SetLinger(0)
						return
					}
					if !strings.Contains(test.response, framed) && !strings.Contains(test.response, chunked) {
						_ = connection.(*net.TCPConn).CloseWrite()
					}
					if _, err := readRequest(reader); err == nil {
						reused.Add(1)
					}
				})
				client := &Client{Clock: core.SystemClock{}}
				if kept {
					if _, err := exchangeWith(client, address, "first"); err != nil {
						t.Fatal(err)
					}
				}
				got, err := exchangeWith(client, address, "own")
				if (err == nil) != test.complete || test.complete && got != body {
					t.Errorf("%q, %v", got, err)
				}
				if opened := client.Opened(); opened != 1 {
					t.Errorf("%d connections", opened)
				}
				time.Sleep(10 * time.Millisecond)
				_, _ = exchangeWith(client, address, "next")
				if reused.Load() > 0 || client.Opened() != 2 {
					t.Errorf("the connection was used again")
				}
			})
		}
	}
}

// TestCutHead guards against a response whose head ends early, with its connection, and that counts as one without a body: a caller would get an empty body as
// complete, or that of a refusal as a promise that its request has not run.
func TestCutHead(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nAttempt: own\r\n"
	for _, test := range []struct{ name, before, head string }{
		{"length", "", ok + "Content-Length: 10\r\n\r\n"},
		{"length of zero", "", ok + "Content-Length: 0\r\n\r\n"},
		{"chunks", "", ok + "Transfer-Encoding: chunked\r\n\r\n"},
		{"neither", "", ok + "\r\n"},
		{"neither, Connection: close", "", ok + "Connection: close\r\n\r\n"},
		{"HTTP/1.0", "", "HTTP/1.0 200 OK\r\nAttempt: own\r\n\r\n"},
		{"bare line feeds", "", "HTTP/1.1 200 OK\nAttempt: own\nContent-Length: 10\n\n"},
		{"header line that goes on", "", ok + "X: a\r\n b\r\nContent-Length: 10\r\n\r\n"},
		{"no content", "", "HTTP/1.1 204 No Content\r\nAttempt: own\r\n\r\n"},
		{"refusal", "", "HTTP/1.1 503 Full\r\nAttempt: own\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nAttempt: own\r\nContent-Length: 0\r\n\r\n" + ok + "Content-Length: 10\r\n\r\n"},
		{"stale response", "HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 5\r\n\r\nstale", ok + "Content-Length: 10\r\n\r\n"},
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset=%v", test.name, reset), func(t *testing.T) {
				t.Parallel()
				address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
					for {
						request, err := http.ReadRequest(reader)
						if err != nil {
							return
						}
						_, _ = io.Copy(io.Discard, request.Body)
						cut, err := strconv.Atoi(request.Header.Get("Cut"))
						if err != nil {
							writeResponse(connection, "first", "first answer")
							continue
						}
						_, _ = io.WriteString(connection, test.before+test.head[:cut])
						if reset {
							time.Sleep(2 * time.Millisecond) // a reset discards what has not been read
							_ = connection.(*net.TCPConn).SetLinger(0)
						}
						return
					}
				})
				body := []byte("b")
				if reset {
					body = make([]byte, 2*maxInlineBody) // is written while the response is read
				}
				for cut := 1; cut <= len(test.head); cut++ {
					for _, kept := range []bool{false, true} {
						client := &Client{Clock: core.SystemClock{}}
						if kept {
							if _, err := exchangeWith(client, address, "first"); err != nil {
								t.Fatal(err)
							}
						}
						var trace Trace
						response, err := client.Do(t.Context(), Request{
							Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Cut": {strconv.Itoa(cut)}}, Body: body, Trace: &trace,
							Match: func(response *http.Response) bool { return response.Header.Get("Attempt") != "other" },
						})
						switch {
						case cut == len(test.head):
							if err != nil && !reset {
								t.Errorf("whole head, kept=%v: %v", kept, err)
							}
							if err == nil {
								_ = response.Body.Close()
							}
						case err == nil:
							body, bodyErr := io.ReadAll(response.Body)
							t.Errorf("%q, kept=%v: status %d with %q, %v", test.head[:cut], kept, response.StatusCode, body, bodyErr)
							_ = response.Body.Close()
						case !Sent(err):
							t.Errorf("%q, kept=%v: %v, which says that nothing was sent", test.head[:cut], kept, err)
						case kept && trace.Earlier != 1:
							t.Errorf("%q: the connection had carried %d requests", test.head[:cut], trace.Earlier)
						case len(client.idle[connKey{address: address}]) > 0:
							t.Errorf("%q, kept=%v: the connection is kept", test.head[:cut], kept)
						}
					}
				}
			})
		}
	}
}

// TestBytesWithoutEnd guards against a daemon that reads, and keeps in memory, whatever a target in trouble sends: bytes
// that are no response may come until the daemon closes the connection.
func TestBytesWithoutEnd(t *testing.T) {
	// The limits of the client, 6 MB in its socket buffer and 64 KB in that of the target.
	const maxAccepted = MaxHeadBytes + maxStaleResponses*maxStaleBytes + 6<<20 + 64<<10
	header := func(text string) string { return "HTTP/1.1 200 OK\r\n" + text }
	for _, test := range []struct {
		name        string
		begin, then string
	}{
		{"no response", "", "\x00\x01\xfe no answer "},
		{"status line", "HTTP/1.1 200 ", "OK"},
		{"header line", header("Attempt: "), "a"},
		{"header lines", header(""), "X: y\r\n"},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"body of a stale response", header("Attempt: other\r\n\r\n"), "stale"},
		{"chunks of a stale response", header("Attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n"), "5\r\nstale\r\n"},
		{"stale responses", "", header("Attempt: other\r\nContent-Length: 5\r\n\r\nstale")},
	} {
		t.Run(test.name, func(t *testing.T) {
			accepted := make(chan int, 1)
			address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
				_ = connection.(*net.TCPConn).SetWriteBuffer(32 << 10) // the kernel doubles it
				_, _ = readRequest(reader)
				_, _ = io.WriteString(connection, test.begin)
				chunk := []byte(strings.Repeat(test.then, 1+4096/len(test.then)))
				sum := 0
				for sum < 16*maxAccepted {
					count, err := connection.Write(chunk)
					if sum += count; err != nil {
						break
					}
				}
				accepted <- sum
			})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			client := &Client{Clock: core.SystemClock{}}
			response, err := client.Do(ctx, Request{
				Address: address, Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
				Match: func(response *http.Response) bool { return response.Header.Get("Attempt") == "own" },
			})
			if err == nil {
				t.Fatalf("response %v", response.Status)
			}
			if ctx.Err() != nil || !Sent(err) {
				t.Errorf("error %v, sent %v", err, Sent(err))
			}
			if sum := <-accepted; sum > maxAccepted {
				t.Errorf("%d bytes were accepted", sum)
			}
		})
	}
}

// TestFailedExchangeResets guards against a request that reaches its target long after its exchange has failed: a connection
// that is closed in the usual way still delivers what is under way, one that is reset doesn't.
func TestFailedExchangeResets(t *testing.T) {
	for _, test := range []struct{ name, response string }{
		{"no response", "no answer at all\r\n\r\n"},
		{"response to other requests", strings.Repeat("HTTP/1.1 200 OK\r\nAttempt: other\r\nContent-Length: 0\r\n\r\n", maxStaleResponses)},
	} {
		t.Run(test.name, func(t *testing.T) {
			ended := make(chan error, 1)
			address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
				_, _ = readRequest(reader)
				_, _ = io.WriteString(connection, test.response)
				_, err := reader.ReadByte()
				ended <- err
			})
			if _, err := exchangeWith(&Client{Clock: core.SystemClock{}}, address, "own"); err == nil {
				t.Fatal("the exchange has not failed")
			}
			if err := <-ended; !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("the target sees %v", err)
			}
		})
	}
}

// TestEndedContext guards against a request that reaches its target on a kept connection although its caller had left, or another
// target had responded, before it was sent.
func TestEndedContext(t *testing.T) {
	var late atomic.Int64
	address := serveTCP(t, func(connection net.Conn, reader *bufio.Reader) {
		for {
			got, err := readRequest(reader)
			if err != nil {
				return
			}
			attempt, _, _ := strings.Cut(got, ":")
			if attempt == "late" {
				late.Add(1)
			}
			writeResponse(connection, attempt, "ok")
		}
	})
	client := &Client{Clock: core.SystemClock{}}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for range 100 {
		if _, err := exchangeWith(client, address, "a"); err != nil {
			t.Fatal(err)
		}
		_, err := client.Do(ended, Request{Address: address, Method: http.MethodPost, URI: "/", Host: "h", Header: http.Header{"Attempt": {"late"}}})
		if Sent(err) || !errors.Is(err, context.Canceled) {
			t.Fatalf("error %v", err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	if count := late.Load(); count > 0 || client.Opened() > 1 {
		t.Errorf("%d requests reached the target on %d connections", count, client.Opened())
	}
}
