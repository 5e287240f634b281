package fakes

import (
	"bytes"
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"catkincove/core"
)

// Fault is the injected fault of one call.
type Fault int

// The faults; a call without a response returns core.ErrStoreUnavailable.
const (
	NoFault      Fault = iota
	LostRequest        // the call has no effect and no response
	LostResponse       // the call takes effect and has no response
)

// Store is a core.Store in memory; the zero value is ready to use.
type Store struct {
	// Fault returns the fault of a call and is called with the method's name before each one; nil means no faults.
	Fault func(method string) Fault
	// Clock is the time by which leases expire; nil means that they never do.
	Clock core.Clock

	mutex    sync.Mutex
	revision core.Revision
	entries  map[string]core.Entry
	leases   map[core.LeaseID]*lease
	watches  []*watch
	calls    map[string]int
	history  []core.WatchEvent
}

var _ core.Store = (*Store)(nil)

type lease struct {
	ttl     time.Duration
	renewed time.Time
}

type watch struct {
	prefix  string
	events  chan core.WatchEvent
	stalled bool
}

// Calls returns the number of calls of a method, including those with a fault.
func (store *Store) Calls(method string) int {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	return store.calls[method]
}

// begin locks the store and returns the error of a lost request; finish unlocks it and returns the error of a lost response.
func (store *Store) begin(ctx context.Context, method string) (finish func() error, err error) {
	fault := NoFault
	if store.Fault != nil {
		fault = store.Fault(method)
	}
	store.mutex.Lock()
	if store.entries == nil {
		store.entries = make(map[string]core.Entry)
		store.leases = make(map[core.LeaseID]*lease)
		store.calls = make(map[string]int)
	}
	store.calls[method]++
	store.expireLeases()
	if fault == LostRequest || ctx.Err() != nil {
		store.mutex.Unlock()
		return nil, core.ErrStoreUnavailable
	}
	return func() error {
		store.mutex.Unlock()
		if fault == LostResponse {
			return core.ErrStoreUnavailable
		}
		return nil
	}, nil
}

// Get returns the entry of one key.
func (store *Store) Get(ctx context.Context, key string) (core.Snapshot, error) {
	return store.read(ctx, "Get", func(candidate string) bool { return candidate == key })
}

// List returns the entries of all keys with the prefix, sorted by key.
func (store *Store) List(ctx context.Context, prefix string) (core.Snapshot, error) {
	return store.read(ctx, "List", func(candidate string) bool { return strings.HasPrefix(candidate, prefix) })
}

func (store *Store) read(ctx context.Context, method string, wanted func(string) bool) (core.Snapshot, error) {
	finish, err := store.begin(ctx, method)
	if err != nil {
		return core.Snapshot{}, err
	}
	snapshot := core.Snapshot{Revision: store.revision}
	for key, entry := range store.entries {
		if wanted(key) {
			snapshot.Entries = append(snapshot.Entries, entry)
		}
	}
	slices.SortFunc(snapshot.Entries, func(a, b core.Entry) int { return cmp.Compare(a.Key, b.Key) })
	return snapshot, finish()
}

// Commit applies one transaction, or fails it when a compare does not hold.
func (store *Store) Commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	finish, err := store.begin(ctx, "Commit")
	if err != nil {
		return core.TxnResult{}, err
	}
	return store.run(txn), finish()
}

// CommitAll applies independent transactions, each at its own revision.
func (store *Store) CommitAll(ctx context.Context, txns []core.Txn) ([]core.TxnResult, error) {
	finish, err := store.begin(ctx, "CommitAll")
	if err != nil {
		return nil, err
	}
	results := make([]core.TxnResult, 0, len(txns))
	for _, txn := range txns {
		results = append(results, store.run(txn))
	}
	return results, finish()
}

func (store *Store) run(txn core.Txn) core.TxnResult {
	for _, compare := range txn.Compares {
		if store.satisfied(compare) {
			continue
		}
		result := core.TxnResult{Revision: store.revision}
		for _, key := range txn.OnFailure {
			if entry, found := store.entries[key]; found {
				result.Entries = append(result.Entries, entry)
			}
		}
		return result
	}
	store.write(txn.Puts, txn.Deletes)
	return core.TxnResult{Succeeded: true, Revision: store.revision}
}

func (store *Store) satisfied(compare core.Compare) bool {
	entry := store.entries[compare.Key]
	switch {
	case compare.ModRevision != nil:
		return entry.ModRevision == *compare.ModRevision
	case compare.CreateRevision != nil:
		return entry.CreateRevision == *compare.CreateRevision
	default:
		return bytes.Equal(entry.Value, compare.Value)
	}
}

func (store *Store) write(puts []core.Put, deletes []string) {
	store.revision++
	event := core.WatchEvent{Revision: store.revision}
	for _, put := range puts {
		entry := core.Entry{Key: put.Key, Value: put.Value, CreateRevision: store.revision, ModRevision: store.revision, Lease: put.Lease}
		if previous, found := store.entries[put.Key]; found {
			entry.CreateRevision = previous.CreateRevision
		}
		store.entries[put.Key] = entry
		event.Puts = append(event.Puts, entry)
	}
	for _, key := range deletes {
		delete(store.entries, key)
		event.Deletes = append(event.Deletes, key)
	}
	store.history = append(store.history, event)
	for _, watch := range store.watches {
		watch.send(event)
	}
}
