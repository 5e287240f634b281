package route

import (
	"time"

	"catkincove/core"
)

// priced is a candidate with its cost.
type priced struct {
	cost      time.Duration
	candidate *candidate
}

// Pools returns up to 8 pools of the service that may take new work, cheapest first; empty when there is none.
func (router *Router) Pools(service string) []core.PoolID {
	candidates := router.table.Load().services[service]
	if len(candidates) == 0 {
		return nil
	}
	now := router.now()
	random := router.random.Add(0x9e3779b97f4a7c15)
	var best [mostPools]priced
	count := 0
	for i := range candidates {
		random = mix(random + uint64(i))
		cost := candidates[i].cost(now) + time.Duration(random%uint64(spread))
		count = insert(&best, count, priced{cost, &candidates[i]})
	}
	pools := make([]core.PoolID, count)
	for i := range pools {
		pools[i] = best[i].candidate.id
	}
	return pools
}

// insert keeps the cheapest candidates in order and returns their number.
func insert(best *[mostPools]priced, count int, added priced) int {
	position := count
	if count == mostPools {
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

// cost is the distance plus what is left of the reported wait, which passes like any time.
//
// With a wait that faded over waitAge, a pool that had reported 60 ms was left idle for nearly 3 s while others queued.
func (candidate *candidate) cost(now int64) time.Duration {
	note := candidate.note
	cost := candidate.distance
	if notedAt := note.notedAt.Load(); notedAt > 0 {
		wait := min(time.Duration(note.wait.Load()), waitAge)
		cost += max(0, wait-time.Duration(now-notedAt))
	}
	if note.avoidedUntil.Load() > now {
		cost += avoidCost
	}
	return cost
}

// mix is the output function of SplitMix64.
func mix(value uint64) uint64 {
	value = (value ^ value>>30) * 0xbf58476d1ce4e5b9
	value = (value ^ value>>27) * 0x94d049bb133111eb
	return value ^ value>>31
}
