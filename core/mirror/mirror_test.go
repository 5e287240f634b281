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

// TestOlderStateIsRejected guards against a configuration that reverts because a stale read or a lagging peer's state is
// applied.
func TestOlderStateIsRejected(t *testing.T) {
	var state Copy
	state.Replace(start, snapshot(9, "a", "b"))
	if state.Replace(start, snapshot(8, "a")) {
		t.Error("an older listing was applied")
	}
	state.Apply(start, core.WatchEvent{Revision: 10, Puts: []core.Entry{{Key: "a", ModRevision: 7, Value: []byte("old")}}})
	for _, entry := range state.Entries(start) {
		if entry.Key == "a" && entry.ModRevision != 9 {
			t.Errorf("key a is at revision %d", entry.ModRevision)
		}
	}
	if state.Revision() != 10 {
		t.Errorf("copy is at revision %d", state.Revision())
	}
}

// TestExpiredKeysAreRetained guards against live targets that are dropped because their leases expired in a store outage,
// and against targets that are kept although they have terminated.
func TestExpiredKeysAreRetained(t *testing.T) {
	state := Copy{RetainExpired: true}
	state.Replace(start, snapshot(5, "lives", "gone", "left"))
	state.Apply(start, core.WatchEvent{Revision: 6, Deletes: []string{"left"}})
	state.MarkUnavailable()
	back := start.Add(5 * time.Second)
	state.MarkAvailable(back)
	state.Replace(back, snapshot(9))
	if count := len(state.Entries(back)); count != 2 {
		t.Errorf("%d keys right after the store is available again, want 2", count)
	}
	state.Apply(back.Add(time.Second), core.WatchEvent{Revision: 11, Puts: []core.Entry{{Key: "lives", ModRevision: 11}}})
	entries := state.Entries(back.Add(ReregistrationGrace + time.Millisecond))
	if len(entries) != 1 || entries[0].Key != "lives" {
		t.Errorf("entries after %v: %+v", ReregistrationGrace, entries)
	}
}

// TestRetentionEndsWhileStoreIsUnstable guards against removed targets that are retained for as long as the store comes and goes.
func TestRetentionEndsWhileStoreIsUnstable(t *testing.T) {
	state := Copy{RetainExpired: true}
	state.Replace(start, snapshot(5, "target"))
	now := start
	for range 4 {
		state.MarkUnavailable()
		now = now.Add(600 * time.Millisecond)
		state.MarkAvailable(now)
		state.Apply(now, core.WatchEvent{Revision: state.Revision() + 1, Deletes: []string{"target"}})
		now = now.Add(400 * time.Millisecond)
	}
	if took := now.Sub(start.Add(600 * time.Millisecond)); len(state.Entries(now)) != 0 && took > ReregistrationGrace {
		t.Errorf("the target is retained %v after its removal was seen", took)
	}
	if now.Sub(start) < ReregistrationGrace {
		t.Fatal("the test ends too early")
	}
}

// TestPeersCatchUp guards against a peer that misses a change, keeps a deleted key or receives every heartbeat of a target.
func TestPeersCatchUp(t *testing.T) {
	relay := Copy{RetainExpired: true, Equivalent: func(before, after core.Entry) bool { return string(before.Value) == string(after.Value) }}
	put := func(revision core.Revision, key, value string) core.Entry {
		return core.Entry{Key: key, Value: []byte(value), ModRevision: revision}
	}
	relay.Replace(start, core.Snapshot{Revision: 10, Entries: []core.Entry{put(3, "a", "1"), put(9, "b", "1"), put(4, "c", "1")}})
	var peer Copy
	catchUp := func() (puts, deletes int, full bool) {
		event, full := relay.Since(peer.Revision())
		if full {
			peer.Replace(start, core.Snapshot{Revision: event.Revision, Entries: event.Puts})
		} else {
			peer.Apply(start, event)
		}
		return len(event.Puts), len(event.Deletes), full
	}
	for _, test := range []struct {
		name          string
		event         core.WatchEvent
		puts, deletes int
		full          bool
		keys          int
	}{
		{"first", core.WatchEvent{Revision: 10}, 3, 0, true, 3},
		{"heartbeat", core.WatchEvent{Revision: 11, Puts: []core.Entry{put(11, "a", "1")}}, 0, 0, false, 3},
		{"change", core.WatchEvent{Revision: 13, Puts: []core.Entry{put(12, "b", "2"), put(13, "a", "1")}}, 1, 0, false, 3},
		{"removal", core.WatchEvent{Revision: 14, Deletes: []string{"c"}}, 0, 1, false, 2},
		{"return", core.WatchEvent{Revision: 15, Puts: []core.Entry{put(15, "c", "1")}}, 1, 0, false, 3},
		{"nothing", core.WatchEvent{Revision: 15}, 0, 0, false, 3},
	} {
		relay.Apply(start, test.event)
		puts, deletes, full := catchUp()
		if puts != test.puts || deletes != test.deletes || full != test.full || len(peer.Entries(start)) != test.keys {
			t.Errorf("%s: %d puts, %d deletes, full %v, %d keys", test.name, puts, deletes, full, len(peer.Entries(start)))
		}
	}
	relay.Replace(start, core.Snapshot{Revision: 20, Entries: []core.Entry{put(3, "a", "1")}})
	if _, deletes, full := catchUp(); deletes != 2 || full || len(peer.Entries(start)) != 1 {
		t.Errorf("a listing without two keys: %d deletes, full %v", deletes, full)
	}
	if event, full := relay.Since(5); !full || len(event.Puts) != 1 {
		t.Errorf("a peer that lags behind the first listing gets %+v, full %v", event, full)
	}
}

// TestLeavingTargetIsNotRetainedAsReady guards against a target that gets requests seconds after it has said that it leaves, because a copy that could
// not be updated meanwhile retains what it knew before: DRAIN on gw-wien-grown.
func TestLeavingTargetIsNotRetainedAsReady(t *testing.T) {
	put := func(revision core.Revision, value string) core.Entry {
		return core.Entry{Key: "target", Value: []byte(value), ModRevision: revision}
	}
	direct := core.WatchEvent{Revision: 14, Puts: []core.Entry{put(12, "leaving")}, Deletes: []string{"target"}}
	relay := Copy{RetainExpired: true}
	relay.Replace(start, core.Snapshot{Revision: 10, Entries: []core.Entry{put(9, "ready")}})
	relay.Apply(start, core.WatchEvent{Revision: 12, Puts: []core.Entry{put(12, "leaving")}})
	relay.Apply(start, core.WatchEvent{Revision: 14, Deletes: []string{"target"}})
	relayed, _ := relay.Since(10)
	knownAlready, _ := relay.Since(12)
	for _, test := range []struct {
		name  string
		known core.Entry
		event core.WatchEvent
		puts  int
	}{
		{"from the store", put(9, "ready"), direct, 1},
		{"from a relay", put(9, "ready"), relayed, 1},
		{"from a relay, known to leave", put(12, "leaving"), knownAlready, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			state := Copy{RetainExpired: true}
			state.Replace(start, core.Snapshot{Revision: test.known.ModRevision + 1, Entries: []core.Entry{test.known}})
			state.MarkUnavailable()
			state.MarkAvailable(start.Add(time.Second))
			state.Apply(start.Add(time.Second), test.event)
			for _, entry := range state.Entries(start.Add(time.Second)) {
				if string(entry.Value) != "leaving" {
					t.Errorf("the target is %s", entry.Value)
				}
			}
			if len(test.event.Puts) != test.puts {
				t.Errorf("%d puts", len(test.event.Puts))
			}
		})
	}
}

// TestChangesBeforeTheListing guards against a copy that was never listed but counts as complete because it has received a
// change: peers that copy from it would miss all other keys, and removals from before its listing.
func TestChangesBeforeTheListing(t *testing.T) {
	var state Copy
	state.Apply(start, core.WatchEvent{Revision: 6, Puts: []core.Entry{{Key: "b", ModRevision: 6}}})
	if !state.Unavailable() {
		t.Error("a copy without a listing counts as available")
	}
	state.Replace(start, snapshot(8, "a"))
	if _, full := state.Since(7); !full {
		t.Error("a peer that is older than the listing gets only the changes since then")
	}
}
