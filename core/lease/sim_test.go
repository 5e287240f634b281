package lease

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/fakes"
	"catkincove/core/fresh"
	"catkincove/core/member"
)

const (
	simStep        = 100 * time.Millisecond
	simDaemons     = 5
	simPools       = 4
	grantUseWindow = time.Second // time after its request in which a grant may be used
)

// manualClock is a clock that counts the steps of the simulation.
type manualClock struct{ step int }

func (clock *manualClock) Now() time.Time {
	return time.Unix(1_800_000_000, 0).Add(time.Duration(clock.step) * simStep)
}

func (clock *manualClock) After(time.Duration) <-chan time.Time { return nil }

type simDaemon struct {
	tracker         fresh.Tracker
	keeper          Keeper
	group           int  // only daemons of the same group reach each other
	disconnected    bool // does not reach the store
	dropsHeartbeats bool // other daemons do not receive its heartbeats
	leaving         bool
	omitted         int // index of the member that this daemon leaves out of its view; -1 means none
	stalledUntil    int // step until which the process is stalled
	dead            bool
	renewAt         int          // step of the next renewal
	view            *member.View // decides the candidates for ownership; nil means sim.members
	inbox           []simEvent
}

type simEvent struct {
	step int
	run  func(now time.Time)
}

// sim runs keepers and trackers against one store with delays, lost messages, process stalls and partitions.
type sim struct {
	random     *rand.Rand
	clock      manualClock
	store      fakes.Store
	daemons    []*simDaemon
	storeCalls []simEvent // calls sent and not yet received by the store
	nextFaults int        // step in which the faults are drawn again
	faultFree  bool       // no faults and no delays
	lastGrants map[core.PoolID]map[core.MemberID]int
	grants     int
}

func simPool(i int) core.PoolID { return core.PoolID{Service: fmt.Sprintf("s%d", i), DataCentre: "x"} }

func newSim(seed uint64, faultFree bool) *sim {
	sim := &sim{random: rand.New(rand.NewPCG(seed, 2)), faultFree: faultFree}
	sim.store.Clock = &sim.clock
	sim.lastGrants = make(map[core.PoolID]map[core.MemberID]int)
	var pools []core.PoolID
	for i := range simPools {
		pools = append(pools, simPool(i))
		sim.lastGrants[simPool(i)] = make(map[core.MemberID]int)
	}
	for i := range simDaemons {
		id := core.MemberID(fmt.Sprintf("d%d", i))
		daemon := &simDaemon{tracker: fresh.Tracker{Self: id}, keeper: Keeper{Self: id}, omitted: -1}
		daemon.keeper.SetPools(sim.clock.Now(), pools)
		daemon.tracker.SetMembers(sim.clock.Now(), sim.members())
		sim.daemons = append(sim.daemons, daemon)
	}
	return sim
}

func (sim *sim) members() []core.MemberID {
	var ids []core.MemberID
	for i := range simDaemons {
		if i >= len(sim.daemons) || !sim.daemons[i].dead && !sim.daemons[i].leaving {
			ids = append(ids, core.MemberID(fmt.Sprintf("d%d", i)))
		}
	}
	return ids
}

func (sim *sim) delay() int {
	if sim.faultFree {
		return 0
	}
	if sim.random.IntN(10) == 0 {
		return sim.random.IntN(15)
	}
	return sim.random.IntN(2)
}

// drawFaults draws a partition, which daemons reach the store, a daemon that stalls and one that may release its pools.
func (sim *sim) drawFaults() {
	sim.nextFaults = sim.clock.step + 20 + sim.random.IntN(80)
	boundary := max(1, sim.random.IntN(2*simDaemons))
	storeFault := sim.random.IntN(4)
	for i, daemon := range sim.daemons {
		daemon.group = min(1, max(0, i-boundary+1))
		switch storeFault {
		case 0:
			daemon.disconnected = true
		case 1:
			daemon.disconnected = sim.random.IntN(4) == 0
		case 2:
			daemon.disconnected = daemon.group == 1
		default:
			daemon.disconnected = false
		}
		daemon.leaving = false
		daemon.omitted = sim.random.IntN(simDaemons+1) - 1
	}
	sim.daemons[sim.random.IntN(simDaemons)].stalledUntil = sim.clock.step + sim.random.IntN(60)
	sim.daemons[sim.random.IntN(simDaemons)].leaving = sim.random.IntN(2) == 0
}

// setDisconnected disconnects all daemons from the store, or reconnects them.
func (sim *sim) setDisconnected(disconnected bool) {
	for _, daemon := range sim.daemons {
		daemon.disconnected = disconnected
	}
}

// advance runs the steps and returns the first violation; empty if there is none.
func (sim *sim) advance(steps int) string {
	for range steps {
		sim.clock.step++
		if !sim.faultFree && sim.clock.step >= sim.nextFaults {
			sim.drawFaults()
		}
		runDue(&sim.storeCalls, sim.clock.step, sim.clock.Now())
		for i, daemon := range sim.daemons {
			if daemon.dead || daemon.stalledUntil > sim.clock.step {
				continue
			}
			if violation := sim.checkGrants(daemon); violation != "" {
				return violation
			}
			runDue(&daemon.inbox, sim.clock.step, sim.clock.Now())
			sim.runDaemon(i, daemon)
			if violation := sim.checkGrants(daemon); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// runDue runs the events that are due; they may add further ones.
func runDue(events *[]simEvent, step int, now time.Time) {
	due := slices.Clone(*events)
	*events = slices.DeleteFunc(*events, func(event simEvent) bool { return event.step <= step })
	for _, event := range due {
		if event.step <= step {
			event.run(now)
		}
	}
}

// checkGrants grants on each pool that the daemon may grant on, and returns a violation if a grant of another daemon may
// still be used.
func (sim *sim) checkGrants(daemon *simDaemon) string {
	for pool, last := range sim.lastGrants {
		if _, allowed := daemon.keeper.MayGrant(sim.clock.Now(), pool); !allowed {
			continue
		}
		sim.grants++
		for other, step := range last {
			if other != daemon.keeper.Self && time.Duration(sim.clock.step-step)*simStep < grantUseWindow {
				return fmt.Sprintf("step %d: %s grants on %s while a grant of %s from step %d may still be used", sim.clock.step, daemon.keeper.Self, pool, other, step)
			}
		}
		last[daemon.keeper.Self] = sim.clock.step
	}
	return ""
}

// call runs a store call with delays in both directions; the request or the response can be lost.
func (sim *sim) call(daemon *simDaemon, run func() func(now time.Time), failed func(now time.Time)) {
	sent := sim.clock.step + sim.delay()
	reply := func(step int, response func(now time.Time)) {
		daemon.inbox = append(daemon.inbox, simEvent{step, response})
	}
	if daemon.disconnected || !sim.faultFree && sim.random.IntN(30) == 0 {
		reply(sent, failed)
		return
	}
	storeCall := simEvent{sent, func(time.Time) {
		response := run()
		if !sim.faultFree && sim.random.IntN(30) == 0 {
			response = failed
		}
		reply(sim.clock.step+sim.delay(), response)
	}}
	if sent == sim.clock.step {
		storeCall.run(sim.clock.Now())
		return
	}
	sim.storeCalls = append(sim.storeCalls, storeCall)
}

func (sim *sim) runDaemon(i int, daemon *simDaemon) {
	offsetStep := sim.clock.step + i
	if offsetStep%5 == 0 {
		sim.readHead(daemon)
		for _, peer := range sim.daemons {
			if peer != daemon && peer.group == daemon.group && !peer.dead && !peer.dropsHeartbeats && peer.stalledUntil <= sim.clock.step {
				sim.receiveHeartbeat(daemon, peer)
			}
		}
	}
	if daemon.renewAt <= sim.clock.step {
		sim.renew(daemon)
	}
	if offsetStep%3 == 0 {
		sim.readOwners(daemon)
		sim.plan(daemon)
	}
}

func (sim *sim) readHead(daemon *simDaemon) {
	sentAt := sim.clock.Now()
	sim.call(daemon,
		func() func(time.Time) {
			return func(now time.Time) { daemon.tracker.ObserveStore(sentAt, now, 0) }
		},
		daemon.tracker.ObserveStoreFailure)
}

func (sim *sim) receiveHeartbeat(daemon, peer *simDaemon) {
	sentAt := sim.clock.Now()
	var reply core.Heartbeat
	peer.tracker.FillHeartbeat(sentAt, &reply)
	step := sim.clock.step + sim.delay()
	daemon.inbox = append(daemon.inbox, simEvent{step, func(now time.Time) {
		daemon.tracker.ObserveHeartbeat(now, sentAt, reply)
		if daemon.view != nil {
			daemon.view.ObserveHeartbeat(now, reply)
		}
	}})
}

// renew behaves like Agent.maintainLease: it replaces an expired lease at once and retries a failed call after 0.2 to 0.5 s.
func (sim *sim) renew(daemon *simDaemon) {
	ctx := context.Background()
	sentAt := sim.clock.Now()
	lease := daemon.keeper.lease
	daemon.renewAt = sim.clock.step + 10
	sim.call(daemon, func() func(time.Time) {
		if lease == 0 {
			granted, _ := sim.store.GrantLease(ctx, ShortTTL)
			if daemon.view != nil {
				record := daemon.view.Self
				put := core.Put{Key: record.Key(), Value: record.Encode(), Lease: granted}
				_, _ = sim.store.Commit(ctx, core.Txn{Puts: []core.Put{put}})
			}
			return func(now time.Time) { daemon.keeper.Renewed(sentAt, now, granted, ShortTTL) }
		}
		ttl, err := sim.store.KeepAlive(ctx, lease)
		if errors.Is(err, core.ErrLeaseNotFound) {
			return func(now time.Time) {
				daemon.keeper.LeaseNotFound(now, lease)
				sim.renew(daemon)
			}
		}
		return func(now time.Time) { daemon.keeper.Renewed(sentAt, now, lease, ttl) }
	}, func(time.Time) { daemon.renewAt = sim.clock.step + 2 + sim.random.IntN(4) })
}

func (sim *sim) readOwners(daemon *simDaemon) {
	sim.call(daemon, func() func(time.Time) {
		snapshot, _ := sim.store.List(context.Background(), core.OwnerPrefix)
		return func(now time.Time) { daemon.keeper.ObserveOwners(now, snapshot.Revision, snapshot.Entries) }
	}, func(time.Time) {})
	if daemon.view == nil {
		return
	}
	sim.call(daemon, func() func(time.Time) {
		snapshot, _ := sim.store.List(context.Background(), core.MemberPrefix)
		return func(now time.Time) { daemon.view.ObserveRecords(now, snapshot.Entries) }
	}, func(time.Time) {})
}

func (sim *sim) plan(daemon *simDaemon) {
	now := sim.clock.Now()
	agent := Agent{Keeper: &daemon.keeper}
	members := slices.DeleteFunc(sim.members(), func(id core.MemberID) bool {
		return id == core.MemberID(fmt.Sprintf("d%d", daemon.omitted)) && id != daemon.keeper.Self
	})
	if daemon.view != nil {
		members = daemon.view.OwnerCandidates(now)
	}
	plan := daemon.keeper.Plan(now, FleetState{
		Members:          members,
		OutageUntil:      daemon.tracker.OutageUntil(now),
		StoreQuorumSince: daemon.tracker.StoreQuorumSince(now),
		Leaving:          daemon.leaving,
	})
	for _, owner := range plan.Releases {
		sim.call(daemon, func() func(time.Time) {
			_, _ = sim.store.Commit(context.Background(), releaseTxn(owner))
			return func(now time.Time) { daemon.keeper.Released(now, owner) }
		}, func(time.Time) {})
	}
	for _, claim := range plan.Claims {
		sim.call(daemon, func() func(time.Time) {
			result, _ := sim.store.Commit(context.Background(), agent.claimTxn(claim))
			return func(now time.Time) { agent.applyClaimResult(now, claim, []core.TxnResult{result}, 0, nil) }
		}, func(time.Time) { daemon.keeper.ClaimUnknown(claim) })
	}
}
