package lease

import (
	"time"

	"catkincove/core"
)

// Claimed handles a claim that succeeded at the store's revision.
func (keeper *Keeper) Claimed(now time.Time, claim Claim, revision core.Revision) {
	keeper.init()
	keeper.dropExpired(now)
	delete(keeper.pendingClaims, claim.Pool)
	token := claim.Token
	if token == 0 {
		token = core.FencingToken(revision)
	}
	owner := Owner{claim.Pool, keeper.Self, keeper.Address, token, claim.Lease}
	keeper.owners[claim.Pool] = owner
	delete(keeper.absentSince, claim.Pool)
	ownedPool, found := keeper.owned[claim.Pool]
	if found {
		keeper.rebind(ownedPool, owner)
		return
	}
	if claim.Token != 0 || claim.Lease != keeper.lease || !unexpired(keeper.leaseValidUntil, now) {
		return // the ownership or the lease expired in the meantime; the key is released and claimed again
	}
	ownedPool = OwnedPool{Pool: claim.Pool, Token: token, lease: claim.Lease, claimedAt: now, handoverGap: HandoverGap}
	keeper.owned[claim.Pool] = ownedPool.extended(keeper.leaseValidUntil, ExtensionGrace)
}

// rebind continues an uninterrupted ownership under the lease and the token of the owner record.
func (keeper *Keeper) rebind(ownedPool OwnedPool, owner Owner) {
	ownedPool.Token = owner.Token
	ownedPool.lease = owner.Lease
	if owner.Lease == keeper.lease {
		ownedPool = ownedPool.extended(keeper.leaseValidUntil, ExtensionGrace)
	}
	keeper.owned[ownedPool.Pool] = ownedPool
}

// ClaimFailed handles a claim whose condition failed; entry is the owner key in the store, nil if it does not exist.
func (keeper *Keeper) ClaimFailed(now time.Time, claim Claim, entry *core.Entry) {
	keeper.init()
	keeper.dropExpired(now)
	delete(keeper.pendingClaims, claim.Pool)
	if entry == nil {
		keeper.markAbsent(now, claim.Pool)
		return
	}
	if owner, err := DecodeOwner(*entry); err == nil {
		keeper.observeOwner(owner)
	}
}

// ClaimUnknown handles a claim without a response; the next owner record that is observed decides.
func (keeper *Keeper) ClaimUnknown(claim Claim) {
	keeper.init()
	delete(keeper.pendingClaims, claim.Pool)
}

// Released handles a successful release.
func (keeper *Keeper) Released(now time.Time, owner Owner) {
	keeper.init()
	if keeper.owners[owner.Pool].Token <= owner.Token {
		keeper.owners[owner.Pool] = owner
		keeper.markAbsent(now, owner.Pool)
	}
}

// ObserveOwners handles all owner records of the store at the revision; it skips records that it cannot decode and
// returns their errors.
func (keeper *Keeper) ObserveOwners(now time.Time, revision core.Revision, entries []core.Entry) []error {
	keeper.init()
	keeper.dropExpired(now)
	var errs []error
	present := make(map[core.PoolID]bool, len(entries))
	for _, entry := range entries {
		owner, err := DecodeOwner(entry)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		present[owner.Pool] = true
		keeper.observeOwner(owner)
	}
	for pool, owner := range keeper.owners {
		if !present[pool] && revision >= core.Revision(owner.Token) {
			keeper.observeAbsence(now, pool)
		}
	}
	return errs
}

// observeOwner handles an owner record; it drops an owned pool that another daemon has claimed since.
func (keeper *Keeper) observeOwner(owner Owner) {
	if owner.Token < keeper.owners[owner.Pool].Token {
		return
	}
	keeper.owners[owner.Pool] = owner
	delete(keeper.absentSince, owner.Pool)
	ownedPool, found := keeper.owned[owner.Pool]
	switch {
	case !found || owner.Token < ownedPool.Token:
	case owner.Member != keeper.Self:
		keeper.drop(owner.Pool)
	case owner.Lease == keeper.lease:
		keeper.rebind(ownedPool, owner)
	}
}

// observeAbsence handles a deleted owner key; the pool stays owned only while there is an outage quorum.
func (keeper *Keeper) observeAbsence(now time.Time, pool core.PoolID) {
	keeper.markAbsent(now, pool)
	ownedPool, found := keeper.owned[pool]
	if !found {
		return
	}
	if !keeper.outage {
		keeper.drop(pool)
		return
	}
	ownedPool.lease = 0
	keeper.owned[pool] = ownedPool
}
