package route

import (
	"sync/atomic"
	"time"

	"catkincove/core"
)

const (
	// maxPools bounds the result of Pools; a request has no time to try more pools.
	maxPools = 8
	// maxWait caps a reported wait, so that no report affects the order for longer than this.
	maxWait = 3 * time.Second
	// deprioritizeDuration is how long a pool is tried last after it was unresponsive or failed.
	deprioritizeDuration = time.Second
	// deprioritizedCost is added to the cost of a deprioritized pool, which puts it behind all others.
	deprioritizedCost = time.Hour
	// costJitter bounds the random part of a cost, which spreads requests over pools of nearly equal cost.
	costJitter = time.Millisecond
)

// PoolInfo describes one pool in a configuration.
type PoolInfo struct {
	ID           core.PoolID
	Region       string
	InService    bool // whether the data centre takes new work
	ReadyTargets int  // number of targets that may take new work
}

// Locality is the location of a daemon and its network delay to pools in other data centres.
type Locality struct {
	DataCentre       string
	Region           string
	SameRegionDelay  time.Duration
	OtherRegionDelay time.Duration
}

// Router implements core.Router; use New to create one.
//
// Pools, RecordSummary and Deprioritize take no lock: they read a table that Update replaces as a whole.
type Router struct {
	clock  core.Clock
	base   time.Time
	random atomic.Uint64
	table  atomic.Pointer[table]
}

var _ core.Router = (*Router)(nil)

// table is immutable except for the states, which are kept when Update replaces the table.
type table struct {
	services map[string][]candidate
	states   map[core.PoolID]*poolState
}

type candidate struct {
	id    core.PoolID
	delay time.Duration
	state *poolState
}

// poolState holds the last report of a pool and its deprioritization; all fields are in nanoseconds, times count from
// the router's base, and the time 0 means never.
type poolState struct {
	expectedWait       atomic.Int64
	reportedAt         atomic.Int64
	deprioritizedUntil atomic.Int64
}

// New returns a router without pools; the seed determines the order of pools of equal cost.
func New(clock core.Clock, seed uint64) *Router {
	router := &Router{clock: clock, base: clock.Now()}
	router.random.Store(seed)
	router.table.Store(&table{})
	return router
}

// Update replaces the pools and the locality; it must not be called concurrently with itself.
func (router *Router) Update(locality Locality, pools []PoolInfo) {
	previous := router.table.Load()
	next := &table{
		services: map[string][]candidate{},
		states:   make(map[core.PoolID]*poolState, len(pools)),
	}
	for _, pool := range pools {
		state := previous.states[pool.ID]
		if state == nil {
			state = &poolState{}
		}
		next.states[pool.ID] = state
		if !pool.InService || pool.ReadyTargets == 0 {
			continue
		}
		added := candidate{id: pool.ID, delay: locality.delayTo(pool), state: state}
		next.services[pool.ID.Service] = append(next.services[pool.ID.Service], added)
	}
	router.table.Store(next)
}

func (locality Locality) delayTo(pool PoolInfo) time.Duration {
	switch {
	case pool.ID.DataCentre == locality.DataCentre:
		return 0
	case pool.Region == locality.Region:
		return locality.SameRegionDelay
	default:
		return locality.OtherRegionDelay
	}
}

// RecordSummary stores the status that the pool's owner reported, and ends the deprioritization of the pool.
func (router *Router) RecordSummary(pool core.PoolID, summary core.PoolSummary) {
	state := router.table.Load().states[pool]
	if state == nil {
		return
	}
	state.expectedWait.Store(int64(summary.ExpectedWait))
	state.reportedAt.Store(router.now())
	state.deprioritizedUntil.Store(0)
}

// Deprioritize puts the pool behind all others for 1 second.
func (router *Router) Deprioritize(pool core.PoolID) {
	if state := router.table.Load().states[pool]; state != nil {
		state.deprioritizedUntil.Store(router.now() + int64(deprioritizeDuration))
	}
}

// now returns the nanoseconds since the base plus 1, so that 0 can mean never.
func (router *Router) now() int64 {
	return int64(router.clock.Now().Sub(router.base)) + 1
}
