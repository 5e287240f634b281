package fakes

import (
	"context"
	"strings"
	"time"

	"catkincove/core"
)

const watchBuffer = 10000 // events; a store call that exceeds it blocks

// GrantLease creates a lease that expires when it is not renewed for ttl.
func (store *Store) GrantLease(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	finish, err := store.begin(ctx, "GrantLease")
	if err != nil {
		return 0, err
	}
	store.revision++
	id := core.LeaseID(store.revision)
	store.leases[id] = &lease{ttl: ttl, renewed: store.now()}
	return id, finish()
}

// KeepAlive renews a lease and returns its TTL; an unknown or expired lease returns core.ErrLeaseNotFound.
func (store *Store) KeepAlive(ctx context.Context, id core.LeaseID) (time.Duration, error) {
	finish, err := store.begin(ctx, "KeepAlive")
	if err != nil {
		return 0, err
	}
	lease, found := store.leases[id]
	if !found {
		return 0, firstError(finish(), core.ErrLeaseNotFound)
	}
	lease.renewed = store.now()
	return lease.ttl, finish()
}

// RevokeLease ends a lease and deletes its keys.
func (store *Store) RevokeLease(ctx context.Context, id core.LeaseID) error {
	finish, err := store.begin(ctx, "RevokeLease")
	if err != nil {
		return err
	}
	store.removeLease(id)
	return finish()
}

func firstError(first, second error) error {
	if first != nil {
		return first
	}
	return second
}

func (store *Store) now() time.Time {
	if store.Clock == nil {
		return time.Time{}
	}
	return store.Clock.Now()
}

func (store *Store) expireLeases() {
	for id, lease := range store.leases {
		if store.now().Sub(lease.renewed) >= lease.ttl {
			store.removeLease(id)
		}
	}
}

func (store *Store) removeLease(id core.LeaseID) {
	delete(store.leases, id)
	var keys []string
	for key, entry := range store.entries {
		if entry.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		store.write(nil, keys)
	}
}

// Watch reports the changes of keys with the prefix after the revision; the end of ctx ends all watches of the store.
func (store *Store) Watch(ctx context.Context, prefix string, after core.Revision) (<-chan core.WatchEvent, error) {
	finish, err := store.begin(ctx, "Watch")
	if err != nil {
		return nil, err
	}
	added := &watch{prefix: prefix, events: make(chan core.WatchEvent, watchBuffer)}
	for _, event := range store.history {
		if event.Revision > after {
			added.send(event)
		}
	}
	store.watches = append(store.watches, added)
	context.AfterFunc(ctx, func() { store.FailWatches(ctx.Err()) })
	return added.events, finish()
}

// FailWatches sends the error to all watches and closes them.
func (store *Store) FailWatches(err error) {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, watch := range store.watches {
		watch.events <- core.WatchEvent{Err: err}
		close(watch.events)
	}
	store.watches = nil
}

// StallWatches keeps the open watches open but makes them deliver no further events.
func (store *Store) StallWatches() {
	store.mutex.Lock()
	defer store.mutex.Unlock()
	for _, watch := range store.watches {
		watch.stalled = true
	}
}

func (watch *watch) send(event core.WatchEvent) {
	filtered := core.WatchEvent{Revision: event.Revision}
	for _, entry := range event.Puts {
		if strings.HasPrefix(entry.Key, watch.prefix) {
			filtered.Puts = append(filtered.Puts, entry)
		}
	}
	for _, key := range event.Deletes {
		if strings.HasPrefix(key, watch.prefix) {
			filtered.Deletes = append(filtered.Deletes, key)
		}
	}
	if !watch.stalled && len(filtered.Puts)+len(filtered.Deletes) > 0 {
		watch.events <- filtered
	}
}
