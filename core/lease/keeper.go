package lease

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"catkincove/core"
)

// Durations of leases and pool ownership.
const (
	// ShortTTL and LongTTL are the lease TTLs for up to and for more than MaxSmallFleet members.
	ShortTTL = 3 * time.Second
	LongTTL  = 10 * time.Second
	// ExpiryMargin is the last part of a lease, which is not relied on because of clock drift and the store's expiry.
	ExpiryMargin = 500 * time.Millisecond
	// ExtensionGrace is the part of ExpiryMargin in which a renewal or an outage quorum may still extend ownership.
	//
	// The owner key stays in the store until the margin ends, so no other daemon can have claimed the pool by then. The
	// grace is needed because an outage is detected 1 to 1.5 s after the last successful store read, and the usable part
	// of a lease that was renewed 1 s before that read ends just as early.
	ExtensionGrace = ExpiryMargin / 2
	// HandoverGap is the time from a claim to the first grant: 1 s until the previous owner's grants have expired, and
	// 0.25 s for clock drift.
	HandoverGap = 1250 * time.Millisecond
	// RebalanceInterval is the minimum time between two releases for balance, so that another daemon claims the first
	// pool before the next one is released.
	RebalanceInterval = 5 * time.Second
)

// MaxSmallFleet is the largest number of members that use ShortTTL.
const MaxSmallFleet = 16

// TTL returns the TTL of leases in a fleet with this number of members.
func TTL(members int) time.Duration {
	if members <= MaxSmallFleet {
		return ShortTTL
	}
	return LongTTL
}

// Owner is the owner of a pool as recorded in the store.
type Owner struct {
	Pool    core.PoolID
	Member  core.MemberID
	Address string
	Token   core.FencingToken
	Lease   core.LeaseID
}

// wireOwner is the stored form of an owner record.
type wireOwner struct {
	Member  string
	Address string
}

// OwnerKey returns the store key of a pool's owner.
func OwnerKey(pool core.PoolID) string { return core.OwnerPrefix + pool.String() }

func encodeOwner(member core.MemberID, address string) []byte {
	content, _ := json.Marshal(wireOwner{string(member), address}) // encoding strings cannot fail
	return content
}

// DecodeOwner decodes an owner record of the store; it returns an error if the key names no pool or the value is invalid.
func DecodeOwner(entry core.Entry) (Owner, error) {
	pool, valid := core.ParsePoolID(strings.TrimPrefix(entry.Key, core.OwnerPrefix))
	if !valid {
		return Owner{}, fmt.Errorf("owner key %q does not name a pool", entry.Key)
	}
	var wire wireOwner
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return Owner{}, fmt.Errorf("owner record %q: %w", entry.Key, err)
	}
	token := core.FencingToken(entry.CreateRevision)
	return Owner{pool, core.MemberID(wire.Member), wire.Address, token, entry.Lease}, nil
}

// OwnedPool is a pool that this daemon owns.
type OwnedPool struct {
	Pool  core.PoolID
	Token core.FencingToken

	lease           core.LeaseID // the lease of the owner key; 0 if the key expired in an outage
	claimedAt       time.Time
	handoverGap     time.Duration // from claimedAt to the first grant
	validUntil      time.Time     // end of the ownership, as extended by the lease and by outage quorums
	extendableUntil time.Time     // until when a renewal or an outage quorum may still extend the ownership
}

// Keeper decides which pools this daemon owns; it is used on the control goroutine only, and needs Self and Address.
type Keeper struct {
	Self    core.MemberID
	Address string

	lease           core.LeaseID
	leaseValidUntil time.Time // end of the usable part of the lease
	owned           map[core.PoolID]OwnedPool
	owners          map[core.PoolID]Owner
	absentSince     map[core.PoolID]time.Time // when a pool was first seen without an owner
	pools           []core.PoolID
	pendingClaims   map[core.PoolID]bool // claims sent, result not yet received
	rebalancedAt    time.Time            // when a pool was last released for balance
	lost            map[core.PoolID]bool // owned pools that were lost since the last TakeLost call
	outage          bool                 // there was an outage quorum at the last ObserveOutage call
}

func (keeper *Keeper) init() {
	if keeper.owned == nil {
		keeper.owned = make(map[core.PoolID]OwnedPool)
		keeper.owners = make(map[core.PoolID]Owner)
		keeper.absentSince = make(map[core.PoolID]time.Time)
		keeper.pendingClaims = make(map[core.PoolID]bool)
		keeper.lost = make(map[core.PoolID]bool)
	}
}

// Lease returns the lease and whether it is usable at now.
func (keeper *Keeper) Lease(now time.Time) (core.LeaseID, bool) {
	return keeper.lease, keeper.lease != 0 && unexpired(keeper.leaseValidUntil, now)
}

// Renewed handles a successful grant or renewal of a lease, requested at sentAt.
func (keeper *Keeper) Renewed(sentAt, now time.Time, lease core.LeaseID, ttl time.Duration) {
	keeper.init()
	keeper.dropExpired(now)
	until := sentAt.Add(ttl - ExpiryMargin)
	if lease != keeper.lease || isAfter(until, keeper.leaseValidUntil) {
		keeper.leaseValidUntil = until
	}
	keeper.lease = lease
	for pool, ownedPool := range keeper.owned {
		if ownedPool.lease == lease {
			keeper.owned[pool] = ownedPool.extended(until, ExtensionGrace)
		}
	}
}

// LeaseNotFound handles the store's response that the lease does not exist.
func (keeper *Keeper) LeaseNotFound(now time.Time, lease core.LeaseID) {
	keeper.init()
	keeper.dropExpired(now)
	if keeper.lease == lease {
		keeper.lease = 0
	}
}

// ObserveOutage sets the end of the current outage quorum, zero if there is none, and extends owned pools up to it.
func (keeper *Keeper) ObserveOutage(now, outageUntil time.Time) {
	keeper.init()
	keeper.dropExpired(now)
	keeper.outage = unexpired(outageUntil, now)
	if !keeper.outage {
		return
	}
	for pool, ownedPool := range keeper.owned {
		keeper.owned[pool] = ownedPool.extended(outageUntil, 0)
	}
}

// dropExpired drops the owned pools that can no longer be extended, so that no later renewal or quorum revives them.
func (keeper *Keeper) dropExpired(now time.Time) {
	for pool, ownedPool := range keeper.owned {
		if !unexpired(ownedPool.extendableUntil, now) {
			keeper.drop(pool)
		}
	}
}

// extended returns the pool with an ownership that is valid at least until the given time, and extendable for grace after it.
func (ownedPool OwnedPool) extended(until time.Time, grace time.Duration) OwnedPool {
	if isAfter(until, ownedPool.validUntil) {
		ownedPool.validUntil = until
	}
	if isAfter(until.Add(grace), ownedPool.extendableUntil) {
		ownedPool.extendableUntil = until.Add(grace)
	}
	return ownedPool
}

func (keeper *Keeper) drop(pool core.PoolID) {
	delete(keeper.owned, pool)
	keeper.lost[pool] = true
}

// MayGrant reports whether this daemon may grant work on the pool at now, and its fencing token.
func (keeper *Keeper) MayGrant(now time.Time, pool core.PoolID) (core.FencingToken, bool) {
	ownedPool, found := keeper.owned[pool]
	if !found || !unexpired(ownedPool.validUntil, now) {
		return 0, false
	}
	// The handover gap is a minimum, so the monotonic clock measures it: unlike the wall clock, it never jumps ahead.
	return ownedPool.Token, now.Sub(ownedPool.claimedAt) >= ownedPool.handoverGap
}

// GrantUntil returns the time until which the ownership of a pool is valid at present, and whether it is owned.
func (keeper *Keeper) GrantUntil(pool core.PoolID) (time.Time, bool) {
	ownedPool, found := keeper.owned[pool]
	return ownedPool.validUntil, found
}

// OwnedPools returns the pools owned at now, sorted by name.
func (keeper *Keeper) OwnedPools(now time.Time) []OwnedPool {
	keeper.init()
	keeper.dropExpired(now)
	owned := make([]OwnedPool, 0, len(keeper.owned))
	for _, ownedPool := range keeper.owned {
		owned = append(owned, ownedPool)
	}
	slices.SortFunc(owned, func(a, b OwnedPool) int { return cmp.Compare(a.Pool.String(), b.Pool.String()) })
	return owned
}

// TakeLost returns the pools that were lost since the last call and have not been claimed again.
func (keeper *Keeper) TakeLost(now time.Time) []core.PoolID {
	keeper.init()
	keeper.dropExpired(now)
	var lost []core.PoolID
	for pool := range keeper.lost {
		if _, reclaimed := keeper.owned[pool]; !reclaimed {
			lost = append(lost, pool)
		}
	}
	clear(keeper.lost)
	return lost
}

// OwnerOf returns the owner of a pool and its address, empty if there is none; in an outage it is the last known owner.
func (keeper *Keeper) OwnerOf(pool core.PoolID) (core.MemberID, string) {
	_, absent := keeper.absentSince[pool]
	if absent && !keeper.outage {
		return "", ""
	}
	owner := keeper.owners[pool]
	return owner.Member, owner.Address
}

// unexpired reports whether until is set and still ahead by both the monotonic and the wall clock.
func unexpired(until, now time.Time) bool { return !until.IsZero() && core.Elapsed(until, now) < 0 }

// isAfter reports whether a is after b; every time is after the zero time.
func isAfter(a, b time.Time) bool { return b.IsZero() || core.Elapsed(b, a) > 0 }
