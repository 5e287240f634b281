package edge

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/origin"
	"catkincove/core/reach"
	"catkincove/io/answer"
	"catkincove/io/callid"
	"catkincove/io/inifmt"
	"catkincove/io/xchg"
)

// reply is what a scripted server sends in response to one request.
type reply struct {
	text  string
	pause time.Duration // before the rest is sent
	rest  string
	end   ending
}

// ending is what a scripted server does with a connection after a reply.
type ending int

const (
	keep   ending = iota // for the next request
	closed               // FIN
	reset                // RST, once the other side has had time to read the reply
	hang                 // sends nothing until the other side closes
)

// scripted is a server whose replies to the requests of an attempt are set before.
type scripted struct {
	address  string
	listener net.Listener

	mutex    sync.Mutex
	replies  map[string][]reply  // by attempt, in the order of its requests
	received map[string][]string // by attempt, the inputs that each of its requests names
	onKept   atomic.Int64        // replies of a script on a connection that has carried another one
	freed    atomic.Int64        // calls that free results
	freeing  reply               // response to those; an empty one stands for a whole response
	forward  func() reply        // reply to each request instead of all else, as the server is a daemon; nil if it is a target
}

func newScripted(t testing.TB) *scripted {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &scripted{address: listener.Addr().String(), listener: listener, replies: map[string][]reply{}, received: map[string][]string{}}
	t.Cleanup(server.close)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go server.serve(conn.(*net.TCPConn))
		}
	}()
	return server
}

func (server *scripted) close() { _ = server.listener.Close() }

func (server *scripted) serve(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for carried := 0; ; carried++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		next := server.next(request, body)
		if carried > 0 && next.end != keep {
			server.onKept.Add(1)
		}
		_, _ = io.WriteString(conn, next.text)
		if next.rest != "" {
			time.Sleep(next.pause)
			_, _ = io.WriteString(conn, next.rest)
		}
		switch next.end {
		case keep:
			continue
		case reset:
			time.Sleep(3 * time.Millisecond)
			_ = conn.SetLinger(0)
		case hang:
			_, _ = reader.ReadByte()
		}
		return
	}
}

// next returns the reply to a request; what has no script gets a whole response.
func (server *scripted) next(request *http.Request, body []byte) reply {
	attempt := request.Header.Get("Attempt")
	whole := wholeReply(attempt, "answer to "+attempt)
	if server.forward != nil {
		return server.forward()
	}
	switch request.URL.Path {
	case headPieces:
		var pieces []core.Piece
		_ = json.Unmarshal(body, &pieces)
		var handles []string
		for i, piece := range pieces {
			handles = append(handles, fmt.Sprintf(`{"handle":"%s/%s-%d-%d"}`, server.address, piece.Attempt, piece.Stage, i))
		}
		attempt = fmt.Sprintf("%s-%d", pieces[0].Attempt, pieces[0].Stage)
		whole = wholeReply(attempt, `{"items":[`+strings.Join(handles, ",")+`]}`)
	case headFree:
		server.freed.Add(1)
		if server.freeing != (reply{}) {
			return server.freeing
		}
		return wholeReply(attempt, "")
	}
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.received[attempt] = append(server.received[attempt], request.Header.Get("Inputs"))
	if script := server.replies[attempt]; len(script) > 0 {
		server.replies[attempt] = script[1:]
		if script[0] != (reply{}) {
			return script[0]
		}
	}
	return whole
}

// script sets the replies to an attempt; an empty one stands for a whole response.
func (server *scripted) script(attempt string, replies ...reply) {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	server.replies[attempt] = replies
}

// requests returns the inputs that each request of an attempt has named.
func (server *scripted) requests(attempt string) []string {
	server.mutex.Lock()
	defer server.mutex.Unlock()
	return slices.Clone(server.received[attempt])
}

func targetHeader(attempt string) string {
	return "Attempt: " + attempt + "\r\nDigest: d\r\n"
}

func wholeReply(attempt, body string) reply {
	return reply{text: fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", targetHeader(attempt), len(body), body)}
}

// headForms returns the forms of a head with a status, by name; the header lines come before those that frame the body.
func headForms(status, header string) map[string]string {
	const interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
	line := "HTTP/1.1 " + status + "\r\n" + header
	return map[string]string{
		"length": line + "Content-Length: 2097152\r\n\r\n", "no body": line + "Content-Length: 0\r\n\r\n", "chunks": line + "Transfer-Encoding: chunked\r\n\r\n", "neither": line + "\r\n",
		"bare line feeds": strings.ReplaceAll(line+"Content-Length: 19\r\n\r\n", "\r", ""), "interim responses": interim + line + "Content-Length: 19\r\n\r\n",
	}
}

const headEvents = 6

func streamEvents(from, to int) string {
	var events strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&events, "id: %d\ndata: token%d\n\n", id, id)
	}
	return events.String()
}

// streamReply returns a reply with some events of a stream in chunks, with its last chunk if they reach the end.
func streamReply(attempt string, from, to int) reply {
	events := streamEvents(from, to)
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", targetHeader(attempt), len(events), events)
	if to < headEvents {
		return reply{text: text, end: closed}
	}
	return reply{text: text + "0\r\n\r\n"}
}

const (
	headPieces = "/pieces"
	headFree   = "/free"
)

// headDialect is a dialect with plain names in headers as well.
type headDialect struct{ plainDialect }

func (headDialect) CallerRequest(header http.Header) (core.CallerRequest, error) {
	return core.CallerRequest{Attempt: header.Get("Attempt")}, nil
}

func (headDialect) ForwardHeader(caller http.Header, forward core.Forward) http.Header {
	header := caller.Clone()
	header.Set("Target", forward.Target)
	header.Set("Inputs", strings.Join(forward.Inputs, ","))
	if forward.LastEvent != "" {
		header.Set("Last-Event", forward.LastEvent)
	}
	return header
}

func (headDialect) TargetResponse(status int, header http.Header) core.TargetResponse {
	return core.TargetResponse{Attempt: header.Get("Attempt"), NotRun: header.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest, HasDigest: header.Get("Digest") != ""}
}

func (headDialect) PiecesCall(pieces []core.Piece) (string, []byte) {
	body, _ := json.Marshal(pieces)
	return headPieces, body
}

func (headDialect) FreeCall(handles []string) (string, []byte) {
	body, _ := json.Marshal(handles)
	return headFree, body
}

// headDaemon is a daemon that serves callers at the URL front until it is closed, and follows neither a store nor other daemons.
type headDaemon struct {
	*Daemon
	front string
	close func()
}

// patientClock is a clock by which a takeover counts as accepted only once the target has responded.
type patientClock struct{ core.SystemClock }

func (clock patientClock) After(duration time.Duration) <-chan time.Time {
	if duration == maxOverlap {
		return nil
	}
	return clock.SystemClock.After(duration)
}

// heldClock is a clock that stands still. No target counts as silent by it while the test process gets no processor time, and no takeover uses up a reply of the
// script. It is ahead of the system clock, by which the contexts of requests end.
type heldClock struct {
	core.SystemClock
	now time.Time
}

func newHeldClock() heldClock { return heldClock{now: time.Now().Add(time.Hour)} }

func (clock heldClock) Now() time.Time { return clock.now }

// dialWithoutLimit opens a connection however long it takes. If the limit on a dial passes while the test process gets no processor time, the target counts as
// tried without having received the request.
func dialWithoutLimit(ctx context.Context, address string) (*net.TCPConn, error) {
	conn, err := xchg.Dialer(0).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return conn.(*net.TCPConn), nil
}

// newHeadDaemon returns a daemon whose services have three targets each at the address.
func newHeadDaemon(t testing.TB, targets string, clock core.Clock) headDaemon {
	daemon := New(Options{
		Settings: inifmt.EdgeSettings{Name: "self", DataCentre: "dc", AdvertiseFront: "127.0.0.1:1", AdvertisePeer: "127.0.0.1:2", Cores: 1, MemoryMB: 4096},
		Dialect:  headDialect{}, Clock: clock, Log: io.Discard,
	})
	daemon.settings.Store(&inifmt.EdgeSettings{Bounds: inifmt.EdgeBounds{RetrySlack: 1_000_000, RetryWindow: 10 * time.Second}})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	go func() {
		for core.Sleep(daemon.loopContext, daemon.clock, 100*time.Millisecond) {
			daemon.observe()
			daemon.pauses.Check(daemon.clock.Now()) // nothing is known from before a pause of the test
		}
	}()
	route := func(name, service string, route core.Route) core.Route {
		route.Name, route.Host, route.Prefix, route.Services = name, "h", "/"+name+"/", []core.ServiceShare{{Service: service, Weight: 1}}
		route.Timeout, route.LatencyObjective, route.GapObjective = cmp.Or(route.Timeout, 8*time.Second), 2*time.Second, 500*time.Millisecond
		return route
	}
	routing, err := json.Marshal(core.RoutingOptions{
		Version: 1,
		Routes: []core.Route{
			route("unsafe", "ledger", core.Route{MaxTargets: 2}),
			route("safe", "ledger", core.Route{MaxTargets: 2, Repeat: core.Idempotent}),
			route("once", "model", core.Route{MaxTargets: 2, Stream: true}),
			route("stream", "model", core.Route{MaxTargets: 3, Stream: true, Resumable: true, Repeat: core.Idempotent}),
			route("brief", "model", core.Route{MaxTargets: 3, Stream: true, Resumable: true, Repeat: core.Idempotent, Timeout: 800 * time.Millisecond}),
			route("staged", "ledger", core.Route{MaxTargets: 2, Stages: []core.StageSpec{{Service: "stock", ResultBytes: 8000}, {Service: "stock", After: []int{0}, ResultBytes: 8000}}}),
		},
		Services: []core.ServiceSpec{{Name: "ledger"}, {Name: "model"}, {Name: "stock", Batch: &core.BatchSpec{
			MaxPieces: 8, MaxCalls: 2, CallOverhead: 200 * time.Millisecond, PieceTime: time.Millisecond, MaxResultBytes: 1 << 30, ResultTTL: 4 * time.Second,
		}}},
	})
	if err != nil {
		t.Fatal(err)
	}
	daemon.do(func() {
		now := daemon.clock.Now()
		daemon.control.routes.Replace(now, core.Snapshot{Revision: 1, Entries: []core.Entry{{Key: daemon.dialect.RoutingPrefix() + "config", Value: routing, ModRevision: 1}}})
		var registrations []core.Entry
		for _, service := range []string{"ledger", "model", "stock"} {
			for i := range 3 {
				id := fmt.Sprintf("i-%s%d", service, i)
				value, _ := json.Marshal(core.TargetEntry{ID: id, Service: service, Address: targets, DataCentre: "dc", Version: "v1", Slots: 8, StartedAt: time.UnixMilli(1), Sequence: 1})
				registrations = append(registrations, core.Entry{Key: daemon.dialect.TargetPrefix() + id, Value: value, ModRevision: 1})
			}
		}
		daemon.control.registrations.Replace(now, core.Snapshot{Revision: 1, Entries: registrations})
		daemon.rebuildView()
		daemon.control.storeReadAt = now
		daemon.control.origins.baselines["model"] = knownBaseline{Baseline: origin.Baseline{Generation: 1, Version: "v1"}, since: now.Add(-time.Hour)}
	})
	front := httptest.NewServer(daemon.guard("front", http.HandlerFunc(daemon.serveFront)))
	stop := sync.OnceFunc(func() { front.Close(); daemon.stopLoop() })
	t.Cleanup(stop)
	return headDaemon{Daemon: daemon, front: front.URL, close: stop}
}

// callerResponse is what a caller gets; err is set if the end of the response shows that it is not complete.
type callerResponse struct {
	status int
	body   string
	err    error
}

// complete reports whether the caller must take the response for the whole one of a target.
func (response callerResponse) complete() bool { return response.err == nil && response.status < 300 }

func sendRequest(ctx context.Context, front, route, attempt string) callerResponse {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, front+"/"+route+"/1", strings.NewReader("body of "+attempt))
	if err != nil {
		return callerResponse{err: err}
	}
	request.Host = "h"
	request.Header.Set("Attempt", attempt)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, body: string(body), err: err}
}

// cutHeads calls play for each beginning of each head, ended by a close and by a reset, some at once.
func cutHeads(t *testing.T, step int, heads func(attempt string) map[string]string, play func(attempt, form string, cut reply)) (played int) {
	var group sync.WaitGroup
	slots := make(chan struct{}, 8)
	for form, head := range heads("a0000000") {
		for cut := 1; cut < len(head); cut += step {
			for _, end := range []ending{closed, reset} {
				played++
				attempt := fmt.Sprintf("a%07d", played)
				slots <- struct{}{}
				group.Go(func() {
					defer func() { <-slots }()
					play(attempt, form, reply{text: heads(attempt)[form][:cut], end: end})
				})
			}
		}
	}
	group.Wait()
	return played
}

// TestCutHead guards against a response of a target whose head ends early and that reaches a caller as a whole response with an empty or short body, or as the
// promise that a request has not run, which another target then runs again.
func TestCutHead(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, route, status, header string
	}{
		{"response", "unsafe", "200 OK", ""},
		{"error 500", "unsafe", "500 Failed", ""},
		{"error 422", "unsafe", "422 Wrong", ""},
		{"error 503", "unsafe", "503 Full", ""},
		{"refusal", "unsafe", "503 Full", "Not-Run: 1\r\nRetry-After: 1\r\n"},
		{"refusal 421", "unsafe", "421 Other", "Not-Run: 1\r\n"},
		{"stream", "once", "200 OK", "Content-Type: text/event-stream\r\n"},
		{"refusal of a stream", "once", "503 Full", "Not-Run: 1\r\n"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newScripted(t)
			daemon := newHeadDaemon(t, server.address, core.SystemClock{})
			heads := func(attempt string) map[string]string {
				return headForms(test.status, targetHeader(attempt)+test.header)
			}
			played := cutHeads(t, 1, heads, func(attempt, form string, cut reply) {
				if test.route == "once" {
					server.script("w"+attempt, streamReply("w"+attempt, 1, headEvents)) // the connection of a stream that is not whole is closed
				}
				_ = sendRequest(t.Context(), daemon.front, test.route, "w"+attempt) // opens a connection that the next request may use
				server.script(attempt, cut)
				got := sendRequest(t.Context(), daemon.front, test.route, attempt)
				if got.status != http.StatusBadGateway || got.err != nil || len(server.requests(attempt)) != 1 {
					t.Errorf("%s, %q: %+v after %d requests", form, cut.text, got, len(server.requests(attempt)))
				}
			})
			if kept := server.onKept.Load(); kept == 0 || kept == int64(played) {
				t.Errorf("%d of %d heads were cut on a kept connection, some must be on either kind", kept, played)
			}
			t.Logf("%d heads were cut, %d on a kept connection", played, server.onKept.Load())
		})
	}
}

// TestCutHeadThenWhole guards against a response that is joined from two: a head that ends early, with what the next target sends.
func TestCutHeadThenWhole(t *testing.T) {
	t.Parallel()
	const long = 3 << 20
	begin := func(attempt string) reply {
		begin := streamReply(attempt, 1, 3)
		begin.text += "20\r\nid: 4\nda" // ends within the fourth event
		return begin
	}
	streamHeads := func(attempt string) map[string]string {
		heads := headForms("200 OK", targetHeader(attempt)+"Content-Type: text/event-stream\r\n")
		heads["error 500"] = "HTTP/1.1 500 Failed\r\n" + targetHeader(attempt) + "Content-Length: 0\r\n\r\n"
		heads["refusal"] = "HTTP/1.1 503 Full\r\n" + targetHeader(attempt) + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		return heads
	}
	bodyHeads := func(attempt string) map[string]string { return headForms("200 OK", targetHeader(attempt)) }
	whole := streamEvents(1, headEvents)
	for _, test := range []struct {
		name, route string
		heads       func(attempt string) map[string]string
		replies     func(attempt string, cut reply) []reply
		body        string // of the whole response; empty if the caller must not get one
		requests    int
	}{
		{"response", "safe", bodyHeads, func(_ string, cut reply) []reply { return []reply{cut, {}} }, "answer to ", 2},
		{"long response", "safe", bodyHeads, func(attempt string, cut reply) []reply {
			return []reply{cut, wholeReply(attempt, strings.Repeat("x", long))}
		}, strings.Repeat("x", long), 2},
		{"response, all cut", "safe", bodyHeads, func(_ string, cut reply) []reply { return []reply{cut, cut} }, "", 2},
		{"stream", "stream", streamHeads, func(attempt string, cut reply) []reply { return []reply{cut, streamReply(attempt, 1, headEvents)} }, whole, 2},
		{"stream, all cut", "stream", streamHeads, func(_ string, cut reply) []reply { return []reply{cut, cut, cut} }, "", 3},
		{"stream that goes on", "stream", streamHeads, func(attempt string, cut reply) []reply {
			return []reply{begin(attempt), cut, streamReply(attempt, 4, headEvents)}
		}, whole, 3},
		{"stream that goes on, all cut", "stream", streamHeads, func(attempt string, cut reply) []reply { return []reply{begin(attempt), cut, cut} }, "", 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newScripted(t)
			daemon := newHeadDaemon(t, server.address, newHeldClock())
			daemon.targets.Dial = dialWithoutLimit
			step := 1
			if test.name == "long response" {
				step = 11
			}
			played := cutHeads(t, step, test.heads, func(attempt, form string, cut reply) {
				server.script(attempt, test.replies(attempt, cut)...)
				got := sendRequest(t.Context(), daemon.front, test.route, attempt)
				want := test.body
				if want == "answer to " {
					want += attempt
				}
				if got.complete() != (want != "") || got.complete() && got.body != want || len(server.requests(attempt)) != test.requests {
					t.Errorf("%s, %q: status %d, %v, %d bytes, %.200q after %d requests", form, cut.text, got.status, got.err, len(got.body), got.body, len(server.requests(attempt)))
				}
				if !got.complete() && got.err == nil && got.status != http.StatusBadGateway {
					t.Errorf("%s, %q: %+v", form, cut.text, got)
				}
			})
			t.Logf("%d heads were cut", played)
		})
	}
}

// TestCutHeadOfTakeover guards against a stream that ends as complete, or is joined from two targets, because the target that takes over from a silent one
// ends the head of its response early: before the takeover counts as accepted, or after that.
func TestCutHeadOfTakeover(t *testing.T) {
	t.Parallel()
	const cuts = 8 // of each form, spread over the head
	silent := func(attempt string, resumes bool) reply {
		begin := streamReply(attempt, 1, 3)
		if begin.end = hang; !resumes {
			return begin
		}
		end := streamEvents(4, headEvents)
		begin.end, begin.pause, begin.rest = keep, 2*maxSilence, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(end), end)
		return begin
	}
	for _, test := range []struct {
		name    string
		late    bool // the target is asked to take over, counts as accepted, and then cuts the head
		replies func(attempt string, cut reply) []reply
		whole   bool
	}{
		{"at once, the silent target goes on", false, func(attempt string, cut reply) []reply { return []reply{silent(attempt, true), cut, cut} }, true},
		{"at once, another target takes over", false, func(attempt string, cut reply) []reply {
			return []reply{silent(attempt, false), cut, streamReply(attempt, 4, headEvents)}
		}, true},
		{"late, another target goes on", true, func(attempt string, cut reply) []reply {
			return []reply{silent(attempt, false), cut, streamReply(attempt, 4, headEvents)}
		}, true},
		{"late, all cut", true, func(attempt string, cut reply) []reply { return []reply{silent(attempt, false), cut, cut} }, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newScripted(t)
			clock := core.Clock(patientClock{})
			if test.late {
				clock = core.SystemClock{}
			}
			var group sync.WaitGroup
			played := 0
			for form, head := range headForms("200 OK", targetHeader("t0000000")+"Content-Type: text/event-stream\r\n") {
				for i := range cuts {
					for _, end := range []ending{closed, reset} {
						played++
						attempt := fmt.Sprintf("t%07d", played)
						cut := reply{text: strings.ReplaceAll(head[:len(head)-1-i*len(head)/cuts], "t0000000", attempt), end: end}
						if test.late {
							half := len(cut.text) / 2
							cut.text, cut.pause, cut.rest = cut.text[:half], maxOverlap+100*time.Millisecond, cut.text[half:]
						}
						server.script(attempt, test.replies(attempt, cut)...)
						daemon := newHeadDaemon(t, server.address, clock) // the failures of other requests would leave no target that is usable
						group.Go(func() {
							got := sendRequest(t.Context(), daemon.front, "stream", attempt)
							if got.complete() != test.whole || got.complete() && got.body != streamEvents(1, headEvents) {
								t.Errorf("%s, %q: %+v after %d requests", form, cut.text+cut.rest, got, len(server.requests(attempt)))
							}
							if len(server.requests(attempt)) < 2 {
								t.Errorf("%s, %q: no target was asked to take over", form, cut.text+cut.rest)
							}
						})
					}
				}
			}
			group.Wait()
			t.Logf("%d heads were cut", played)
		})
	}
}

// TestCutHeadOfBatchCall guards against a batch call whose response's head ends early and that counts as one without results, or with those of another call: a
// request would run without its inputs. The same for calls that free results.
func TestCutHeadOfBatchCall(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"200 OK", "503 Full", "500 Failed"} {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			heads := func(string) map[string]string {
				return headForms(status, "Not-Run: 1\r\nContent-Type: application/json\r\n")
			}
			played := cutHeads(t, 11, heads, func(attempt, form string, cut reply) {
				server := newScripted(t)
				defer server.close()
				server.freeing = cut
				daemon := newHeadDaemon(t, server.address, core.SystemClock{}) // a target that has failed gets no call for a while
				defer daemon.close()
				for stage := range 2 {
					server.script(fmt.Sprintf("%s-%d", attempt, stage), cut)
				}
				got := sendRequest(t.Context(), daemon.front, "staged", attempt)
				inputs := fmt.Sprint(server.requests(attempt))
				if want := fmt.Sprintf("[%s/%s-1-0]", server.address, attempt); got.status != http.StatusOK || got.body != "answer to "+attempt || inputs != want {
					t.Errorf("%s, %q: %+v with the inputs %s, want %s", form, cut.text, got, inputs, want)
				}
				for stage := range 2 {
					if calls := len(server.requests(fmt.Sprintf("%s-%d", attempt, stage))); calls < 2 {
						t.Errorf("%s, %q: %d calls of stage %d", form, cut.text, calls, stage)
					}
				}
				for i := 0; server.freed.Load() == 0; i++ {
					if time.Sleep(freeDelay); i == 100 {
						t.Fatalf("%s, %q: no results were freed", form, cut.text)
					}
				}
				if got := sendRequest(t.Context(), daemon.front, "unsafe", "n"+attempt); got.status != http.StatusOK || got.body != "answer to n"+attempt {
					t.Errorf("%s, %q: next request: %+v", form, cut.text, got)
				}
			})
			t.Logf("%d heads of calls and %d of frees were cut", 2*played, played)
		})
	}
}

// newForwardingDaemon returns a daemon that has lost its paths to the targets, and knows the daemons at the addresses as sound.
func newForwardingDaemon(t testing.TB, peers ...string) headDaemon {
	daemon := newHeadDaemon(t, "127.0.0.1:1", core.SystemClock{})
	daemon.paths.mutex.Lock()
	var probes []reach.Probe
	for i := range pathProbes {
		probes = append(probes, reach.Probe{Target: fmt.Sprint("target", i), OthersReachIt: true})
	}
	daemon.paths.paths.Judge(daemon.clock.Now(), probes)
	daemon.paths.mutex.Unlock()
	daemon.do(func() {
		now := daemon.clock.Now()
		for i, address := range peers {
			calls, cancel := context.WithCancel(daemon.loopContext)
			daemon.control.peers[address] = &peer{
				record:   record{ID: core.MemberID(fmt.Sprint("peer-", i)), Peer: address, DataCentre: "dc", Cores: 1},
				forwards: true, lastSeen: now, callContext: calls, cancelCalls: cancel, forecasts: map[string]forecastAt{},
			}
		}
		daemon.control.peersBySize, daemon.control.peerLastSeen = nil, now
	})
	return daemon
}

// TestCutHeadBetweenDaemons guards against the response of a daemon to a request that it forwards, or to a call, whose head ends early and that counts as whole:
// of a target, as the promise of that daemon that the request has not run, or as an empty reply to the call.
func TestCutHeadBetweenDaemons(t *testing.T) {
	t.Parallel()
	const ofDaemon = "Catkincove-Origin: Service=model&Version=v1\r\nDate: Sun, 06 Dec 2026 08:00:00 GMT\r\n"
	for _, test := range []struct {
		name, route, status, header string // the header does not include that of a target
		target                      bool   // the response is one of a target
		resumed                     bool   // a stream has broken before, and its rest follows
	}{
		{"response", "unsafe", "200 OK", "", true, false},
		{"error response", "unsafe", "500 Failed", "", true, false},
		{"refusal", "unsafe", "503 Full", "Retry-After: 1\r\n", false, false},
		{"lost paths", "unsafe", "503 Full", headerPathsLost + ": 1\r\n", false, false},
		{"stream", "stream", "200 OK", "Content-Type: text/event-stream\r\n", true, false},
		{"stream that goes on", "stream", "200 OK", "Content-Type: text/event-stream\r\n", true, true},
		{"refusal of a stream that goes on", "stream", "503 Full", "", false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			heads := func(attempt string) map[string]string {
				header := ofDaemon + test.header
				if test.target {
					header = targetHeader(attempt) + header
				}
				return headForms(test.status, header)
			}
			played := cutHeads(t, 9, heads, func(attempt, form string, cut reply) {
				servers := []*scripted{newScripted(t), newScripted(t), newScripted(t)}
				daemon := newForwardingDaemon(t, servers[0].address, servers[1].address, servers[2].address)
				defer daemon.close()
				count := &forwardCount{replies: []reply{cut}}
				want := 1
				if test.resumed {
					begin := streamReply(attempt, 1, 3)
					begin.text = strings.Replace(begin.text, "\r\n", "\r\n"+ofDaemon, 1)
					count.replies, want = []reply{begin, cut, streamReply(attempt, 4, headEvents)}, 3
				}
				for _, server := range servers {
					defer server.close()
					server.forward = count.next
				}
				got := sendRequest(t.Context(), daemon.front, test.route, attempt)
				switch {
				case test.resumed && (!got.complete() || got.body != streamEvents(1, headEvents)):
					t.Errorf("%s, %q: %+v", form, cut.text, got)
				case !test.resumed && (got.status != http.StatusBadGateway || got.err != nil):
					t.Errorf("%s, %q: %+v", form, cut.text, got)
				}
				if requests := int(count.requests.Load()); requests != want {
					t.Errorf("%s, %q: %d requests to daemons", form, cut.text, requests)
				}
			})
			t.Logf("%d heads were cut", played)
		})
	}
	t.Run("calls", func(t *testing.T) {
		t.Parallel()
		daemon := newHeadDaemon(t, "127.0.0.1:1", core.SystemClock{})
		played := cutHeads(t, 3, func(string) map[string]string { return headForms("200 OK", "Content-Type: application/json\r\n") }, func(_, form string, cut reply) {
			server := newScripted(t)
			defer server.close()
			server.forward = func() reply { return cut }
			for _, path := range []string{pathPing, pathPieces, pathFree, pathPlace, pathOrigin} {
				var answer map[string]any
				if err := daemon.callPeer(t.Context(), server.address, path, struct{}{}, &answer); err == nil {
					t.Errorf("%s, %s, %q: no error", path, form, cut.text)
				}
			}
		})
		t.Logf("%d heads were cut", played)
	})
}

// forwardCount hands out replies to the requests that any of several daemons gets.
type forwardCount struct {
	requests atomic.Int64
	replies  []reply
}

func (count *forwardCount) next() reply {
	if number := int(count.requests.Add(1)); number <= len(count.replies) {
		return count.replies[number-1]
	}
	return reply{text: "HTTP/1.1 500 Unexpected\r\nContent-Length: 0\r\n\r\n"}
}

// TestCutHeadBehindDaemon guards against a head that a target cuts behind the daemon that forwards the request, and that the first daemon passes on as a whole
// response.
func TestCutHeadBehindDaemon(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, route string
		replies     func(attempt string, cut reply) []reply
		whole       bool
	}{
		{"response", "unsafe", func(_ string, cut reply) []reply { return []reply{cut} }, false},
		{"stream, all cut", "stream", func(_ string, cut reply) []reply { return []reply{cut, cut, cut} }, false},
		{"stream that goes on", "stream", func(attempt string, cut reply) []reply {
			return []reply{streamReply(attempt, 1, 3), cut, streamReply(attempt, 4, headEvents)}
		}, true},
		{"stream that goes on, all cut", "brief", func(attempt string, cut reply) []reply { // waits for a target until its time limit
			return []reply{streamReply(attempt, 1, 3), cut, cut, cut, cut, cut, cut, cut, cut, cut}
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			heads := func(attempt string) map[string]string {
				return headForms("200 OK", targetHeader(attempt)+"Content-Type: text/event-stream\r\n")
			}
			step := 7
			if test.route == "brief" {
				step = 23
			}
			played := cutHeads(t, step, heads, func(attempt, form string, cut reply) {
				server := newScripted(t)
				defer server.close()
				second := newHeadDaemon(t, server.address, core.SystemClock{})
				defer second.close()
				peer := httptest.NewServer(second.guard("peer", callid.Echo(second.peerHandler())))
				defer peer.Close()
				daemon := newForwardingDaemon(t, strings.TrimPrefix(peer.URL, "http://"))
				defer daemon.close()
				server.script(attempt, test.replies(attempt, cut)...)
				got := sendRequest(t.Context(), daemon.front, test.route, attempt)
				if got.complete() != test.whole || got.complete() && got.body != streamEvents(1, headEvents) || got.err == nil && got.status != http.StatusOK && answer.ImpliesNotRun(got.status) {
					t.Errorf("%s, %q: %+v after %d requests", form, cut.text, got, len(server.requests(attempt)))
				}
				if len(server.requests(attempt)) == 0 || test.route == "unsafe" && len(server.requests(attempt)) > 1 {
					t.Errorf("%s, %q: %d requests", form, cut.text, len(server.requests(attempt)))
				}
			})
			t.Logf("%d heads were cut", played)
		})
	}
}
