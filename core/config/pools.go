package config

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"catkincove/core"
)

// poolIndex holds the targets of each pool, precomputed for the traffic path; its values are immutable.
type poolIndex struct {
	all     []core.PoolID
	targets map[core.PoolID][]Target
	of      map[string][]core.PoolID // by service
}

// move is a target that leaves or joins a pool.
type move struct {
	target Target
	joins  bool
}

// moveOf returns the moves that the replacement of an object causes; none when it is no target.
func moveOf(previous, next *Object) []move {
	var moves []move
	if previous != nil && previous.Target != nil {
		moves = append(moves, move{*previous.Target, false})
	}
	if next.Target != nil {
		moves = append(moves, move{*next.Target, true})
	}
	return moves
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
func (config Config) PoolsOf(service string) []core.PoolID { return config.pools.of[service] }

// with returns a copy in which only the pools that the moves name are rebuilt.
func (index poolIndex) with(moves []move) poolIndex {
	if len(moves) == 0 {
		return index
	}
	changed := poolIndex{all: index.all, of: index.of, targets: copyPools(index.targets)}
	reshaped := false
	for pool, members := range regroup(index.targets, moves) {
		reshaped = reshaped || (len(index.targets[pool]) == 0) != (len(members) == 0)
		if len(members) == 0 {
			delete(changed.targets, pool)
			continue
		}
		slices.SortFunc(members, compareTargets)
		changed.targets[pool] = slices.Clip(members)
	}
	if reshaped {
		changed.list()
	}
	return changed
}

// regroup returns the new members of each pool that the moves touch, in no order.
func regroup(targets map[core.PoolID][]Target, moves []move) map[core.PoolID][]Target {
	members := map[core.PoolID]map[core.TargetName]Target{}
	for _, move := range moves {
		pool := move.target.pool()
		if members[pool] == nil {
			members[pool] = map[core.TargetName]Target{}
			for _, target := range targets[pool] {
				members[pool][target.Name] = target
			}
		}
		if move.joins {
			members[pool][move.target.Name] = move.target
		} else {
			delete(members[pool], move.target.Name)
		}
	}
	grouped := make(map[core.PoolID][]Target, len(members))
	for pool, byName := range members {
		grouped[pool] = slices.Collect(maps.Values(byName))
	}
	return grouped
}

// list rebuilds the lists of pools; needed only when a pool appears or vanishes.
func (index *poolIndex) list() {
	index.all = slices.SortedFunc(maps.Keys(index.targets), comparePools)
	index.of = map[string][]core.PoolID{}
	for _, pool := range index.all {
		index.of[pool.Service] = append(index.of[pool.Service], pool)
	}
}

func copyPools(targets map[core.PoolID][]Target) map[core.PoolID][]Target {
	if targets == nil {
		return map[core.PoolID][]Target{}
	}
	return maps.Clone(targets)
}
