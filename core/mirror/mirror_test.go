package mirror

import (
	"testing"
	"time"

	"catkincove/core"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func snapshot(revision core.Revision, keys ...string) core.Snapshot {
	snapshot := core.Snapshot{Revision: revision}
	for _, key := range keys {
		snapshot.Entries = append(snapshot.Entries, core.Entry{Key: key, ModRevision: revision})
	}
	return snapshot
}

// TestOlderStateIsRefused guards against a configuration that reverts because a stale read or a peer that is behind is
// taken over.
func TestOlderStateIsRefused(t *testing.T) {
	var state Copy
	state.Replace(start, snapshot(9, "a", "b"))
	if state.Replace(start, snapshot(8, "a")) {
		t.Error("an older listing is taken over")
	}
	state.Apply(start, core.WatchEvent{Revision: 10, Puts: []core.Entry{{Key: "a", ModRevision: 7, Value: []byte("old")}}})
	for _, entry := range state.Entries(start) {
		if entry.Key == "a" && entry.ModRevision != 9 {
			t.Errorf("key a is at revision %d", entry.ModRevision)
		}
	}
	if state.Revision() != 10 {
		t.Errorf("revision %d", state.Revision())
	}
}

// TestLapsedKeysAreHeld guards against targets that are dropped because the store was away while their leases ended, and
// against targets that are kept although they have gone.
func TestLapsedKeysAreHeld(t *testing.T) {
	state := Copy{HoldLapsed: true}
	state.Replace(start, snapshot(5, "lives", "gone", "left"))
	state.Apply(start, core.WatchEvent{Revision: 6, Deletes: []string{"left"}})
	state.Lost()
	back := start.Add(5 * time.Second)
	state.Returned(back)
	state.Replace(back, snapshot(9))
	if count := len(state.Entries(back)); count != 2 {
		t.Errorf("%d keys right after the store's return, want 2", count)
	}
	state.Apply(back.Add(time.Second), core.WatchEvent{Revision: 11, Puts: []core.Entry{{Key: "lives", ModRevision: 11}}})
	entries := state.Entries(back.Add(Settle + time.Millisecond))
	if len(entries) != 1 || entries[0].Key != "lives" {
		t.Errorf("after %v: %+v", Settle, entries)
	}
}
