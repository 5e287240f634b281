package ticket

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/io/codec"
)

// init fixes the seed of property tests, so that every run gives the same verdict.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// fault is what goes wrong in one call of the store.
type fault int

const (
	healthy      fault = iota
	down               // no answer; a write takes no effect
	lostResponse       // no answer; a write takes effect
	delayed            // no answer; a write takes effect just before the next call
	delayedMore        // no answer; a write takes effect when the test ends
)

// fakeStore is a core.Store in memory; the unused methods of the interface panic.
type fakeStore struct {
	core.Store
	mutex    sync.Mutex
	revision core.Revision
	entries  map[string]core.Entry
	faults   []fault // of the next calls
	late     []core.Txn
	latest   []core.Txn
	rollback string         // describes an object that went back to a lower ticket number
	calls    int            // number of Commit calls
	before   func(call int) // runs before each Commit
	lastTxn  core.Txn       // of the last Commit
}

func newFakeStore() *fakeStore { return &fakeStore{entries: map[string]core.Entry{}} }

// next returns the fault of this call and lets late writes take effect.
func (store *fakeStore) next() fault {
	for _, txn := range store.late {
		store.run(txn)
	}
	store.late = nil
	if len(store.faults) == 0 {
		return healthy
	}
	fault := store.faults[0]
	store.faults = store.faults[1:]
	return fault
}

// finish lets all writes that are still under way take effect.
func (store *fakeStore) finish() {
	store.faults = nil
	store.next()
	for _, txn := range store.latest {
		store.run(txn)
	}
	store.latest = nil
}

func (store *fakeStore) Get(_ context.Context, key string) (core.Snapshot, error) {
	return store.list(func(other string) bool { return other == key })
}

func (store *fakeStore) List(_ context.Context, prefix string) (core.Snapshot, error) {
	return store.list(func(other string) bool { return strings.HasPrefix(other, prefix) })
}

func (store *fakeStore) list(wanted func(string) bool) (core.Snapshot, error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	if store.next() != healthy {
		return core.Snapshot{}, fmt.Errorf("read: %w", core.ErrStoreUnavailable)
	}
	snapshot := core.Snapshot{Revision: store.revision}
	for _, key := range slices.Sorted(maps.Keys(store.entries)) {
		if wanted(key) {
			snapshot.Entries = append(snapshot.Entries, store.entries[key])
		}
	}
	return snapshot, nil
}

func (store *fakeStore) Commit(_ context.Context, txn core.Txn) (core.TxnResult, error) {
	if store.before != nil {
		store.before(store.calls)
	}
	store.mutex.Lock()
	defer store.mutex.Unlock()
	store.calls++
	store.lastTxn = txn
	fault := store.next()
	switch fault {
	case healthy:
		return store.run(txn), nil
	case lostResponse:
		store.run(txn)
	case delayed:
		store.late = append(store.late, txn)
	case delayedMore:
		store.latest = append(store.latest, txn)
	}
	return core.TxnResult{}, fmt.Errorf("commit: %w", core.ErrStoreUnavailable)
}

func (store *fakeStore) run(txn core.Txn) core.TxnResult {
	for _, compare := range txn.Compares {
		if store.entries[compare.Key].ModRevision != *compare.ModRevision {
			return core.TxnResult{Revision: store.revision}
		}
	}
	store.revision++
	for _, put := range txn.Puts {
		store.check(put)
		created := store.entries[put.Key].CreateRevision
		if created == 0 {
			created = store.revision
		}
		store.entries[put.Key] = core.Entry{Key: put.Key, Value: put.Value, CreateRevision: created, ModRevision: store.revision}
	}
	return core.TxnResult{Succeeded: true, Revision: store.revision}
}

// check notes an object that goes back to a lower ticket number.
func (store *fakeStore) check(put core.Put) {
	if _, isObject := codec.ParseObjectKey(put.Key); !isObject {
		return
	}
	before, errBefore := codec.DecodeObject(store.entries[put.Key].Value)
	after, errAfter := codec.DecodeObject(put.Value)
	if errAfter != nil || errBefore == nil && before.Ticket >= after.Ticket {
		store.rollback = fmt.Sprintf("%s: %v to %v", put.Key, before, after)
	}
}

// gatedStore lets a test decide which of several appliers makes the next call.
type gatedStore struct {
	*fakeStore
	turn, done chan struct{}
}

func (store gatedStore) Get(ctx context.Context, key string) (core.Snapshot, error) {
	<-store.turn
	defer func() { store.done <- struct{}{} }()
	return store.fakeStore.Get(ctx, key)
}

func (store gatedStore) List(ctx context.Context, prefix string) (core.Snapshot, error) {
	<-store.turn
	defer func() { store.done <- struct{}{} }()
	return store.fakeStore.List(ctx, prefix)
}

func (store gatedStore) Commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	<-store.turn
	defer func() { store.done <- struct{}{} }()
	return store.fakeStore.Commit(ctx, txn)
}

// instantClock never waits.
type instantClock struct{ core.SystemClock }

func (instantClock) After(time.Duration) <-chan time.Time {
	channel := make(chan time.Time, 1)
	channel <- time.Time{}
	return channel
}
