package bench

import (
	"context"
	"fmt"
	"time"

	"catkincove/core"
)

// FailResult says how a fleet settled after daemons were killed.
type FailResult struct {
	Shape
	Killed      int
	LostPools   int
	OwnersMs    float64 // until every pool has an owner in the store that lives
	GrantsMs    float64 // until every pool has an owner that grants
	StoreCalls  map[string]float64
	LoadAverage float64
}

// String returns the result as one line for people.
func (result FailResult) String() string {
	return fmt.Sprintf("%d daemons, %d pools: killed %d with %d pools; owners after %.0f ms, all grant after %.0f ms, store calls %v, load %.1f",
		result.Daemons, result.Pools, result.Killed, result.LostPools, result.OwnersMs, result.GrantsMs,
		result.StoreCalls, result.LoadAverage)
}

// Kill ends daemons at once and waits until the others grant on every pool.
func (fleet *Fleet) Kill(ctx context.Context, count int) (FailResult, error) {
	if err := await(ctx, "all pools grant", func() bool { return len(fleet.granting()) == len(fleet.pools) }); err != nil {
		return FailResult{}, err
	}
	result := FailResult{Shape: fleet.shape, Killed: count, LoadAverage: loadAverage(), StoreCalls: map[string]float64{}}
	before := fleet.platform.store.Counters()
	began := time.Now()
	for _, daemon := range fleet.daemons[:count] {
		daemon.kill()
	}
	fleet.daemons = fleet.daemons[count:]
	result.LostPools = len(fleet.pools) - fleet.heldNow()
	err := await(ctx, "all pools are owned", func() bool { return fleet.heldNow() == len(fleet.pools) })
	if err != nil {
		return result, err
	}
	result.OwnersMs = float64(time.Since(began).Milliseconds())
	err = await(ctx, "all pools grant", func() bool { return len(fleet.granting()) == len(fleet.pools) })
	result.GrantsMs = float64(time.Since(began).Milliseconds())
	for name, calls := range fleet.platform.store.Counters() {
		result.StoreCalls[name] = float64(calls - before[name])
	}
	return result, err
}

// heldNow counts the pools that living daemons hold.
func (fleet *Fleet) heldNow() int {
	held := 0
	for _, daemon := range fleet.daemons {
		if found, err := fleet.vars(daemon); err == nil {
			held += len(found.Catkincove.Pools)
		}
	}
	return held
}

// granting returns the pools in which a living owner has a free place.
func (fleet *Fleet) granting() map[core.PoolID]bool {
	granting := map[core.PoolID]bool{}
	for _, daemon := range fleet.daemons {
		var status struct {
			Pools []struct {
				Pool string
				Free int
			}
		}
		if err := fleet.get(daemon, "/v1/status", &status); err != nil {
			continue
		}
		for _, pool := range status.Pools {
			if id, valid := core.ParsePoolID(pool.Pool); valid && pool.Free > 0 {
				granting[id] = true
			}
		}
	}
	return granting
}
