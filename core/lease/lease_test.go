package lease

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"catkincove/core"
	"catkincove/core/member"
)

func init() { _ = flag.Set("rapid.seed", "20261204") }

// TestOneGranter guards against two daemons that grant on the same pool at once, under random partitions, store outages,
// process stalls and lost responses.
func TestOneGranter(t *testing.T) {
	grants := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSim(rapid.Uint64().Draw(t, "seed"), false)
		if violation := sim.advance(600); violation != "" {
			t.Fatal(violation)
		}
		grants += sim.grants
	})
	if grants == 0 {
		t.Fatal("no daemon granted in any simulation run")
	}
}

// granter returns the first live daemon that may grant on the pool; empty if there is none.
func (sim *sim) granter(pool core.PoolID) core.MemberID {
	for _, daemon := range sim.daemons {
		if _, allowed := daemon.keeper.MayGrant(sim.clock.Now(), pool); allowed && !daemon.dead {
			return daemon.keeper.Self
		}
	}
	return ""
}

// TestOutage guards against pools that lose or change their owner in an outage of the store for all daemons, also when
// the outage is long enough for all leases to expire.
//
// A lease that was renewed just before the last successful store read may end up to 0.3 s before the outage is detected,
// so a pool may have no owner for up to 3 steps.
func TestOutage(t *testing.T) {
	for _, steps := range []int{5, 10, 15, 20, 25, 30, 35, 50, 100, 300, 1200} {
		for offset := range 10 {
			sim := newSim(1, true)
			sim.advance(60 + offset)
			var before [simPools]core.MemberID
			for i := range before {
				before[i] = sim.granter(simPool(i))
			}
			var stepsWithoutOwner [simPools]int
			for step := range steps + 150 {
				sim.setDisconnected(step < steps)
				sim.advance(1)
				for i, owner := range before {
					newOwner := sim.granter(simPool(i))
					if newOwner == "" {
						stepsWithoutOwner[i]++
					}
					if stepsWithoutOwner[i] > 3 || newOwner != "" && newOwner != owner || owner == "" {
						t.Fatalf("outage of %d steps, offset %d: pool %d moved from owner %q to %q in step %d", steps, offset, i, owner, newOwner, step)
					}
				}
			}
		}
	}
}

// TestOneDaemonWithoutStore guards against pools that have no owner for longer than a failover takes because their former
// owner, which is cut off from the store alone, still sends heartbeats and counts as the preferred owner.
func TestOneDaemonWithoutStore(t *testing.T) {
	// From the end of the usable part of the lease: its margin, a read of the owners, a heartbeat, a plan, the handover gap.
	const bound = ExpiryMargin + 3*simStep + 5*simStep + 3*simStep + HandoverGap + simStep
	for cut := range simDaemons {
		for offset := range 10 {
			sim := newSim(1, true)
			for _, daemon := range sim.daemons {
				daemon.view = &member.View{Self: member.Record{ID: daemon.keeper.Self}}
			}
			sim.advance(100 + offset)
			sim.daemons[cut].disconnected = true
			var unowned [simPools]time.Duration
			for range 150 {
				if violation := sim.advance(1); violation != "" {
					t.Fatal(violation)
				}
				for i := range unowned {
					if sim.granter(simPool(i)) == "" {
						unowned[i] += simStep
					}
				}
			}
			for i, duration := range unowned {
				if duration > bound || sim.granter(simPool(i)) == sim.daemons[cut].keeper.Self {
					t.Errorf("%s cut off, offset %d: pool %d had no owner for %v, then %q", sim.daemons[cut].keeper.Self, offset, i, duration, sim.granter(simPool(i)))
				}
			}
		}
	}
}

// TestClaimAfterOutage guards against a claim while a disconnected owner still grants because of an outage quorum.
//
// The claimant reaches the store but no other daemon; then all daemons but the owner reach the store, and the claimant
// receives no heartbeat of the owner.
func TestClaimAfterOutage(t *testing.T) {
	for i := range simDaemons * simDaemons * 10 {
		sim := newSim(1, true)
		sim.advance(60 + i/simDaemons/simDaemons)
		owner, claimant := sim.daemons[i%simDaemons], sim.daemons[i/simDaemons%simDaemons]
		if owner == claimant {
			continue
		}
		claimant.omitted = i % simDaemons
		owner.dropsHeartbeats = true
		sim.isolate(claimant)
		sim.advance(50)
		// All daemons but the owner reach the store again, and the claimant receives no heartbeat of the owner.
		sim.isolate(owner)
		for _, daemon := range sim.daemons {
			daemon.disconnected = daemon == owner
		}
		if violation := sim.advance(60); violation != "" {
			t.Fatalf("run %d: %s", i, violation)
		}
	}
}

// isolate partitions one daemon, which still reaches the store, from all others, which do not.
func (sim *sim) isolate(isolated *simDaemon) {
	for _, daemon := range sim.daemons {
		daemon.group, daemon.disconnected = 1, true
	}
	isolated.group, isolated.disconnected = 0, false
}

// TestFailover guards against pools that stay without an owner after a crash, and against a claim before the lease of the
// crashed owner expired.
func TestFailover(t *testing.T) {
	sim := newSim(1, true)
	sim.advance(60)
	pool := simPool(0)
	owner := sim.granter(pool)
	for _, daemon := range sim.daemons {
		daemon.dead = daemon.dead || daemon.keeper.Self == owner
	}
	steps := 0
	for sim.granter(pool) == "" && steps < 200 {
		sim.advance(1)
		steps++
	}
	duration := time.Duration(steps) * simStep
	t.Logf("failover of a killed owner took %s", duration)
	if duration < ShortTTL || duration > ShortTTL+HandoverGap+2*time.Second {
		t.Fatalf("failover took %s", duration)
	}
}

// TestMayGrant guards against grants before the handover gap, after the lease expired, and after a process stall.
func TestMayGrant(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	pool := simPool(0)
	renew := func(sent, now float64) func(*Keeper) {
		return func(keeper *Keeper) { keeper.Renewed(at(sent), at(now), 9, ShortTTL) }
	}
	observeOutage := func(now, until float64) func(*Keeper) {
		return func(keeper *Keeper) { keeper.ObserveOutage(at(now), at(until)) }
	}
	owners := func(entries ...core.Entry) func(*Keeper) {
		return func(keeper *Keeper) { keeper.ObserveOwners(at(2), 20, entries) }
	}
	record := func(member core.MemberID, token core.Revision) core.Entry {
		return core.Entry{Key: OwnerKey(pool), Value: encodeOwner(member, ""), CreateRevision: token, Lease: 9}
	}
	tests := []struct {
		name    string
		steps   []func(*Keeper)
		now     float64
		allowed bool
	}{
		{"in the handover gap", nil, 1.2, false},
		{"after the handover gap", nil, 1.25, true},
		{"before the expiry margin", nil, 2.4, true},
		{"in the expiry margin", nil, 2.5, false},
		{"renewed", []func(*Keeper){renew(1, 1.1)}, 3.4, true},
		{"renewed, counted from the request", []func(*Keeper){renew(1, 2.4)}, 3.5, false},
		{"renewal response in the extension grace", []func(*Keeper){renew(2, 2.7)}, 3, true},
		{"renewal response after a process stall", []func(*Keeper){renew(2, 2.8)}, 3, false},
		{"outage quorum in the extension grace", []func(*Keeper){observeOutage(2.7, 4)}, 3, true},
		{"outage quorum", []func(*Keeper){observeOutage(2, 4), observeOutage(3.9, 5.9)}, 5, true},
		{"outage quorum after a process stall", []func(*Keeper){observeOutage(3, 5)}, 4, false},
		{"outage quorum with an interruption", []func(*Keeper){observeOutage(2, 3), observeOutage(3.1, 5)}, 4, false},
		{"owned by another", []func(*Keeper){owners(record("b", 12))}, 2, false},
		{"old record of another", []func(*Keeper){owners(record("b", 3))}, 2, true},
		{"key deleted", []func(*Keeper){owners()}, 2, false},
		{"key deleted in an outage", []func(*Keeper){observeOutage(1, 4), owners()}, 3, true},
		{"other lease renewed", []func(*Keeper){func(keeper *Keeper) { keeper.Renewed(at(2), at(2), 10, ShortTTL) }}, 3, false},
		{"left", []func(*Keeper){func(keeper *Keeper) { keeper.Plan(at(1.5), FleetState{Leaving: true}) }}, 2, false},
	}
	for _, test := range tests {
		keeper := &Keeper{Self: "a"}
		keeper.SetPools(start, []core.PoolID{pool})
		keeper.Renewed(start, start, 9, ShortTTL)
		keeper.Claimed(start, Claim{Pool: pool, Lease: 9}, 10)
		for _, step := range test.steps {
			step(keeper)
		}
		if token, allowed := keeper.MayGrant(at(test.now), pool); allowed != test.allowed || allowed && token != 10 {
			t.Errorf("%s: MayGrant returned %v with token %d", test.name, allowed, token)
		}
	}
}

// TestRebalance guards against a daemon that keeps all pools after others have joined, and against one that releases them
// all at once.
func TestRebalance(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	keeper := &Keeper{Self: "a"}
	var pools []core.PoolID
	for i := range 12 {
		pools = append(pools, simPool(i))
	}
	keeper.SetPools(start, pools)
	keeper.Renewed(start, start, 9, time.Hour)
	for i, pool := range pools {
		keeper.Claimed(start, Claim{Pool: pool, Lease: 9}, core.Revision(i+1))
	}
	fleetState := FleetState{Members: []core.MemberID{"a", "b", "c"}, StoreQuorumSince: start}
	for second := range 120 {
		plan := keeper.Plan(start.Add(time.Duration(second)*time.Second), fleetState)
		if len(plan.Releases) > 1 || second%5 != 0 && len(plan.Releases) > 0 {
			t.Fatalf("second %d: %d pools released", second, len(plan.Releases))
		}
		for _, owner := range plan.Releases {
			keeper.Released(start, owner)
		}
	}
	if owned := len(keeper.OwnedPools(start)); owned < 4 || owned > 6 {
		t.Fatalf("%d of 12 pools owned in a fleet of 3", owned)
	}
}
