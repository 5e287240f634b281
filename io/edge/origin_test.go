package edge

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/origin"
	"catkincove/core/place"
	"catkincove/io/callid"
)

// pickyStore refuses transactions that write a key with the text, as a store does with keys that it does not accept.
type pickyStore struct {
	*fakes.Store
	refused string

	mutex   sync.Mutex
	written map[string]bool
}

func (store *pickyStore) Commit(_ context.Context, txn core.Txn) (core.TxnResult, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, put := range txn.Puts {
		if strings.Contains(put.Key, store.refused) {
			return core.TxnResult{}, errors.New("refused")
		}
	}
	for _, put := range txn.Puts {
		store.written[put.Key] = true
	}
	return core.TxnResult{Succeeded: true}, nil
}

func (*pickyStore) GrantLease(context.Context, time.Duration) (core.LeaseID, error) { return 1, nil }

// TestRefusedOrigin guards against records of origins that are not written because the store refuses one of them.
func TestRefusedOrigin(t *testing.T) {
	store := &pickyStore{refused: "bad", written: map[string]bool{}}
	daemon := New(Options{Dialect: plainDialect{}, Store: store, Clock: core.SystemClock{}})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	attempts := []string{"good1", "bad", "good2", "good3"}
	daemon.do(func() {
		for _, attempt := range attempts {
			daemon.queueOrigin(daemon.clock.Now(), attempt, origin.Origin{Service: "s", Version: "v2"})
		}
	})
	go func() { _ = daemon.recordOrigins(t.Context()) }()
	deadline := time.Now().Add(5 * time.Second)
	for written := 0; written < 3; time.Sleep(20 * time.Millisecond) {
		store.mutex.Lock()
		written = len(store.written)
		store.mutex.Unlock()
		if time.Now().After(deadline) {
			t.Fatalf("%d of 3 records are written", written)
		}
	}
}

// TestStreamOfDroppedRecordIsRefused guards against a stream that begins at another version than the baseline although its record was dropped from a full queue
// and no other daemon keeps it.
func TestStreamOfDroppedRecordIsRefused(t *testing.T) {
	daemon := New(Options{Dialect: plainDialect{}, Store: &fakes.Store{}, Clock: core.SystemClock{}})
	go func() { _ = daemon.loop.Run(daemon.loopContext) }()
	t.Cleanup(daemon.stopLoop)
	go func() { _ = daemon.tellOrigins(t.Context()) }()
	daemon.view.Store(&view{targets: map[string][]place.Target{"s": {{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}}})
	began := origin.Origin{Service: "s", Version: "v2"}
	incoming := &request{route: core.Route{Stream: true, Resumable: true, MaxTargets: 1}, caller: core.CallerRequest{Attempt: "first"}}
	relay := &relay{daemon: daemon, request: incoming, service: core.ServiceSpec{Name: "s"}, attempt: &attempt{target: place.Target{ID: "b", Version: "v2"}}}
	relay.recordOrigin()
	daemon.do(func() {
		daemon.control.origins.baselines["s"] = knownBaseline{Baseline: origin.Baseline{Version: "v1"}}
		for i := range maxPendingOrigins {
			daemon.queueOrigin(daemon.clock.Now(), fmt.Sprint("other", i), began)
		}
	})
	if err := relay.awaitRecord(t.Context(), began); !errors.Is(err, errOriginUnrecorded) {
		t.Errorf("error %v", err)
	}
}

// valueStore keeps the newest value of each key.
type valueStore struct {
	*fakes.Store

	mutex  sync.Mutex
	values map[string]string
}

func (store *valueStore) Commit(_ context.Context, txn core.Txn) (core.TxnResult, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, put := range txn.Puts {
		store.values[put.Key] = string(put.Value)
	}
	return core.TxnResult{Succeeded: true}, nil
}

func (*valueStore) GrantLease(context.Context, time.Duration) (core.LeaseID, error) { return 1, nil }

// TestOriginOfForwardedStream guards against a stream that is resumed at a version that did not begin it, because a daemon told of a target that rejected the
// request and then passed it on to another daemon, whose target began the stream: holders kept what the first daemon had told, which had counted more records, and
// the first daemon itself kept its own.
func TestOriginOfForwardedStream(t *testing.T) {
	const id = "first"
	store := &valueStore{values: map[string]string{}}
	newDaemon := func() (*Daemon, string) {
		daemon := New(Options{Dialect: plainDialect{}, Store: store, Clock: core.SystemClock{}})
		go func() { _ = daemon.loop.Run(daemon.loopContext) }()
		t.Cleanup(daemon.stopLoop)
		go func() { _ = daemon.tellOrigins(t.Context()) }()
		go func() { _ = daemon.recordOrigins(t.Context()) }()
		daemon.view.Store(&view{targets: map[string][]place.Target{"s": {{ID: "a", Version: "v1"}, {ID: "b", Version: "v2"}}}})
		daemon.do(func() {
			daemon.control.origins.baselines["s"] = knownBaseline{Baseline: origin.Baseline{Version: "v1"}, since: daemon.clock.Now()}
		})
		server := httptest.NewServer(callid.Echo(daemon.peerHandler()))
		t.Cleanup(server.Close)
		return daemon, server.Listener.Addr().String()
	}
	first, _ := newDaemon()
	second, secondAddress := newDaemon()
	holder, holderAddress := newDaemon()
	for _, daemon := range []*Daemon{first, second} {
		daemon.do(func() {
			known := &peer{lastSeen: daemon.clock.Now()}
			known.Peer = holderAddress
			daemon.control.peers[holderAddress] = known
		})
	}
	newRelay := func(daemon *Daemon, version string) *relay {
		incoming := httptest.NewRequest(http.MethodPost, "/quote", nil)
		request := &request{incoming: incoming, route: core.Route{Stream: true, Resumable: true, MaxTargets: 2}, caller: core.CallerRequest{Attempt: id}, startedAt: daemon.clock.Now()}
		target := place.Target{ID: map[string]string{"v1": "a", "v2": "b"}[version], Version: version}
		return &relay{daemon: daemon, request: request, service: core.ServiceSpec{Name: "s"}, attempt: &attempt{target: target}, writer: httptest.NewRecorder()}
	}
	check := func(daemon *Daemon, name string) {
		t.Helper()
		var began origin.Origin
		daemon.do(func() { began, _ = daemon.control.origins.table.Find(daemon.clock.Now(), id) })
		if began.Version != "v2" {
			t.Errorf("the %s takes the stream for one of version %q, expected v2", name, began.Version)
		}
	}

	first.do(func() {
		for i := range 30 {
			first.queueOrigin(first.clock.Now(), fmt.Sprint("other", i), origin.Origin{Service: "s", Version: "v2"})
		}
	})
	rejected := newRelay(first, "v1")
	rejected.recordOrigin()
	passedOn := newRelay(first, "")
	passedOn.request = rejected.request
	passedOn.attempt = &attempt{target: place.Target{ID: "daemon second", Address: secondAddress}, through: &peer{}}
	response, err := passedOn.forwardExchange(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close() // the second daemon knows no routing
	began := newRelay(second, "v2")
	began.request.forwarded = true
	began.recordOrigin()
	if err := began.fixOrigin(t.Context()); err != nil {
		t.Fatal(err)
	}
	<-rejected.record.told
	<-began.record.told
	check(holder, "holder")

	passedOn.toldOrigin = began.request.origin
	if err := passedOn.fixOrigin(t.Context()); err != nil {
		t.Fatal(err)
	}
	check(first, "first daemon")
	check(holder, "holder")
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if value := store.values[core.OriginPrefix+id]; !strings.Contains(value, `"v2"`) {
		t.Errorf("record %s, expected one of v2", value)
	}
}
