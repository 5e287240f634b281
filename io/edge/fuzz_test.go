package edge

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// FuzzReadEvent guards against bytes of a stream that are lost, repeated or invented when it is split into events, and
// against an event that is passed on without its end.
func FuzzReadEvent(f *testing.F) {
	for _, seed := range []string{"id: 1\ndata: a\n\nid: 2\n\n", "id: 1\r\ndata: a\r\n\r\n", "data: a", "\n\n\n", "id:\nid:7\n\n", "data: " + string(bytes.Repeat([]byte("x"), eventBufferBytes)) + "\n\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bufio.NewReaderSize(bytes.NewReader(stream), eventBufferBytes)
		var whole []byte
		for {
			event, _, err := readEvent(reader)
			if err != nil {
				break
			}
			if !bytes.HasSuffix(event, []byte("\n")) {
				t.Fatalf("event %q has no end", event)
			}
			whole = append(whole, event...)
		}
		if !bytes.HasPrefix(stream, whole) {
			t.Errorf("the events are not the beginning of the stream")
		}
		if rest := stream[len(whole):]; len(rest) > 0 && len(rest) < maxEventBytes && bytes.Contains(rest, []byte("\n\n")) {
			t.Errorf("an event is left out: %q", rest)
		}
	})
}

// FuzzPeerMessages guards against a message of another daemon that makes a handler or the control loop panic.
func FuzzPeerMessages(f *testing.F) {
	paths := []string{pathPing, pathCopies, pathPieces, pathPlace, pathRead, pathFree}
	for i := range paths {
		f.Add(uint8(i), []byte(`{}`))
		f.Add(uint8(i), []byte(`{"Service":"model","Attempt":"a","Pieces":2,"Prompt":{"Attempt":"a","Parts":[{"ID":"x","Tokens":5}],"Hint":"i-0"},"Handles":["10.0.0.1:1/x"],"Target":"i-0","Outcome":1,"Since":[1,0,9],"Aim":1000000,"Left":1000000}`))
		f.Add(uint8(i), []byte(`{"Record":{"ID":"d","Front":"10.0.0.2:1","Peer":"10.0.0.2:2","Cores":0.8},"Leaving":true,"Sends":["model"],"Forecasts":{"stock":{"Capacity":1,"Ahead":[1,2]}},"Losses":[{"Content":1,"Target":"t","Age":5}],"Heard":[{"Peer":"10.2.0.1:81","Age":3}]}`))
	}
	daemon := newFleetMember(f)
	handler := daemon.guard("fuzz", daemon.peerHandler())
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Millisecond)
		defer cancel()
		request := httptest.NewRequestWithContext(ctx, http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		before := daemon.metrics.panics.Load()
		func() {
			defer func() { _ = recover() }() // guard aborts the request after a panic
			handler.ServeHTTP(httptest.NewRecorder(), request)
		}()
		daemon.do(func() {})
		if daemon.metrics.panics.Load() != before {
			t.Errorf("%s: %q", paths[int(path)%len(paths)], body)
		}
	})
}

// FuzzStatus guards against a status of another daemon that is merged without an error and can't be sent on.
func FuzzStatus(f *testing.F) {
	f.Add([]byte(`{"Record":{"ID":"d","Peer":"10.2.0.1:81"},"Heard":[{"Peer":"10.2.0.3:81","Age":1}]}`))
	daemon := newFleetMember(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		var status peerStatus
		if json.Unmarshal(data, &status) != nil {
			return
		}
		daemon.do(func() { daemon.mergeStatus(status) })
		if _, err := json.Marshal(daemon.status()); err != nil {
			t.Error(err)
		}
		daemon.do(func() {
			for address, known := range daemon.control.peers {
				if known.lastSeen.After(daemon.clock.Now()) {
					t.Errorf("%s was last seen in the future", address)
				}
			}
		})
	})
}
