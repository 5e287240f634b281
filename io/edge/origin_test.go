package edge

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/origin"
	"catkincove/core/place"
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

// TestOriginID guards against IDs of attempts that make a key too long for the store, or one that it does not accept, and against thousands
// of long ones in memory.
func TestOriginID(t *testing.T) {
	const maxKeyBytes = 200
	ids := map[string]string{}
	for _, attempt := range []string{"9c41d07be2a35f68", "", strings.Repeat("a", 5000), strings.Repeat("a", 5001), "with space", "line\nbreak", "\xff\xfe", "ünicode"} {
		id := originID(attempt)
		if key := core.OriginPrefix + id; len(key) > maxKeyBytes || strings.ContainsFunc(key, func(char rune) bool { return char <= ' ' || char > '~' }) {
			t.Errorf("key %q", key)
		}
		if other, found := ids[id]; found {
			t.Errorf("%q and %q have the same ID", attempt, other)
		}
		ids[id] = attempt
	}
}
