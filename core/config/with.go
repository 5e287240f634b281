package config

import (
	"maps"

	"catkincove/core"
)

// With returns a copy that holds the objects and the revision.
//
// An object with a lower ticket number than the one held, tombstones included, is ignored; so is an object whose state
// does not fit its Ref. The revision never decreases. Tables of kinds that none of the objects has are shared with the
// original, so a change of one target costs nothing per team.
func (config Config) With(objects []Object, revision core.Revision) Config {
	changed := config
	changed.revision = max(config.revision, revision)
	var copied [kindCount]bool
	var poolChanges []poolChange
	for _, object := range objects {
		table, known := object.Ref.Kind.index()
		if !known || !object.WellFormed() {
			continue
		}
		previous := changed.tables[table][object.Ref.Name]
		if previous != nil && (previous.Ticket > object.Ticket || sameObject(*previous, object)) {
			continue
		}
		if !copied[table] {
			changed.tables[table] = copyTable(config.tables[table])
			copied[table] = true
		}
		next := object.clone()
		changed.tables[table][object.Ref.Name] = &next
		poolChanges = append(poolChanges, poolChangesOf(previous, &next)...)
	}
	changed.pools = config.pools.with(poolChanges)
	return changed
}

func sameObject(one, other Object) bool {
	return one.Ticket == other.Ticket && one.SameContent(other)
}

func copyTable(table map[string]*Object) map[string]*Object {
	if table == nil {
		return map[string]*Object{}
	}
	return maps.Clone(table)
}
