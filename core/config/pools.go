package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"catkincove/core"
)

// poolIndex holds the targets of each pool, precomputed for the request path; its values are immutable.
type poolIndex struct {
	all       []core.PoolID
	targets   map[core.PoolID][]Target
	byService map[string][]core.PoolID
}

// poolChange is a target that leaves or joins a pool.
type poolChange struct {
	target Target
	joined bool
}

// poolChangesOf returns the pool changes that the replacement of an object causes; none when it is not a target.
func poolChangesOf(previous, next *Object) []poolChange {
	var poolChanges []poolChange
	if previous != nil && previous.Target != nil {
		poolChanges = append(poolChanges, poolChange{*previous.Target, false})
	}
	if next.Target != nil {
		poolChanges = append(poolChanges, poolChange{*next.Target, true})
	}
	return poolChanges
}

func (target Target) pool() core.PoolID {
	return core.PoolID{Service: target.Service, DataCentre: target.DataCentre}
}

func compareTargets(one, other Target) int { return cmp.Compare(one.Name, other.Name) }

func comparePools(one, other core.PoolID) int {
	if order := strings.Compare(one.Service, other.Service); order != 0 {
		return order
	}
	return strings.Compare(one.DataCentre, other.DataCentre)
}

// Pools returns all pools that have targets, ordered by service and data centre.
func (config Config) Pools() []core.PoolID { return config.pools.all }

// PoolTargets returns the declared targets of the pool, ordered by name, including those that are out of service.
func (config Config) PoolTargets(pool core.PoolID) []Target { return config.pools.targets[pool] }

// PoolsOf returns the pools of the service that have targets, ordered by data centre.
func (config Config) PoolsOf(service string) []core.PoolID { return config.pools.byService[service] }

// with returns a copy in which only the pools named by the changes are rebuilt.
func (index poolIndex) with(poolChanges []poolChange) poolIndex {
	if len(poolChanges) == 0 {
		return index
	}
	changed := poolIndex{all: index.all, byService: index.byService, targets: copyPools(index.targets)}
	poolsChanged := false
	for pool, members := range changedMembers(index.targets, poolChanges) {
		poolsChanged = poolsChanged || (len(index.targets[pool]) == 0) != (len(members) == 0)
		if len(members) == 0 {
			delete(changed.targets, pool)
			continue
		}
		slices.SortFunc(members, compareTargets)
		changed.targets[pool] = slices.Clip(members)
	}
	if poolsChanged {
		changed.rebuildLists()
	}
	return changed
}

// changedMembers returns the new members, in no order, of each pool named by the changes.
func changedMembers(targets map[core.PoolID][]Target, poolChanges []poolChange) map[core.PoolID][]Target {
	members := map[core.PoolID]map[core.TargetName]Target{}
	for _, poolChange := range poolChanges {
		pool := poolChange.target.pool()
		if members[pool] == nil {
			members[pool] = map[core.TargetName]Target{}
			for _, target := range targets[pool] {
				members[pool][target.Name] = target
			}
		}
		if poolChange.joined {
			members[pool][poolChange.target.Name] = poolChange.target
		} else {
			delete(members[pool], poolChange.target.Name)
		}
	}
	grouped := make(map[core.PoolID][]Target, len(members))
	for pool, byName := range members {
		grouped[pool] = slices.Collect(maps.Values(byName))
	}
	return grouped
}

// rebuildLists rebuilds the lists of pools; it is needed only when a pool gets its first target or loses its last one.
func (index *poolIndex) rebuildLists() {
	index.all = slices.SortedFunc(maps.Keys(index.targets), comparePools)
	index.byService = map[string][]core.PoolID{}
	for _, pool := range index.all {
		index.byService[pool.Service] = append(index.byService[pool.Service], pool)
	}
}

func copyPools(targets map[core.PoolID][]Target) map[core.PoolID][]Target {
	if targets == nil {
		return map[core.PoolID][]Target{}
	}
	return maps.Clone(targets)
}
