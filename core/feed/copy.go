package feed

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"catkincove/core"
)

// state is the copy of the live keys; the agent's mutex guards it.
type state struct {
	revision core.Revision // mod revision of the head key
	seen     core.Revision // store revision that the copy of members and owners has reached
	config   map[string]core.Entry
	members  map[string]core.Entry
	owners   map[string]core.Entry
}

// change is what one application altered.
type change struct {
	config   []core.Entry
	deletes  []string
	revision core.Revision
	seen     core.Revision
	head     bool // the configuration revision rose
	members  []core.Entry
	owners   []core.Entry
	member   bool
	owner    bool
}

func (state *state) init() {
	if state.config == nil {
		state.config = make(map[string]core.Entry)
		state.members = make(map[string]core.Entry)
		state.owners = make(map[string]core.Entry)
	}
}

// apply takes changes of one store revision, as the watch delivers them.
func (state *state) apply(event core.WatchEvent) change {
	state.init()
	var change change
	for _, entry := range event.Puts {
		state.put(entry, &change)
	}
	for _, key := range event.Deletes {
		state.remove(key, event.Revision, &change)
	}
	state.seen = max(state.seen, event.Revision)
	return state.finish(change)
}

// replace takes a whole list; it returns false when the list is older than the copy.
func (state *state) replace(snapshot core.Snapshot) (change, bool) {
	state.init()
	head := headOf(snapshot)
	if snapshot.Revision < state.seen || head < state.revision {
		return change{}, false
	}
	var change change
	present := make(map[string]bool, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		present[entry.Key] = true
		state.put(entry, &change)
	}
	for _, held := range []map[string]core.Entry{state.config, state.members, state.owners} {
		for key := range maps.Clone(held) {
			if !present[key] {
				state.remove(key, snapshot.Revision, &change)
			}
		}
	}
	change.member, change.owner, change.head = true, true, true
	state.seen = snapshot.Revision
	return state.finish(change), true
}

func headOf(snapshot core.Snapshot) core.Revision {
	for _, entry := range snapshot.Entries {
		if entry.Key == core.HeadKey {
			return entry.ModRevision
		}
	}
	return 0
}

// merge takes a peer's configuration; it returns false when it is not newer than the copy.
func (state *state) merge(reply core.ConfigReply) (change, bool) {
	state.init()
	if reply.Revision <= state.revision {
		return change{}, false
	}
	var change change
	present := make(map[string]bool, len(reply.Objects))
	for _, entry := range reply.Objects {
		if strings.HasPrefix(entry.Key, core.ConfigPrefix) {
			present[entry.Key] = true
			state.put(entry, &change)
		}
	}
	if reply.Full {
		for key := range maps.Clone(state.config) {
			if !present[key] {
				state.remove(key, reply.Revision, &change)
			}
		}
	}
	state.adopt(reply.Live, &change)
	state.revision = reply.Revision
	change.head = true
	return state.finish(change), true
}

func (state *state) finish(change change) change {
	change.revision = state.revision
	change.seen = state.seen
	if change.member {
		change.members = sorted(state.members)
	}
	if change.owner {
		change.owners = sorted(state.owners)
	}
	return change
}

func sorted(entries map[string]core.Entry) []core.Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b core.Entry) int { return cmp.Compare(a.Key, b.Key) })
}

func (state *state) table(key string) map[string]core.Entry {
	switch {
	case strings.HasPrefix(key, core.ConfigPrefix):
		return state.config
	case strings.HasPrefix(key, core.MemberPrefix):
		return state.members
	case strings.HasPrefix(key, core.OwnerPrefix):
		return state.owners
	default:
		return nil
	}
}

func (state *state) put(entry core.Entry, change *change) {
	if entry.Key == core.HeadKey {
		change.head = change.head || entry.ModRevision > state.revision
		state.revision = max(state.revision, entry.ModRevision)
		return
	}
	table := state.table(entry.Key)
	if table == nil || table[entry.Key].ModRevision >= entry.ModRevision {
		return
	}
	table[entry.Key] = entry
	change.mark(entry.Key)
	if strings.HasPrefix(entry.Key, core.ConfigPrefix) {
		change.config = append(change.config, entry)
	}
}

func (state *state) remove(key string, revision core.Revision, change *change) {
	table := state.table(key)
	held, known := table[key]
	if !known || held.ModRevision > revision {
		return
	}
	delete(table, key)
	change.mark(key)
	if strings.HasPrefix(key, core.ConfigPrefix) {
		change.deletes = append(change.deletes, key)
	}
}

func (change *change) mark(key string) {
	change.member = change.member || strings.HasPrefix(key, core.MemberPrefix)
	change.owner = change.owner || strings.HasPrefix(key, core.OwnerPrefix)
}

// since returns the objects changed after the revision; revision 0 asks for all.
func (state *state) since(revision core.Revision) core.ConfigReply {
	reply := core.ConfigReply{Revision: state.revision, Full: revision == 0}
	for _, entry := range sorted(state.config) {
		if entry.ModRevision > revision {
			reply.Objects = append(reply.Objects, entry)
		}
	}
	return reply
}
