package lease

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core"
)

const (
	planInterval         = 250 * time.Millisecond // between two evaluations of the plan
	callTimeout          = core.DefaultStoreRTT   // deadline of one store call
	minRetryDelay        = 200 * time.Millisecond // minimum delay after a failed call
	minRetryJitter       = 300 * time.Millisecond // minimum range of the random part of the delay
	retryJitterPerMember = 5 * time.Millisecond   // a daemon writes twice after an outage; the store sustains 400 writes/s
	maxTxnsPerCommit     = 32                     // claims or releases in one store call
)

// Counters counts the store writes of the agent.
type Counters struct {
	Leases   int64 // leases granted
	Renewals int64 // keep-alives sent, one per third of the TTL
	Records  int64 // member records written
	Claims   int64 // claims sent
	Releases int64 // releases sent
}

// Agent makes the store calls of a Keeper; all fields but OnChange are required.
//
// The function fields are called on the Loop.
type Agent struct {
	Store      core.Store
	Loop       core.Loop
	Clock      core.Clock
	Keeper     *Keeper
	Record     func() core.Put                        // returns the member record to publish, without its lease
	FleetState func(now time.Time) (FleetState, bool) // returns false until the member records have been read
	Members    func() int                             // returns the number of members, which decides the TTL
	OnChange   func()                                 // called after each change of the lease or of pool ownership

	memberCount atomic.Int64
	counters    struct{ leases, renewals, records, claims, releases atomic.Int64 }
}

// Counters returns the store writes so far.
func (agent *Agent) Counters() Counters {
	return Counters{
		Leases:   agent.counters.leases.Load(),
		Renewals: agent.counters.renewals.Load(),
		Records:  agent.counters.records.Load(),
		Claims:   agent.counters.claims.Load(),
		Releases: agent.counters.releases.Load(),
	}
}

// Run maintains the lease and executes the keeper's plans until ctx ends; it does not revoke the lease.
func (agent *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { agent.maintainLease(ctx) })
	group.Go(func() { agent.executePlans(ctx) })
	group.Wait()
	return ctx.Err()
}

// Revoke revokes the lease, which deletes the member record and the owner keys of pools not yet released.
func (agent *Agent) Revoke(ctx context.Context) error {
	var lease core.LeaseID
	if !agent.runOnLoop(ctx, func(time.Time) { lease = agent.Keeper.lease }) {
		return ctx.Err()
	}
	if lease == 0 {
		return nil
	}
	err := agent.Store.RevokeLease(ctx, lease)
	if errors.Is(err, core.ErrLeaseNotFound) {
		return nil
	}
	return err
}

// runOnLoop runs a function on the Loop and waits for it; it returns false if ctx ended first.
func (agent *Agent) runOnLoop(ctx context.Context, function func(now time.Time)) bool {
	done := make(chan struct{})
	agent.Loop.Post(func() {
		function(agent.Clock.Now())
		close(done)
	})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// postChange posts a change of the keeper to the Loop and calls OnChange after it.
func (agent *Agent) postChange(change func(now time.Time)) {
	agent.Loop.Post(func() {
		change(agent.Clock.Now())
		if agent.OnChange != nil {
			agent.OnChange()
		}
	})
}

// retryDelay returns the delay after a failed call, with jitter so that the daemons do not all retry at once after an outage.
func (agent *Agent) retryDelay() time.Duration {
	jitter := max(minRetryJitter, time.Duration(agent.memberCount.Load())*retryJitterPerMember)
	return minRetryDelay + rand.N(jitter)
}
