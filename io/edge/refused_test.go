package edge

import (
	"bufio"
	"context"
	"errors"
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
	"catkincove/core/batch"
	"catkincove/core/fakes"
	"catkincove/core/origin"
	"catkincove/core/place"
	"catkincove/io/answer"
	"catkincove/io/inifmt"
)

// scriptedServer starts a server that answers each request with the bytes that respond returns; number counts the requests of a connection from 0.
func scriptedServer(t *testing.T, respond func(number int, request *http.Request) string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	serve := func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		reader := bufio.NewReader(conn)
		for number := 0; ; number++ {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			if _, err := io.WriteString(conn, respond(number, request)); err != nil {
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

// newRunningDaemon returns a daemon whose control loop runs until the end of the test.
func newRunningDaemon(t *testing.T) *Daemon {
	daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: headDialect{}, Clock: core.SystemClock{}})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	return daemon
}

// openAt sends one attempt to a target, reads a response to its end and returns it, or the error of the attempt.
func openAt(t *testing.T, daemon *Daemon, target place.Target, attemptID, method string, timeout time.Duration) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	incoming := httptest.NewRequest(method, "/book/1", nil)
	incoming.Header.Set("Attempt", attemptID)
	received := &request{caller: core.CallerRequest{Attempt: attemptID}, incoming: incoming, startedAt: daemon.clock.Now(), deadline: daemon.clock.Now().Add(timeout), body: []byte("body")}
	relay := newRelay(daemon, received, core.ServiceSpec{Name: "s"}, &attempt{target: target, startedAt: daemon.clock.Now()}, nil, nil)
	response, err := relay.open(ctx)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	return response, string(body), err
}

// isNotRun reports whether a target has stated that it did not run the request.
func isNotRun(err error) bool {
	failure := (*sendError)(nil)
	return errors.As(err, &failure) && failure.run == core.NotRun && !failure.unsent
}

const okTemplate = "HTTP/1.1 200 OK\r\nAttempt: %s\r\nDigest: seal\r\nContent-Length: 2\r\n\r\nok"

// TestBytesBeforeResponse guards against a request that counts as not run although its target runs it and says so: bytes that belong to no request, such as a
// part of the copy of an earlier response, stand on the connection before its response.
func TestBytesBeforeResponse(t *testing.T) {
	extras := map[string]string{
		"421 of another attempt":                     "HTTP/1.1 421 Misdirected Request\r\nAttempt: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"503 of another attempt":                     "HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"503 that names the attempt last":            "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\nAttempt: other\r\n\r\n",
		"503 with Date and Retry-After":              "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nRetry-After: 0.5\r\nDate: Sat, 05 Dec 2026 22:09:00 GMT\r\nAttempt: other\r\nContent-Length: 3\r\n\r\nbad",
		"503 without an ID":                          "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"503 with an empty ID":                       "HTTP/1.1 503 Service Unavailable\r\nAttempt:\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"503 with the IDs of another attempt, twice": "HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nAttempt: more\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"503 in chunks":                              "HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nNot-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbad\r\n0\r\n\r\n",
		"503 without a length":                       "HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nNot-Run: 1\r\n\r\nbad",
		"503 with a body longer than announced":      "HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nNot-Run: 1\r\nContent-Length: 1\r\n\r\nbad",
		"204 with a body":                            "HTTP/1.1 204 No Content\r\nAttempt: other\r\n\r\nbad",
		"304 with a body":                            "HTTP/1.1 304 Not Modified\r\nAttempt: other\r\nContent-Length: 3\r\n\r\nbad",
		"interim response that says not run":         "HTTP/1.1 103 Early Hints\r\nAttempt: second\r\nNot-Run: 1\r\n\r\n",
		"several copies":                             strings.Repeat("HTTP/1.1 503 Service Unavailable\r\nAttempt: other\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", 4),
	}
	for name, extra := range extras {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			daemon := newRunningDaemon(t)
			var notRun, altered []int // cuts
			unknown, served := 0, 0
			for cut := 1; cut <= len(extra); cut++ {
				address := scriptedServer(t, func(number int, request *http.Request) string {
					own := fmt.Sprintf(okTemplate, request.Header.Get("Attempt"))
					if number == 0 {
						return own
					}
					return extra[:cut] + own
				})
				target := place.Target{ID: "i-1", Address: address}
				if _, _, err := openAt(t, daemon, target, "first", http.MethodPost, time.Second); err != nil {
					t.Fatalf("first request: %v", err)
				}
				response, body, err := openAt(t, daemon, target, "second", http.MethodPost, 150*time.Millisecond)
				switch {
				case isNotRun(err):
					notRun = append(notRun, cut)
				case err != nil:
					unknown++
				case response.StatusCode == http.StatusOK && body == "ok":
					served++
				default:
					altered = append(altered, cut)
				}
			}
			t.Logf("of %d cuts: outcome unknown %d, served %d", len(extra), unknown, served)
			if len(notRun) > 0 || len(altered) > 0 {
				t.Errorf("of %d cuts the request counts as not run after %v bytes, and its response is altered after %v", len(extra), notRun, altered)
			}
		})
	}
}

// TestPartOfSuccessBeforeError guards against an error response of a target that reaches the caller as a success, because a part of the copy of an earlier success
// stands before it.
func TestPartOfSuccessBeforeError(t *testing.T) {
	daemon := newRunningDaemon(t)
	extra := "HTTP/1.1 200 OK\r\nDigest: seal-other\r\nAttempt: other\r\nContent-Length: 2\r\n\r\nok"
	for _, seal := range []string{"", "Digest: seal\r\n"} {
		for cut := 1; cut < len(extra); cut++ {
			address := scriptedServer(t, func(number int, request *http.Request) string {
				if number == 0 {
					return fmt.Sprintf(okTemplate, request.Header.Get("Attempt"))
				}
				return extra[:cut] + "HTTP/1.1 500 Internal Server Error\r\nAttempt: " + request.Header.Get("Attempt") + "\r\n" + seal + "Content-Length: 6\r\n\r\nfailed"
			})
			target := place.Target{ID: "i-1", Address: address}
			_, _, _ = openAt(t, daemon, target, "first", http.MethodPost, time.Second)
			response, body, err := openAt(t, daemon, target, "second", http.MethodPost, 150*time.Millisecond)
			if err == nil && response.StatusCode == http.StatusOK {
				t.Errorf("seal %q, after %q: the failure of the target counts as status %d, seal %q, body %q", seal, extra[:cut], response.StatusCode, response.Header.Get("Digest"), body)
			}
		}
	}
}

// TestForwardedErrorOfTarget guards against a request that counts as not run although a target has run it: another daemon forwards it, and passes on an error
// response of the target that has no digest.
func TestForwardedErrorOfTarget(t *testing.T) {
	for _, test := range []struct {
		status, attempt string
		named           bool // the response names the attempt
		notRun          bool // the response is one of the other daemon, which keeps its promises
	}{
		{"400 Bad Request", "x", true, false},
		{"404 Not Found", "x", true, false},
		{"409 Conflict", "x", true, false},
		{"422 Unprocessable Entity", "x", true, false},
		{"503 Service Unavailable", "x", false, true},
		{"404 Not Found", "x", false, true},
		{"409 Conflict", "", false, false},
		{"503 Service Unavailable", "", false, true},
	} {
		daemon := newRunningDaemon(t)
		address := scriptedServer(t, func(_ int, request *http.Request) string {
			name := ""
			if test.named {
				name = "Attempt: " + request.Header.Get("Attempt") + "\r\n"
			}
			return "HTTP/1.1 " + test.status + "\r\n" + name + "Content-Length: 6\r\n\r\nfailed"
		})
		incoming := httptest.NewRequest(http.MethodPost, "/book/1", nil)
		incoming.Header.Set("Attempt", test.attempt)
		received := &request{caller: core.CallerRequest{Attempt: test.attempt}, incoming: incoming, startedAt: daemon.clock.Now()}
		relay := &relay{daemon: daemon, request: received, attempt: daemon.forwardsTo(received, &peer{record: record{Peer: address}})}
		_, err := relay.openForwarded(t.Context())
		if notRun := err != nil && answer.ImpliesNotRun(core.AsError(err).Kind.Answer().Status); notRun != test.notRun {
			t.Errorf("%s, attempt %q, named %v: the request counts as not run: %v (%v)", test.status, test.attempt, test.named, notRun, err)
		}
	}
}

// TestRepeatedUnusedSuccess guards against a stream that holds events of another version than the one recorded as its origin. The daemon does not use a success of
// the new version because the stream begins at the baseline, and sends the attempt again over the connection that brought it, to the same process under the ID
// of its former start, which still is registered with the former version. The second copy of the success counts as the response of that.
func TestRepeatedUnusedSuccess(t *testing.T) {
	const events = "id: 1\ndata: v2\n\n"
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nAttempt: x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
	head := "HTTP/1.1 200 OK\r\nAttempt: x\r\nDigest: seal\r\nContent-Type: text/event-stream\r\n"
	for name, stream := range map[string]string{
		"with a length": head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(events), events),
		"in chunks":     head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(events), events),
	} {
		t.Run(name, func(t *testing.T) {
			daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self", Bounds: inifmt.EdgeBounds{RetrySlack: 1000, RetryWindow: 10 * time.Second}}, Dialect: headDialect{}, Store: &fakes.Store{}, Clock: core.SystemClock{}})
			go func() { _ = daemon.loop.Run(daemon.loopContext) }()
			t.Cleanup(daemon.stopLoop)
			address := scriptedServer(t, func(number int, request *http.Request) string {
				switch {
				case request.Header.Get("Target") == "i-new":
					return stream
				case number == 0:
					return refusal
				}
				return stream + refusal // late copy, then the response that is due
			})
			former, renewed := place.Target{ID: "i-former", Address: address, Version: "v1"}, place.Target{ID: "i-new", Address: address, Version: "v2"}
			daemon.view.Store(&view{targets: map[string][]place.Target{"s": {former, renewed}}, byID: map[string]string{former.ID: address, renewed.ID: address}})
			daemon.do(func() {
				daemon.control.origins.baselines["s"] = knownBaseline{Baseline: origin.Baseline{Version: "v1"}}
			})
			incoming := httptest.NewRequest(http.MethodPost, "/long/1", nil)
			incoming.Header.Set("Attempt", "x")
			received := &request{
				route: core.Route{Name: "long", Stream: true, Resumable: true, MaxTargets: 2, Repeat: core.Idempotent}, caller: core.CallerRequest{Attempt: "x"},
				incoming: incoming, startedAt: daemon.clock.Now(), deadline: daemon.clock.Now().Add(5 * time.Second),
			}
			recorder := httptest.NewRecorder()
			send := func(target place.Target) error {
				received.attempts++
				received.triedTargets = append(received.triedTargets, target.ID)
				relay := newRelay(daemon, received, core.ServiceSpec{Name: "s"}, &attempt{target: target, startedAt: daemon.clock.Now()}, recorder, &inputs{daemon: daemon, request: received})
				err := relay.run(t.Context())
				relay.attempt.cancel()
				return err
			}
			if err := send(renewed); !errors.Is(err, errBeginsAtBaseline) {
				t.Fatalf("first attempt: %v", err)
			}
			err := send(former)
			t.Logf("second attempt: %v; %d connections", err, daemon.targets.Opened())
			if recorder.Body.Len() > 0 {
				t.Errorf("the caller gets %q and the origin is version %s; i-former has refused the request", recorder.Body.String(), received.origin.Version)
			}
		})
	}
}

// TestSuccessThatSaysNotRun guards against a request that counts as not run although its target runs it: the target has stated so in a response with a status of
// success, and sends that response again when it gets the request under its other ID.
func TestSuccessThatSaysNotRun(t *testing.T) {
	for _, test := range []struct {
		status string
		notRun bool
	}{{"200 OK", false}, {"204 No Content", false}, {"421 Misdirected Request", true}} {
		daemon := newRunningDaemon(t)
		refusal := "HTTP/1.1 " + test.status + "\r\nAttempt: x\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
		address := scriptedServer(t, func(number int, request *http.Request) string {
			switch {
			case request.Header.Get("Target") == "i-former":
				return refusal
			case number == 0:
				return fmt.Sprintf(okTemplate, "x")
			}
			return refusal + fmt.Sprintf(okTemplate, "x")
		})
		_, _, first := openAt(t, daemon, place.Target{ID: "i-former", Address: address}, "x", http.MethodPost, time.Second)
		_, _, second := openAt(t, daemon, place.Target{ID: "i-new", Address: address}, "x", http.MethodPost, time.Second)
		if first == nil || isNotRun(first) != test.notRun || second != nil {
			t.Errorf("status %s: first %v, second %v", test.status, first, second)
		}
	}
}

// TestForwardedRequestWithoutAttempt guards against a request without an attempt's ID that gets the response to another one: it is forwarded by another daemon over a
// connection that has carried such a request before.
func TestForwardedRequestWithoutAttempt(t *testing.T) {
	address := repeatingServer(t, http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		body, _ := io.ReadAll(request.Body)
		writer.Header().Set("Digest", "seal")
		_, _ = writer.Write(body)
	}))
	daemon := newRunningDaemon(t)
	for i := range 4 {
		incoming := httptest.NewRequest(http.MethodPost, "/book/1", nil)
		received := &request{incoming: incoming, startedAt: daemon.clock.Now(), body: fmt.Append(nil, "body ", i)}
		relay := &relay{daemon: daemon, request: received, attempt: daemon.forwardsTo(received, &peer{record: record{Peer: address}})}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		response, err := relay.openForwarded(ctx)
		if err == nil {
			body, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if string(body) != fmt.Sprint("body ", i) {
				t.Errorf("request %d gets %q", i, body)
			}
		}
		cancel()
	}
}

// TestForwardedOutcomeAtDeadline guards against a request that counts as not run although a target may have run it: the other daemon says so, and the request's
// time limit passes before this daemon has told its caller.
func TestForwardedOutcomeAtDeadline(t *testing.T) {
	for _, test := range []struct {
		status string
		notRun bool // the other daemon promises that the request has not run
	}{{"502 Bad Gateway", false}, {"504 Gateway Timeout", false}, {"422 Unprocessable Entity", false}, {"503 Service Unavailable", true}, {"404 Not Found", true}} {
		daemon := newRunningDaemon(t)
		address := scriptedServer(t, func(int, *http.Request) string {
			return "HTTP/1.1 " + test.status + "\r\nContent-Length: 6\r\n\r\nfailed"
		})
		incoming := httptest.NewRequest(http.MethodPost, "/book/1", nil)
		incoming.Header.Set("Attempt", "x")
		received := &request{caller: core.CallerRequest{Attempt: "x"}, incoming: incoming, startedAt: daemon.clock.Now()}
		recorder := httptest.NewRecorder()
		inputs := &inputs{daemon: daemon, request: received}
		delivery := &delivery{daemon: daemon, writer: recorder, request: received, inputs: inputs}
		current := newRelay(daemon, received, core.ServiceSpec{}, daemon.forwardsTo(received, &peer{record: record{Peer: address}}), recorder, inputs)
		ctx, cancel := context.WithCancel(t.Context())
		err := current.run(ctx)
		delivery.count(ctx, current, err)
		cancel()
		again, err := delivery.retry(ctx, current, err)
		if again || err == nil {
			t.Fatalf("%s: another attempt %v, error %v", test.status, again, err)
		}
		daemon.reject(recorder, received, daemon.classify(ctx, received, err))
		if notRun := answer.ImpliesNotRun(recorder.Code); notRun != test.notRun {
			t.Errorf("the other daemon responds with %s; the caller gets status %d", test.status, recorder.Code)
		}
	}
}

// TestRepeatedResultsOfLongIdleConnection guards against results that count as those of other pieces: the second copy of a response comes over a connection that the target has kept
// for longer than the handles of its responses are remembered.
func TestRepeatedResultsOfLongIdleConnection(t *testing.T) {
	clock := &fakes.Clock{}
	daemon := New(Options{Settings: inifmt.EdgeSettings{Name: "self"}, Dialect: headDialect{}, Clock: clock})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	response := func(handle string) string {
		body := fmt.Sprintf(`{"items":[{"handle":"h/%s"}]}`, handle)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=90\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	var kept, others atomic.Int64 // calls
	keeping := scriptedServer(t, func(number int, _ *http.Request) string {
		call := kept.Add(1)
		own := response(fmt.Sprint("result", call))
		if number > 0 {
			return response(fmt.Sprint("result", call-1)) + own
		}
		return own
	})
	other := scriptedServer(t, func(int, *http.Request) string { return response(fmt.Sprint("other", others.Add(1))) })
	send := func(address string) string {
		t.Helper()
		call := batch.Call{Target: batch.Target{ID: "i-1", Address: address}, Pieces: []core.Piece{{Attempt: "x"}}, Timeout: time.Second}
		results, outcome, err := daemon.sendBatch(t.Context(), &sender{service: "s"}, call)
		if err != nil || outcome != batch.Responded || len(results) != 1 {
			t.Fatalf("results %v, outcome %v, error %v", results, outcome, err)
		}
		return results[0].Handle
	}
	if handle := send(keeping); handle != "h/result1" {
		t.Fatalf("first call: %s", handle)
	}
	for range 6 {
		clock.Advance(5 * time.Second)
		send(other)
	}
	if handle := send(keeping); handle != "h/result2" {
		t.Errorf("the pieces of the second call get the result %s", handle)
	}
}
