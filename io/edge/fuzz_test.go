package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/blame"
	"catkincove/core/place"
	"catkincove/io/intake"
	"catkincove/io/stream"
)

// FuzzReadEvent guards against bytes of a stream that are lost, repeated or invented when it is split into events, against an
// event that is passed on without its end or with the ID of another one, and against a stream that ends inside an event and
// counts as complete.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{
		"id: 1\ndata: a\n\nid: 2\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a", "id: 1\ndata: a\n", "\n\n\n", ": hi\n\n: hi\n", ": hi\n\n\nid: 1\ndata: a\n\n\n", "\n: hi", "id:\nid:7\n\n",
		"id: " + string(bytes.Repeat([]byte("1"), stream.BufferBytes)) + "\n\n",
		"data: " + string(bytes.Repeat([]byte("x"), stream.BufferBytes)) + "\n\n", string(bytes.Repeat([]byte("x"), stream.BufferBytes)) + "id: 9\n\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(sent), stream.BufferBytes)
		var whole []byte
		var end error
		for end == nil {
			event, id, err := stream.ReadEvent(reader, (&intake.Budget{Limit: 4 * stream.MaxEventBytes}).Memory().Reserve)
			if end = err; err != nil {
				break
			}
			content := withoutIdleLines(event)
			if len(content) == 0 {
				whole = append(whole, event...) // the end of the stream
				continue
			}
			lines := bytes.SplitAfter(content, []byte("\n"))
			if last := len(lines) - 1; last < 2 || len(lines[last]) > 0 || len(bytes.TrimRight(lines[last-1], "\r\n")) > 0 {
				t.Fatalf("event %q has no end", event)
			}
			var want string
			for i, line := range lines {
				if i < len(lines)-2 && len(bytes.TrimRight(line, "\r\n")) == 0 {
					t.Fatalf("%q are two events", event)
				}
				if text, found := bytes.CutPrefix(line, []byte("id:")); found {
					want = string(bytes.TrimSpace(text))
				}
			}
			if id != want {
				t.Fatalf("event %q has ID %q", event, id)
			}
			whole = append(whole, event...)
		}
		if !bytes.HasPrefix(sent, whole) {
			t.Errorf("the events are not the beginning of the stream")
		}
		rest := sent[len(whole):]
		if len(rest) < stream.MaxEventBytes && bytes.Contains(withoutIdleLines(rest), []byte("\n\n")) {
			t.Errorf("an event is left out: %q", rest)
		}
		if (end == io.EOF) != (len(rest) == 0) {
			t.Errorf("the stream ended with %v before %q", end, rest)
		}
	})
}

// withoutIdleLines returns what follows the empty lines and comments at the beginning.
func withoutIdleLines(text []byte) []byte {
	for {
		line, rest, found := bytes.Cut(text, []byte("\n"))
		if !found || len(bytes.TrimRight(line, "\r")) > 0 && line[0] != ':' {
			return text
		}
		text = rest
	}
}

// forget removes what earlier inputs of a fuzz test have left, so that each input finds the same fleet; peers are the
// daemons of the fleet.
func (daemon *Daemon) forget(peers map[string]*peer) {
	daemon.do(func() {
		control := &daemon.control
		control.senders, control.engines, control.crashTracker = map[string]*sender{}, map[string]*place.Engines{}, blame.CrashTracker{}
		control.peers, control.peersBySize, control.largestCores = map[string]*peer{}, nil, 0
		for address, known := range peers {
			copied := *known
			copied.forecasts = map[string]forecastAt{}
			copied.callContext, copied.cancelCalls = context.WithCancel(context.Background())
			control.peers[address] = &copied
			control.largestCores = max(control.largestCores, known.Cores)
		}
	})
}

// fuzzFleet returns a daemon, and a function that brings it back to its state before the first input.
func fuzzFleet(f *testing.F) (daemon *Daemon, reset func()) {
	daemon = newFleetMember(f)
	peers := map[string]*peer{}
	daemon.do(func() {
		for address, known := range daemon.control.peers {
			if len(peers) < 2*largeFleet {
				copied := *known
				peers[address] = &copied
			}
		}
	})
	return daemon, func() { daemon.forget(peers) }
}

// FuzzPeerMessages guards against a message of another daemon that makes a handler or the control loop panic, or for which a
// handler keeps running after the other daemon has disconnected.
func FuzzPeerMessages(f *testing.F) {
	paths := []string{pathPing, pathCopies, pathPieces, pathPlace, pathRead, pathFree, pathPermit, pathReach, pathRouting}
	for i := range paths {
		f.Add(uint8(i), []byte(`{}`))
		f.Add(uint8(i), []byte(`{"Service":"model","Attempt":"a","Pieces":2,"Prompt":{"Attempt":"a","Parts":[{"ID":"x","Tokens":5}],"Hint":"i-0"},"Handles":["10.0.0.1:1/x"],"Target":"i-0","Outcome":1,"Since":[1,0,9],"Aim":1000000,"Left":1000000}`))
		f.Add(uint8(i), []byte(`{"Service":"ledger","Limit":{"Target":"i-1","Named":true,"Rate":1e308,"Age":5},"MaxWait":-1}`))
		f.Add(uint8(i), []byte(`{"Service":"stock","Attempt":"a","Stage":1,"Pieces":9,"Inputs":["10.9.0.2:80/x"],"Release":true,"Bytes":5,"Zone":"dc-1","Aim":1000000,"Left":1000000,"Handles":["10.9.0.2:80/x"]}`))
		f.Add(uint8(i), []byte(`{"Record":{"ID":"d","Front":"10.0.0.2:1","Peer":"10.0.0.2:2","Cores":0.8},"Leaving":true,"Sends":["model"],"Forecasts":{"stock":{"Capacity":1,"Ahead":[1,2]}},"Losses":[{"Content":1,"Target":"t","Age":5}],"Heard":[{"Peer":"10.2.0.1:81","Age":3}]}`))
	}
	daemon, reset := fuzzFleet(f)
	handler := daemon.guard("fuzz", daemon.peerHandler())
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		reset()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Millisecond)
		defer cancel()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		before := daemon.metrics.panics.Load()
		began := time.Now()
		func() {
			defer func() { _ = recover() }() // guard aborts the request after a panic
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}()
		daemon.do(func() {})
		if daemon.metrics.panics.Load() != before {
			t.Errorf("panic after %s: %q", request.URL.Path, body)
		}
		if took := time.Since(began); took > 5*time.Second {
			t.Errorf("%s took %v: %q", request.URL.Path, took, body)
		}
	})
}

// FuzzStatus guards against a status of another daemon that is merged and makes the decisions that depend on it panic, that
// cannot be sent on, or that claims to be from the future.
func FuzzStatus(f *testing.F) {
	f.Add([]byte(`{"Record":{"ID":"d","Peer":"10.2.0.1:81"},"Limits":[{"Target":"i-0","Named":true,"Rate":0,"Age":9223372036854775807},{"Target":"i-2","Rate":-1,"Age":-1}]}`))
	f.Add([]byte(`{"Record":{"ID":"d","Peer":"10.2.0.1:81"},"Heard":[{"Peer":"10.2.0.3:81","Age":1}]}`))
	f.Add([]byte(`{"Record":{"ID":"d","Peer":"10.2.0.1:81","Cores":1e308},"Leaving":true,"Sends":["stock"],"Forecasts":{"stock":{"Capacity":-1,"Ahead":[0,9]}},"Losses":[{"Content":1,"Target":"t","Age":-5}],"Heard":[{"Peer":"10.2.0.3:81","Age":-9223372036854775808}]}`))
	daemon, reset := fuzzFleet(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var status peerStatus
		if json.Unmarshal(data, &status) != nil {
			return
		}
		reset()
		var sent peerStatus
		daemon.do(func() {
			daemon.mergeStatus(status)
			now := daemon.clock.Now()
			daemon.peersToPing(1)
			daemon.relayCandidates()
			daemon.forecast("stock")
			daemon.rebuildView()
			sent = daemon.newStatus(now)
			for address, known := range daemon.control.peers {
				if known.lastSeen.After(now) {
					t.Errorf("%s was last seen in the future", address)
				}
			}
		})
		if _, err := json.Marshal(sent); err != nil {
			t.Error(err)
		}
	})
}

// FuzzRecords guards against a record of another writer in the store that makes the daemons which list it panic or send messages that cannot be encoded.
func FuzzRecords(f *testing.F) {
	prefixes := []string{core.MemberPrefix, core.BaselinePrefix, core.CrashPrefix, core.OriginPrefix}
	deep := strings.Repeat(`{"Service":[`, 20_000)
	for i := range prefixes {
		for _, seed := range []string{
			deep, `{"ID":"d","Peer":"10.2.0.1:70000","Cores":1}`, `{"ID":"d","Peer":"10.2.0.1:81","Front":"x","Cores":1e308}`, `{"Generation":9223372036854775807,"Version":"v"}`,
			`{"Generation":-1,"Version":"v","Next":"w"}`, `[{"Content":1,"Target":"t","Age":9223372036854775807,"With":[1,2]}]`, `[{"Age":-9223372036854775808}]`, `{"Service":"model","Version":""}`, `1e400`,
		} {
			f.Add(uint8(i), "model", []byte(seed))
		}
	}
	daemon, reset := fuzzFleet(f)
	revision := core.NewRevision(1, 1)
	f.Fuzz(func(t *testing.T, kind uint8, name string, value []byte) {
		reset()
		revision++
		entry := core.Entry{Key: prefixes[int(kind)%len(prefixes)] + name, Value: value, ModRevision: revision, CreateRevision: revision}
		before := daemon.metrics.panics.Load()
		var sent peerStatus
		daemon.do(func() {
			daemon.replaceCopies(core.Snapshot{Revision: revision, Entries: []core.Entry{entry}})
			daemon.rebuildView()
			daemon.peersToPing(1)
			daemon.relayCandidates()
			sent = daemon.newStatus(daemon.clock.Now())
		})
		_ = daemon.baselineChanges()
		if _, err := json.Marshal(sent); err != nil {
			t.Error(err)
		}
		if daemon.metrics.panics.Load() != before {
			t.Errorf("panic after %q: %q", entry.Key, value)
		}
	})
}
