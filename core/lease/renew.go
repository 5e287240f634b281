package lease

import (
	"bytes"
	"context"
	"errors"
	"time"

	"catkincove/core"
)

// registration is the agent's lease and member record in the store.
type registration struct {
	lease  core.LeaseID
	ttl    time.Duration
	record core.Put // last version written under the lease
}

// maintainLease grants a lease, writes the member record under it and renews the lease every third of its TTL.
func (agent *Agent) maintainLease(ctx context.Context) {
	var current registration
	for ctx.Err() == nil {
		err := agent.ensureRegistered(ctx, &current)
		wait := current.ttl / 3
		if err != nil {
			wait = agent.retryDelay()
		}
		if !core.Sleep(ctx, agent.Clock, wait) {
			return
		}
	}
}

// ensureRegistered renews the lease, or grants a new one if there is none, and publishes the member record if it changed.
func (agent *Agent) ensureRegistered(ctx context.Context, current *registration) error {
	var record core.Put
	var ttl time.Duration
	known := agent.runOnLoop(ctx, func(time.Time) {
		record = agent.Record()
		members := agent.Members()
		agent.memberCount.Store(int64(members))
		ttl = TTL(members)
	})
	if !known {
		return ctx.Err()
	}
	if current.lease != 0 {
		if err := agent.renew(ctx, current); err != nil {
			return err
		}
	}
	if current.lease == 0 {
		if err := agent.grant(ctx, current, ttl); err != nil {
			return err
		}
	}
	return agent.publishRecord(ctx, current, record)
}

// renew renews the lease; it clears the registration if the store no longer has the lease.
func (agent *Agent) renew(ctx context.Context, current *registration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := agent.Clock.Now()
	agent.counters.renewals.Add(1)
	ttl, err := agent.Store.KeepAlive(ctx, current.lease)
	if errors.Is(err, core.ErrLeaseNotFound) {
		lease := current.lease
		*current = registration{}
		agent.postChange(func(now time.Time) { agent.Keeper.LeaseNotFound(now, lease) })
		return nil
	}
	if err != nil {
		return err
	}
	lease := current.lease
	agent.postChange(func(now time.Time) { agent.Keeper.Renewed(sentAt, now, lease, ttl) })
	return nil
}

// grant creates a new lease; the TTL of a lease never changes, so a change of the fleet size applies to the next lease only.
func (agent *Agent) grant(ctx context.Context, current *registration, ttl time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sentAt := agent.Clock.Now()
	agent.counters.leases.Add(1)
	lease, err := agent.Store.GrantLease(ctx, ttl)
	if err != nil {
		return err
	}
	*current = registration{lease: lease, ttl: ttl}
	agent.postChange(func(now time.Time) { agent.Keeper.Renewed(sentAt, now, lease, ttl) })
	return nil
}

// publishRecord writes the member record if it is new or has changed.
func (agent *Agent) publishRecord(ctx context.Context, current *registration, record core.Put) error {
	if current.record.Key == record.Key && bytes.Equal(current.record.Value, record.Value) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	put := core.Put{Key: record.Key, Value: record.Value, Lease: current.lease}
	agent.counters.records.Add(1)
	if _, err := agent.Store.Commit(ctx, core.Txn{Puts: []core.Put{put}}); err != nil {
		return err
	}
	current.record = record
	return nil
}
