package route

import (
	"time"

	"catkincove/core"
)

// scored is a candidate with its cost including jitter.
type scored struct {
	cost      time.Duration
	candidate *candidate
}

// Pools returns up to 8 pools of the service that may take new work, lowest cost first; it returns nil if there are
// none.
func (router *Router) Pools(service string) []core.PoolID {
	candidates := router.table.Load().services[service]
	if len(candidates) == 0 {
		return nil
	}
	now := router.now()
	random := router.random.Add(0x9e3779b97f4a7c15)
	var best [maxPools]scored
	count := 0
	for i := range candidates {
		random = mix(random + uint64(i))
		cost := candidates[i].cost(now) + time.Duration(random%uint64(costJitter))
		count = insert(&best, count, scored{cost, &candidates[i]})
	}
	pools := make([]core.PoolID, count)
	for i := range pools {
		pools[i] = best[i].candidate.id
	}
	return pools
}

// insert adds a candidate to the sorted array, drops the most expensive one if the array is full, and returns the new
// count.
func insert(best *[maxPools]scored, count int, added scored) int {
	position := count
	if count == maxPools {
		if best[count-1].cost <= added.cost {
			return count
		}
		position--
	} else {
		count++
	}
	for position > 0 && best[position-1].cost > added.cost {
		best[position] = best[position-1]
		position--
	}
	best[position] = added
	return count
}

// cost returns the network delay plus the reported wait less the time since the report.
//
// When the wait instead decayed over maxWait, a pool that had reported 60 ms was left idle for nearly 3 s while
// requests queued at other pools.
func (candidate *candidate) cost(now int64) time.Duration {
	state := candidate.state
	cost := candidate.delay
	if reportedAt := state.reportedAt.Load(); reportedAt > 0 {
		wait := min(time.Duration(state.expectedWait.Load()), maxWait)
		cost += max(0, wait-time.Duration(now-reportedAt))
	}
	if state.deprioritizedUntil.Load() > now {
		cost += deprioritizedCost
	}
	return cost
}

// mix is the output function of the SplitMix64 generator.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
