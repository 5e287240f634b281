package feed

import (
	"context"
	"fmt"
	"time"

	"catkincove/core"
)

// readHeads reads the head key at headReadInterval until ctx ends.
func (agent *Agent) readHeads(ctx context.Context) {
	for {
		sentAt := agent.Clock.Now()
		revision, err := agent.readHead(ctx)
		if ctx.Err() != nil {
			return
		}
		agent.handleHeadRead(sentAt, err == nil, revision)
		remaining := agent.headReadInterval() - core.Elapsed(sentAt, agent.Clock.Now())
		if !core.Sleep(ctx, agent.Clock, max(remaining, HeadReadInterval/10)) {
			return
		}
	}
}

// readHead reads the head key; it reports a failure after half the deadline and still waits for the response.
//
// Otherwise an outage of an unresponsive store would be detected only 1.5 s after the last successful read, when leases
// may already have expired.
func (agent *Agent) readHead(ctx context.Context) (core.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	agent.headReadCount.Add(1)
	slowTimer := time.AfterFunc(callTimeout/2, func() { agent.handleHeadRead(time.Time{}, false, 0) })
	snapshot, err := agent.Store.Get(ctx, core.HeadKey)
	slowTimer.Stop()
	if err != nil {
		return 0, err
	}
	revision := headRevision(snapshot)
	if current := agent.Revision(); revision < current {
		return 0, fmt.Errorf("store returned head revision %d, below the copied revision %d", revision, current)
	}
	return revision, nil
}

// handleHeadRead reports the result of a head read, and ends the watch if it has lagged behind for maxWatchLag.
func (agent *Agent) handleHeadRead(sentAt time.Time, ok bool, revision core.Revision) {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	if agent.OnHeadRead != nil {
		agent.Loop.Post(func() { agent.OnHeadRead(sentAt, ok, revision) })
	}
	if !ok {
		return
	}
	if revision <= agent.state.configRevision {
		agent.laggingSince = time.Time{}
		return
	}
	now := agent.Clock.Now()
	if agent.laggingSince.IsZero() {
		agent.laggingSince = now
	}
	if core.Elapsed(agent.laggingSince, now) >= maxWatchLag && agent.relist != nil {
		agent.laggingSince = time.Time{}
		agent.relist()
	}
}
