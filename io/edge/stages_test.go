package edge

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
)

// peerCalls answers the calls of a daemon to others and records who frees what.
type peerCalls struct {
	pieces func(host string, message piecesRequest) piecesReply

	mutex sync.Mutex
	frees []string // "peer: handle handle"
}

// RoundTrip answers one call.
func (calls *peerCalls) RoundTrip(request *http.Request) (*http.Response, error) {
	var reply any = struct{}{}
	switch request.URL.Path {
	case pathPieces:
		var message piecesRequest
		if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
			return nil, err
		}
		reply = calls.pieces(request.URL.Host, message)
	case pathFree:
		var message freeRequest
		if err := json.NewDecoder(request.Body).Decode(&message); err != nil {
			return nil, err
		}
		calls.mutex.Lock()
		calls.frees = append(calls.frees, fmt.Sprint(request.URL.Host, ": ", strings.Join(message.Handles, " ")))
		calls.mutex.Unlock()
	default:
		return nil, errNoNetwork
	}
	body, err := json.Marshal(reply)
	if err != nil {
		return nil, err
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body)), Request: request}, nil
}

// awaitFrees waits until there have been as many calls, and returns them in order.
func (calls *peerCalls) awaitFrees(t *testing.T, count int) []string {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		calls.mutex.Lock()
		frees := slices.Sorted(slices.Values(calls.frees))
		calls.mutex.Unlock()
		if len(frees) >= count || time.Now().After(deadline) {
			return frees
		}
	}
}

// setSender makes all daemons of the fleet but one report that they do not send batches; it must run on the loop.
func (daemon *Daemon) setSender(sender record) {
	for _, known := range daemon.control.peers {
		known.sendsFor = map[string]bool{"stock": known.ID == sender.ID}
	}
}

// TestResultsAreFreedAtTheirSender guards against results that are freed through the daemon that sends the batches by then, while the one
// that had sent their pieces counts them until they expire: its last jobs waited for room at idle targets until their deadline. Early
// releases go to the present sender, which may be another one as well.
func TestResultsAreFreedAtTheirSender(t *testing.T) {
	for _, test := range []struct {
		name     string
		moves    int  // stage whose pieces are the last ones that the first sender sends
		released bool // the second stage releases its inputs early
		want     []string
	}{
		{"the role stays", 2, false, []string{"first: s0", "first: s1"}},
		{"the role moves after the first stage", 0, false, []string{"first: s0", "second: s1"}},
		{"the role moves after the second stage", 1, false, []string{"first: s0", "first: s1"}},
		{"released early by the same sender", 2, true, []string{"first: s1"}},
		{"released early by another sender", 0, true, []string{"first: s0", "second: s1"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			calls := &peerCalls{}
			daemon := newFleetMemberWith(t, calls, core.SystemClock{})
			first, second := fleetRecord(3), fleetRecord(5)
			names := map[string]string{first.Peer: "first", second.Peer: "second"}
			calls.pieces = func(host string, message piecesRequest) piecesReply {
				if message.Stage == test.moves {
					daemon.do(func() { daemon.setSender(second) })
				}
				return piecesReply{Handles: []string{fmt.Sprint("s", message.Stage)}, Released: test.released && message.Stage == 1}
			}
			daemon.do(func() { daemon.setSender(first) })
			now := daemon.clock.Now()
			request := &request{
				caller: core.CallerRequest{Attempt: "a"}, services: daemon.view.Load().routing.Services, startedAt: now,
				softDeadline: now.Add(2 * time.Second), deadline: now.Add(6 * time.Second), plan: admit.Plan{Remaining: make([]time.Duration, 2), Slack: make([]time.Duration, 2)},
				route: core.Route{Name: "r", Stages: []core.StageSpec{{Service: "stock", ResultBytes: 8000}, {Service: "stock", After: []int{0}, ResultBytes: 8000}}},
			}
			inputs := &inputs{daemon: daemon, request: request}
			if err := inputs.produce(t.Context()); err != nil {
				t.Fatal(err)
			}
			inputs.free()
			frees := calls.awaitFrees(t, len(test.want))
			for i := range frees {
				host, handles, _ := strings.Cut(frees[i], ": ")
				frees[i] = names[host] + ": " + handles
			}
			slices.Sort(frees)
			if !slices.Equal(frees, test.want) {
				t.Errorf("results are freed through %v, want %v", frees, test.want)
			}
		})
	}
}

// TestMissingStagesRunAgain guards against stage work that is thrown away: after a target had restarted, all stages of a request whose
// input was gone ran again, also those whose results were held, and also without time for them.
func TestMissingStagesRunAgain(t *testing.T) {
	for _, test := range []struct {
		name string
		left time.Duration
		runs []int // by stage
		want bool
	}{
		{"in time", 6 * time.Second, []int{1, 2, 2, 1}, true},
		{"no time left", 200 * time.Millisecond, []int{1, 1, 1, 0}, false},
	} {
		calls := &peerCalls{}
		daemon := newFleetMemberWith(t, calls, core.SystemClock{})
		runs := make([]int, 4)
		var mutex sync.Mutex
		calls.pieces = func(_ string, message piecesRequest) piecesReply {
			mutex.Lock()
			defer mutex.Unlock()
			runs[message.Stage]++
			reply := piecesReply{Handles: []string{fmt.Sprint("s", message.Stage, "-", runs[message.Stage])}, Forecast: batch.Forecast{Capacity: 5, Call: 100 * time.Millisecond}}
			if message.Stage == 2 && slices.Contains(message.Inputs, "s1-1") {
				return piecesReply{Fault: core.PieceInputGone, Forecast: reply.Forecast}
			}
			return reply
		}
		now := daemon.clock.Now()
		request := &request{
			caller: core.CallerRequest{Attempt: "a"}, services: daemon.view.Load().routing.Services, startedAt: now,
			softDeadline: now.Add(test.left), deadline: now.Add(test.left), plan: admit.Plan{Remaining: make([]time.Duration, 4), Slack: make([]time.Duration, 4)},
			route: core.Route{Name: "r", Stages: []core.StageSpec{{Service: "stock", ResultBytes: 1_500_000}, {Service: "stock", ResultBytes: 8000}, {Service: "stock", After: []int{1}}, {Service: "stock", After: []int{2}}}},
		}
		daemon.do(func() { daemon.setSender(fleetRecord(3)) })
		err := (&inputs{daemon: daemon, request: request}).produce(t.Context())
		failed := (*stageError)(nil)
		if done := err == nil; done != test.want || !done && !(errors.As(err, &failed) && failed.Fault == core.PieceInputGone) {
			t.Errorf("%s: error %v", test.name, err)
		}
		mutex.Lock()
		if !slices.Equal(runs, test.runs) {
			t.Errorf("%s: the stages ran %v times, want %v", test.name, runs, test.runs)
		}
		mutex.Unlock()
	}
}

// TestFormerSenderFreesItsResults guards against a daemon that has lost the role of the sender and frees the results of its own pieces
// through the new one, so that its own pool counts them until they expire.
func TestFormerSenderFreesItsResults(t *testing.T) {
	daemon := newFleetMemberWith(t, &peerCalls{}, core.SystemClock{})
	daemon.do(func() {
		daemon.setSender(fleetRecord(3))
		now := daemon.clock.Now()
		pool := daemon.sender("stock", *daemon.view.Load().routing.Services["stock"].Batch).pool
		pool.Submit(batch.Job{Attempt: "a", Pieces: 1, ResultBytes: 1_500_000, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)})
		calls, _, _ := pool.Dispatch(now)
		pool.Finish(now, calls[0].ID, batch.Responded, []core.PieceResult{{Handle: "h"}})
	})
	retained := func() (bytes int64) {
		daemon.do(func() {
			_, targets := daemon.control.senders["stock"].pool.Load(daemon.clock.Now(), fleetTargets)
			for _, target := range targets {
				bytes += target.RetainedBytes
			}
		})
		return bytes
	}
	if before := retained(); before != 1_500_000 {
		t.Fatalf("%d bytes are retained", before)
	}
	daemon.releaseResults("stock", results{[]string{"h"}, daemon.options.Settings.AdvertisePeer})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	for retained() > 0 {
		if !core.Sleep(ctx, daemon.clock, time.Millisecond) {
			t.Fatal("the pool still counts a result that was freed")
		}
	}
}

// TestTwoSenders guards against two daemons that both send the batches of a service for many seconds, because the others know one
// of them only: each takes the calls of the other for slow targets. A daemon that knows of the other sender names it, once for a job.
func TestTwoSenders(t *testing.T) {
	calls := &peerCalls{}
	daemon := newFleetMemberWith(t, calls, core.SystemClock{})
	first, second := fleetRecord(3), fleetRecord(5)
	var asked []string
	calls.pieces = func(host string, message piecesRequest) piecesReply {
		asked = append(asked, fmt.Sprint(host, " ", message.Named))
		if host == first.Peer {
			return piecesReply{Fault: core.PieceMoved, Sender: second.Peer}
		}
		return piecesReply{Handles: []string{"h"}}
	}
	daemon.do(func() { daemon.setSender(first) })
	for range 2 {
		if _, err := daemon.produce(t.Context(), piecesRequest{Service: "stock", Pieces: 1}); err != nil {
			t.Fatal(err)
		}
	}
	if want := []string{first.Peer + " false", second.Peer + " true", second.Peer + " false"}; !slices.Equal(asked, want) {
		t.Errorf("asked %v, want %v", asked, want)
	}
	for named, want := range map[bool]piecesReply{false: {Fault: core.PieceMoved, Sender: second.Peer}, true: {Fault: core.PieceLate}} {
		body, _ := json.Marshal(piecesRequest{Service: "stock", Spec: daemon.view.Load().routing.Services["stock"].Batch, Pieces: 1, Named: named})
		answer := httptest.NewRecorder()
		daemon.servePieces(answer, httptest.NewRequest(http.MethodPost, pathPieces, bytes.NewReader(body)))
		var got piecesReply
		if err := json.Unmarshal(answer.Body.Bytes(), &got); err != nil || got.Fault != want.Fault || got.Sender != want.Sender {
			t.Errorf("named %v: %+v, %v, want %+v", named, got, err, want)
		}
	}
}

// refusingPeer refuses connections to the daemon at the address; others cannot be reached.
type refusingPeer string

// RoundTrip fails as a connection to a process that has ended.
func (peer refusingPeer) RoundTrip(request *http.Request) (*http.Response, error) {
	if request.URL.Host != string(peer) {
		return nil, errNoNetwork
	}
	return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
}

// TestResultsOfKilledDaemon guards against results of a daemon that was killed which occupy room until they expire: its connection with
// a job of a request breaks, and its address refuses connections or answers for another run.
func TestResultsOfKilledDaemon(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		holder, other := fleetRecord(3), fleetRecord(5)
		daemon := newFleetMemberWith(t, refusingPeer(holder.Peer), core.SystemClock{})
		var pool *batch.Pool
		daemon.do(func() {
			now := daemon.clock.Now()
			spec := *daemon.view.Load().routing.Services["stock"].Batch
			spec.ResultTTL = time.Minute
			pool = daemon.sender("stock", spec).pool
			for _, owner := range []core.MemberID{holder.ID, other.ID} {
				pool.Submit(batch.Job{Attempt: "a", Owner: string(owner), Pieces: 1, ResultBytes: 1_500_000, SoftDeadline: now.Add(time.Second), Deadline: now.Add(time.Second)})
			}
			calls, _, _ := pool.Dispatch(now)
			for i, call := range calls {
				results := make([]core.PieceResult, len(call.Pieces))
				for j := range results {
					results[j].Handle = fmt.Sprint("h", i, j)
				}
				pool.Finish(now, call.ID, batch.Responded, results)
			}
		})
		if restarted {
			again := holder
			again.ID += "-again"
			daemon.do(func() { daemon.mergeStatus(peerStatus{Record: again}) })
		}
		var held int64
		for deadline := time.Now().Add(5 * time.Second); held != 1_500_000 && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			held = 0
			daemon.do(func() {
				daemon.checkPeer(holder.Peer)
				_, targets := pool.Load(daemon.clock.Now(), fleetTargets)
				for _, target := range targets {
					held += target.RetainedBytes
				}
			})
		}
		if held != 1_500_000 {
			t.Errorf("restarted %v: %d bytes are retained, want those of the other daemon", restarted, held)
		}
	}
}
