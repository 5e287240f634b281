package lease

import (
	"cmp"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/member"
)

// FleetState is the state of the fleet that Plan depends on.
type FleetState struct {
	Members          []core.MemberID // members that may claim pools
	OutageUntil      time.Time       // result of fresh.Tracker.OutageUntil
	StoreQuorumSince time.Time       // result of fresh.Tracker.StoreQuorumSince
	Leaving          bool            // this daemon releases all its pools
}

// Claim is a conditional write of a pool's owner key, which must not exist or must still have the token.
type Claim struct {
	Pool  core.PoolID
	Token core.FencingToken // 0 means that the key must not exist
	Lease core.LeaseID
}

// Plan is the list of store writes to make next.
type Plan struct {
	Claims   []Claim
	Releases []Owner
}

// SetPools sets the pools of the configuration.
func (keeper *Keeper) SetPools(now time.Time, pools []core.PoolID) {
	keeper.init()
	keeper.pools = slices.Clone(pools)
	slices.SortFunc(keeper.pools, comparePools)
	for _, pool := range keeper.pools {
		if _, known := keeper.owners[pool]; !known {
			keeper.markAbsent(now, pool)
		}
	}
}

func comparePools(a, b core.PoolID) int { return cmp.Compare(a.String(), b.String()) }

func (keeper *Keeper) markAbsent(now time.Time, pool core.PoolID) {
	if _, known := keeper.absentSince[pool]; !known {
		keeper.absentSince[pool] = now
	}
}

// Plan decides which pools to claim and to release; from this call on, MayGrant is false for the released pools.
func (keeper *Keeper) Plan(now time.Time, fleetState FleetState) Plan {
	keeper.init()
	keeper.ObserveOutage(now, fleetState.OutageUntil)
	if fleetState.Leaving {
		return Plan{Releases: keeper.releaseAll()}
	}
	var plan Plan
	if !keeper.outage {
		plan.Releases = keeper.planReleases(now, fleetState)
	}
	lease, usable := keeper.Lease(now)
	if !usable {
		return plan
	}
	plan.Claims = keeper.rebindClaims(lease)
	if !keeper.outage && !fleetState.StoreQuorumSince.IsZero() {
		plan.Claims = append(plan.Claims, keeper.newClaims(lease, fleetState)...)
	}
	for _, claim := range plan.Claims {
		keeper.pendingClaims[claim.Pool] = true
	}
	return plan
}

// rebindClaims claims owned pools whose owner key is not under the current lease.
func (keeper *Keeper) rebindClaims(lease core.LeaseID) []Claim {
	var claims []Claim
	for pool, ownedPool := range keeper.owned {
		if ownedPool.lease == lease || keeper.pendingClaims[pool] {
			continue
		}
		claim := Claim{Pool: pool, Lease: lease, Token: ownedPool.Token}
		if _, absent := keeper.absentSince[pool]; absent {
			claim.Token = 0
		}
		claims = append(claims, claim)
	}
	slices.SortFunc(claims, func(a, b Claim) int { return comparePools(a.Pool, b.Pool) })
	return claims
}

// newClaims claims the pools without an owner for which this daemon is the preferred owner.
//
// A store quorum that was reported entirely after the owner key was deleted proves that no outage quorum extends the
// previous owner's ownership any more.
func (keeper *Keeper) newClaims(lease core.LeaseID, fleetState FleetState) []Claim {
	var claims []Claim
	for _, pool := range keeper.pools {
		since, absent := keeper.absentSince[pool]
		_, found := keeper.owned[pool]
		if !absent || found || keeper.pendingClaims[pool] || fleetState.StoreQuorumSince.Before(since) {
			continue
		}
		if member.PreferredOwner(fleetState.Members, pool) == keeper.Self {
			claims = append(claims, Claim{Pool: pool, Lease: lease})
		}
	}
	return claims
}

// planReleases lists this daemon's owner keys in the store for pools that it no longer owns, and the excess pools.
func (keeper *Keeper) planReleases(now time.Time, fleetState FleetState) []Owner {
	var releases []Owner
	for pool, owner := range keeper.owners {
		_, absent := keeper.absentSince[pool]
		_, found := keeper.owned[pool]
		if owner.Member == keeper.Self && !absent && !found && !keeper.pendingClaims[pool] {
			releases = append(releases, owner)
		}
	}
	for _, pool := range keeper.excessPools(now, fleetState) {
		releases = append(releases, keeper.release(pool))
	}
	return releases
}

// releaseAll releases all owned pools and lists all owner keys of this daemon.
func (keeper *Keeper) releaseAll() []Owner {
	var releases []Owner
	for pool := range keeper.owned {
		releases = append(releases, keeper.release(pool))
	}
	for pool, owner := range keeper.owners {
		if _, absent := keeper.absentSince[pool]; !absent && owner.Member == keeper.Self && !slices.Contains(releases, owner) {
			releases = append(releases, owner)
		}
	}
	return releases
}

// release drops an owned pool and returns the owner record to delete.
func (keeper *Keeper) release(pool core.PoolID) Owner {
	ownedPool := keeper.owned[pool]
	keeper.drop(pool)
	return Owner{Pool: pool, Member: keeper.Self, Address: keeper.Address, Token: ownedPool.Token, Lease: ownedPool.lease}
}

// excessPools lists owned pools that are no longer configured, and one pool with another preferred owner if this daemon
// owns clearly more than its share.
func (keeper *Keeper) excessPools(now time.Time, fleetState FleetState) []core.PoolID {
	var excess []core.PoolID
	if keeper.pools == nil || len(fleetState.Members) == 0 {
		return nil
	}
	for pool := range keeper.owned {
		if _, configured := slices.BinarySearchFunc(keeper.pools, pool, comparePools); !configured {
			excess = append(excess, pool)
		}
	}
	share := (len(keeper.pools) + len(fleetState.Members) - 1) / len(fleetState.Members)
	due := keeper.rebalancedAt.IsZero() || now.Sub(keeper.rebalancedAt) >= RebalanceInterval
	if len(keeper.owned)-len(excess) <= share+max(1, share/4) || !due {
		return excess
	}
	for _, ownedPool := range keeper.OwnedPools(now) {
		preferred := member.PreferredOwner(fleetState.Members, ownedPool.Pool)
		if preferred != keeper.Self && !slices.Contains(excess, ownedPool.Pool) {
			keeper.rebalancedAt = now
			return append(excess, ownedPool.Pool)
		}
	}
	return excess
}
