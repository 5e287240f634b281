package mirror

import (
	"slices"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// TestRestoredStore guards against a copy that refuses the listings of a store which was restored from a backup, that undoes at
// once what was written after the backup, or that keeps it for good.
func TestRestoredStore(t *testing.T) {
	at := func(epoch, number int64) core.Revision { return core.NewRevision(epoch, number) }
	listing := func(epoch, number int64, keys ...string) core.Snapshot { return snapshot(at(epoch, number), keys...) }
	put := func(epoch, number int64, key string) core.WatchEvent {
		return core.WatchEvent{Revision: at(epoch, number), Puts: []core.Entry{{Key: key, ModRevision: at(epoch, number)}}}
	}
	remove := func(epoch, number int64, key string) core.WatchEvent {
		return core.WatchEvent{Revision: at(epoch, number), Deletes: []string{key}}
	}
	tests := []struct {
		name          string
		retainExpired bool
		before        []core.WatchEvent // after the listing of "config" and "target" at revision 9
		restored      core.Snapshot
		again         core.Snapshot     // of a second restore, half a second after the first; without entries if there is none
		after         []core.WatchEvent // one second after the restore
		soon, later   string            // keys two and five seconds after the restore
	}{
		{"written again at once", false, []core.WatchEvent{put(1, 10, "evacuation")}, listing(2, 9, "config", "target", "evacuation"), core.Snapshot{}, nil,
			"config evacuation target", "config evacuation target"},
		{"written again later", false, []core.WatchEvent{put(1, 10, "evacuation")}, listing(2, 8, "config", "target"), core.Snapshot{}, []core.WatchEvent{put(2, 9, "evacuation")},
			"config evacuation target", "config evacuation target"},
		{"never written again", false, []core.WatchEvent{put(1, 10, "evacuation")}, listing(2, 8, "config", "target"), core.Snapshot{}, nil,
			"config evacuation target", "config target"},
		{"removed before the restore", false, []core.WatchEvent{put(1, 10, "evacuation"), remove(1, 11, "evacuation")}, listing(2, 10, "config", "target", "evacuation"), core.Snapshot{}, nil,
			"config target", "config evacuation target"},
		{"removed again", false, []core.WatchEvent{put(1, 10, "evacuation"), remove(1, 11, "evacuation")}, listing(2, 10, "config", "target", "evacuation"),
			core.Snapshot{}, []core.WatchEvent{remove(2, 11, "evacuation")}, "config target", "config target"},
		{"removed before two restores", false, []core.WatchEvent{put(1, 10, "evacuation"), remove(1, 11, "evacuation")}, listing(2, 10, "config", "target", "evacuation"),
			listing(3, 10, "config", "target", "evacuation"), nil, "config target", "config evacuation target"},
		{"missing after two restores", false, []core.WatchEvent{put(1, 10, "evacuation")}, listing(2, 8, "config", "target"), listing(3, 8, "config", "target"), nil,
			"config evacuation target", "config target"},
		{"reappears and is written again", true, []core.WatchEvent{remove(1, 10, "target")}, listing(2, 9, "config", "target"), core.Snapshot{}, []core.WatchEvent{put(2, 10, "target")},
			"config target", "config target"},
		{"target registers again", true, nil, listing(2, 8, "config"), core.Snapshot{}, []core.WatchEvent{put(2, 9, "target")}, "config target", "config target"},
		{"target does not register again", true, nil, listing(2, 8, "config"), core.Snapshot{}, nil, "config target", "config"},
		{"revisions beyond the last known one", false, nil, listing(2, 40, "config"), core.Snapshot{}, nil, "config target", "config"},
		{"an older response", false, nil, listing(0, 40, "other"), core.Snapshot{}, nil, "config target", "config target"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			state := Copy{RetainExpired: test.retainExpired}
			state.Replace(start, listing(1, 9, "config", "target"))
			for _, event := range test.before {
				state.Apply(start, event)
			}
			restoredAt := start.Add(10 * time.Second)
			state.Replace(restoredAt, test.restored)
			if len(test.again.Entries) > 0 {
				state.Replace(restoredAt.Add(500*time.Millisecond), test.again)
			}
			for _, event := range test.after {
				state.Apply(restoredAt.Add(time.Second), event)
			}
			for _, step := range []struct {
				after time.Duration
				want  string
			}{{2 * time.Second, test.soon}, {5 * time.Second, test.later}} {
				var keys []string
				for _, entry := range state.Entries(restoredAt.Add(step.after)) {
					keys = append(keys, entry.Key)
				}
				slices.Sort(keys)
				if got := strings.Join(keys, " "); got != step.want {
					t.Errorf("after %v: %s, want %s", step.after, got, step.want)
				}
			}
		})
	}
}

// TestPeersFollowRestoredStore guards against a peer that misses changes because it has copied up to a revision from before a restore.
func TestPeersFollowRestoredStore(t *testing.T) {
	var relay Copy
	relay.Replace(start, snapshot(core.NewRevision(1, 9), "a", "b"))
	relay.Replace(start, snapshot(core.NewRevision(2, 5), "a"))
	event, whole := relay.Since(core.NewRevision(1, 9))
	if !whole || len(event.Puts) != 1 || event.Revision != core.NewRevision(2, 5) {
		t.Errorf("whole %v, %+v", whole, event)
	}
	relay.Apply(start, core.WatchEvent{Revision: core.NewRevision(2, 6), Puts: []core.Entry{{Key: "c", ModRevision: core.NewRevision(2, 6)}}})
	if event, whole := relay.Since(core.NewRevision(2, 5)); whole || len(event.Puts) != 1 || event.Puts[0].Key != "c" {
		t.Errorf("whole %v, %+v", whole, event)
	}
}
