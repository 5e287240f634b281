package feed

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"catkincove/core"
)

// state is the copy of the live keys, guarded by the agent's mutex.
type state struct {
	configRevision core.Revision // mod revision of the head key
	storeRevision  core.Revision // store revision up to which members and owners are copied
	config         map[string]core.Entry
	members        map[string]core.Entry
	owners         map[string]core.Entry
}

// change is the effect of one watch event, listing or peer reply on the copy.
type change struct {
	config         []core.Entry
	deletes        []string // deleted keys of the configuration
	configRevision core.Revision
	storeRevision  core.Revision
	headChanged    bool         // the configuration revision increased, or all keys were listed
	members        []core.Entry // all member records if membersChanged
	owners         []core.Entry // all owner records if ownersChanged
	membersChanged bool
	ownersChanged  bool
}

func (state *state) init() {
	if state.config == nil {
		state.config = make(map[string]core.Entry)
		state.members = make(map[string]core.Entry)
		state.owners = make(map[string]core.Entry)
	}
}

// apply applies a watch event.
func (state *state) apply(event core.WatchEvent) change {
	state.init()
	var change change
	for _, entry := range event.Puts {
		state.put(entry, &change)
	}
	for _, key := range event.Deletes {
		state.remove(key, event.Revision, &change)
	}
	state.storeRevision = max(state.storeRevision, event.Revision)
	return state.finish(change)
}

// replace replaces the copy by a full listing; it returns false if the listing is older than the copy.
func (state *state) replace(snapshot core.Snapshot) (change, bool) {
	state.init()
	head := headRevision(snapshot)
	if snapshot.Revision < state.storeRevision || head < state.configRevision {
		return change{}, false
	}
	var change change
	present := make(map[string]bool, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		present[entry.Key] = true
		state.put(entry, &change)
	}
	for _, entries := range []map[string]core.Entry{state.config, state.members, state.owners} {
		for key := range maps.Clone(entries) {
			if !present[key] {
				state.remove(key, snapshot.Revision, &change)
			}
		}
	}
	change.membersChanged, change.ownersChanged, change.headChanged = true, true, true
	state.storeRevision = snapshot.Revision
	return state.finish(change), true
}

// headRevision returns the mod revision of the head key; 0 if the snapshot does not contain it.
func headRevision(snapshot core.Snapshot) core.Revision {
	for _, entry := range snapshot.Entries {
		if entry.Key == core.HeadKey {
			return entry.ModRevision
		}
	}
	return 0
}

// merge applies a peer's reply; it returns false if the reply is not newer than the copy.
func (state *state) merge(reply core.ConfigReply) (change, bool) {
	state.init()
	if reply.Revision <= state.configRevision {
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
	state.importLive(reply.Live, &change)
	state.configRevision = reply.Revision
	change.headChanged = true
	return state.finish(change), true
}

// finish sets the revisions of a change and the records of changed tables.
func (state *state) finish(change change) change {
	change.configRevision = state.configRevision
	change.storeRevision = state.storeRevision
	if change.membersChanged {
		change.members = sortedByKey(state.members)
	}
	if change.ownersChanged {
		change.owners = sortedByKey(state.owners)
	}
	return change
}

func sortedByKey(entries map[string]core.Entry) []core.Entry {
	return slices.SortedFunc(maps.Values(entries), func(a, b core.Entry) int { return cmp.Compare(a.Key, b.Key) })
}

// table returns the map that holds the key; nil if the key is not copied.
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

// put stores an entry unless the copy has it at the same or a newer revision.
func (state *state) put(entry core.Entry, change *change) {
	if entry.Key == core.HeadKey {
		change.headChanged = change.headChanged || entry.ModRevision > state.configRevision
		state.configRevision = max(state.configRevision, entry.ModRevision)
		return
	}
	table := state.table(entry.Key)
	if table == nil || table[entry.Key].ModRevision >= entry.ModRevision {
		return
	}
	table[entry.Key] = entry
	change.markChanged(entry.Key)
	if strings.HasPrefix(entry.Key, core.ConfigPrefix) {
		change.config = append(change.config, entry)
	}
}

// remove deletes a key unless it was written after the revision.
func (state *state) remove(key string, revision core.Revision, change *change) {
	table := state.table(key)
	existing, known := table[key]
	if !known || existing.ModRevision > revision {
		return
	}
	delete(table, key)
	change.markChanged(key)
	if strings.HasPrefix(key, core.ConfigPrefix) {
		change.deletes = append(change.deletes, key)
	}
}

func (change *change) markChanged(key string) {
	change.membersChanged = change.membersChanged || strings.HasPrefix(key, core.MemberPrefix)
	change.ownersChanged = change.ownersChanged || strings.HasPrefix(key, core.OwnerPrefix)
}

// since returns the configuration objects changed after the revision, all of them for revision 0.
func (state *state) since(revision core.Revision) core.ConfigReply {
	reply := core.ConfigReply{Revision: state.configRevision, Full: revision == 0}
	for _, entry := range sortedByKey(state.config) {
		if entry.ModRevision > revision {
			reply.Objects = append(reply.Objects, entry)
		}
	}
	return reply
}
