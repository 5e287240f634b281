package daemon

import (
	"encoding/json"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/lease"
	"catkincove/core/pool"
)

const (
	learnedPrefix        = core.KeyPrefix + "learned/" // not watched: only a new owner reads these keys
	learnedWriteInterval = time.Second                 // minimum time between two writes of one pool
	learnedTimeout       = core.DefaultStoreRTT
)

// savedLimits are the learned limits of a pool that this daemon last wrote to the store.
type savedLimits struct {
	limits    []pool.LearnedLimit
	writtenAt time.Time
	writing   bool
}

// saveLearnedLimits writes the learned limits of a pool to the store for the next owner, only after a change, so that a
// pool with stable limits causes no writes.
func (control *control) saveLearnedLimits(now time.Time, owned *ownedPool) {
	limits := owned.dispatcher.LearnedLimits()
	last := &owned.saved
	if last.writing || core.Elapsed(last.writtenAt, now) < learnedWriteInterval || slices.Equal(limits, last.limits) {
		return
	}
	last.limits, last.writtenAt, last.writing = limits, now, true
	go control.daemon.writeLearnedLimits(owned, limits)
}

// writeLearnedLimits writes the limits in a transaction that the store rejects when another daemon owns the pool by now.
func (daemon *Daemon) writeLearnedLimits(owned *ownedPool, limits []pool.LearnedLimit) {
	ctx, cancel := timeoutContext(learnedTimeout)
	defer cancel()
	token := core.Revision(owned.token)
	_, err := daemon.store.Commit(ctx, core.Txn{
		Compares: []core.Compare{{Key: lease.OwnerKey(owned.id), CreateRevision: &token}},
		Puts:     []core.Put{{Key: learnedPrefix + owned.id.String(), Value: encodeLearnedLimits(limits)}},
	})
	if err != nil {
		daemon.log.Debug().Err(err).Stringer("pool", owned.id).Msg("pool: cannot save learned limits")
	}
	daemon.loop.Post(func() {
		owned.saved.writing = false
		if err != nil {
			owned.saved.limits = nil
		}
	})
}

// readLearnedLimits fetches the previous owner's limits when a pool is opened.
func (daemon *Daemon) readLearnedLimits(owned *ownedPool) {
	ctx, cancel := timeoutContext(learnedTimeout)
	defer cancel()
	snapshot, err := daemon.store.Get(ctx, learnedPrefix+owned.id.String())
	if err != nil || len(snapshot.Entries) == 0 {
		return
	}
	limits, err := decodeLearnedLimits(snapshot.Entries[0].Value)
	if err != nil {
		daemon.log.Error().Err(err).Stringer("pool", owned.id).Msg("pool: cannot decode learned limits")
		return
	}
	daemon.loop.Post(func() {
		owned.dispatcher.RestoreLimits(limits)
		daemon.control.dispatch(owned)
	})
}

type learnedWire struct {
	Targets []learnedTarget
}

type learnedTarget struct {
	Target string
	Start  string
	Limit  int
}

func encodeLearnedLimits(limits []pool.LearnedLimit) []byte {
	var wire learnedWire
	for _, learned := range limits {
		row := learnedTarget{Target: string(learned.Target), Start: learned.StartID, Limit: learned.Limit}
		wire.Targets = append(wire.Targets, row)
	}
	encoded, err := json.Marshal(wire)
	if err != nil {
		return nil
	}
	return encoded
}

func decodeLearnedLimits(value []byte) ([]pool.LearnedLimit, error) {
	var wire learnedWire
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, err
	}
	var limits []pool.LearnedLimit
	for _, row := range wire.Targets {
		limits = append(limits, pool.LearnedLimit{Target: core.TargetName(row.Target), StartID: row.Start, Limit: row.Limit})
	}
	return limits, nil
}
