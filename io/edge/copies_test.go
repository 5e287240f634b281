package edge

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/answer"
	"catkincove/io/callid"
)

// copyingTarget is a process that is registered under several IDs, of which one is its own. It sends copies of whole earlier responses of a connection at random: before a response,
// after it, or seconds later, in one piece or in two.
type copyingTarget struct {
	address string
	own     string // suffix of the IDs under which it runs requests

	mutex  sync.Mutex
	random *rand.Rand
	runs   map[string]int // by attempt
	copies int
}

func newCopyingTarget(t *testing.T, own string, seed uint64) *copyingTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	target := &copyingTarget{address: listener.Addr().String(), own: own, random: rand.New(rand.NewPCG(seed, 1)), runs: map[string]int{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go target.serve(conn)
		}
	}()
	return target
}

func (target *copyingTarget) draw(n int) int {
	target.mutex.Lock()
	defer target.mutex.Unlock()
	return target.random.IntN(n)
}

func (target *copyingTarget) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var sent []string
	var writing sync.Mutex
	write := func(text string) {
		writing.Lock()
		defer writing.Unlock()
		cut := target.draw(len(text) + 1)
		_, _ = io.WriteString(conn, text[:cut])
		if target.draw(4) == 0 {
			time.Sleep(time.Millisecond)
		}
		_, _ = io.WriteString(conn, text[cut:])
	}
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		earlier := ""
		if len(sent) > 0 {
			earlier = sent[len(sent)-1-min(target.draw(3), len(sent)-1)]
		}
		response, ends := target.respond(request, body)
		form := target.draw(6)
		if earlier != "" && form < 3 {
			target.mutex.Lock()
			target.copies++
			target.mutex.Unlock()
		}
		switch {
		case earlier != "" && form == 0:
			write(earlier + response)
		case earlier != "" && form == 1:
			write(earlier)
			time.Sleep(time.Duration(target.draw(5)) * time.Millisecond)
			write(response)
		case earlier != "" && form == 2:
			write(response)
			time.AfterFunc(time.Duration(target.draw(400))*time.Millisecond, func() { write(earlier) })
		default:
			write(response)
		}
		if ends {
			return
		}
		sent = append(sent, response)
	}
}

// respond runs a request or refuses it, and reports whether the connection ends with the response.
func (target *copyingTarget) respond(request *http.Request, body []byte) (response string, ends bool) {
	switch request.URL.Path {
	case headPieces:
		return target.produce(body), false
	case headFree:
		return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false
	}
	attempt := request.Header.Get("Attempt")
	if !strings.HasSuffix(request.Header.Get("Target"), target.own) {
		return "HTTP/1.1 421 Misdirected Request\r\n" + targetHeader(attempt) + "Not-Run: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	if target.draw(8) == 0 {
		return "HTTP/1.1 503 Service Unavailable\r\n" + targetHeader(attempt) + "Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull", false
	}
	target.mutex.Lock()
	target.runs[attempt]++
	target.mutex.Unlock()
	last, _ := strconv.Atoi(request.Header.Get("Last-Event"))
	switch {
	case target.draw(12) == 0:
		return "HTTP/1.1 500 Failed\r\n" + targetHeader(attempt) + "Content-Length: 6\r\n\r\nfailed", false
	case strings.HasPrefix(request.URL.Path, "/once/"):
		return streamReply(attempt, 1, headEvents).text, false
	case strings.HasPrefix(request.URL.Path, "/stream/"):
		to := min(last+1+target.draw(2*headEvents), headEvents)
		return streamReply(attempt, last+1, to).text, to < headEvents
	case strings.HasPrefix(request.URL.Path, "/staged/"):
		inputs := strings.Split(request.Header.Get("Inputs"), ",")
		if len(inputs) != 1 || !strings.HasSuffix(inputs[0], "/"+attempt+"-1") {
			return wholeReply(attempt, fmt.Sprintf("inputs %q", inputs)).text, false
		}
	}
	return wholeReply(attempt, "answer to "+attempt).text, false
}

// produce responds to a batch call; a handle names the attempt and the stage of its piece, and a number that tells the results of one piece apart.
func (target *copyingTarget) produce(body []byte) string {
	if target.draw(8) == 0 {
		return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nfull"
	}
	var pieces []core.Piece
	_ = json.Unmarshal(body, &pieces)
	var items []string
	for _, piece := range pieces {
		if target.draw(16) == 0 {
			items = append(items, `{"reason":"error"}`)
			continue
		}
		items = append(items, fmt.Sprintf(`{"handle":"%s/%d/%s-%d"}`, target.address, target.draw(1<<30), piece.Attempt, piece.Stage))
	}
	return wholeReply("", `{"items":[`+strings.Join(items, ",")+`]}`).text
}

// TestRandomCopies guards against requests that run although their callers were told that they have not, that run twice, or that get the response to another one, inputs of another one or
// streams with gaps, while a target with several IDs sends copies of its earlier responses, refusals of the same attempt among them.
func TestRandomCopies(t *testing.T) {
	t.Parallel()
	const callers, requests = 8, 30
	for seed := range uint64(4) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			target := newCopyingTarget(t, "2", seed)
			daemon := newHeadDaemon(t, target.address, core.SystemClock{})
			peer := httptest.NewServer(daemon.guard("peer", callid.Echo(daemon.peerHandler())))
			t.Cleanup(peer.Close)
			fronts := []string{daemon.front, newForwardingDaemon(t, strings.TrimPrefix(peer.URL, "http://")).front} // the second one passes all requests on to the first
			routes := []string{"unsafe", "safe", "once", "stream", "staged"}
			var group sync.WaitGroup
			var mutex sync.Mutex
			statuses := map[int]int{}
			for caller := range callers {
				group.Go(func() {
					for i := range requests {
						route := routes[(caller+i)%len(routes)]
						attempt := fmt.Sprintf("%s-%d-%d", route, caller, i)
						var got callerResponse
						for try := range 2 { // a caller that was rejected comes again with the same attempt
							ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
							got = sendRequest(ctx, fronts[(i/len(routes)+try)%2], route, attempt)
							cancel()
							if got.status != http.StatusServiceUnavailable {
								break
							}
						}
						target.mutex.Lock()
						runs := target.runs[attempt]
						target.mutex.Unlock()
						want := "answer to " + attempt
						if route == "once" || route == "stream" {
							want = streamEvents(1, headEvents)
						}
						if got.complete() && (got.body != want || runs == 0) {
							t.Errorf("%s: body %q after %d runs", attempt, got.body, runs)
						}
						if route != "safe" && route != "stream" && (runs > 1 || runs > 0 && answer.ImpliesNotRun(got.status)) {
							t.Errorf("%s: %d runs, status %d", attempt, runs, got.status)
						}
						mutex.Lock()
						statuses[got.status]++
						mutex.Unlock()
						time.Sleep(20 * time.Millisecond)
					}
				})
			}
			group.Wait()
			t.Logf("%d copies, responses by status %v, %d responses skipped, %d connections", target.copies, statuses, daemon.targets.Skipped(), daemon.targets.Opened())
			if target.copies < 50 || statuses[http.StatusOK] < callers*requests/4 {
				t.Errorf("%d copies, responses by status %v", target.copies, statuses)
			}
		})
	}
}
