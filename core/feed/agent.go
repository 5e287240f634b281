package feed

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"catkincove/core"
)

const (
	// HeadReadInterval is the time between two reads of the head key in small fleets.
	HeadReadInterval = 500 * time.Millisecond
	// maxHeadReadsPerSecond limits the head reads of the whole fleet to a fifth of the rate that the store sustains.
	maxHeadReadsPerSecond = 400
	callTimeout           = core.DefaultStoreRTT
	retryDelay            = 500 * time.Millisecond
	// maxWatchLag is how long the watch may lag behind a head read before the keys are listed again.
	maxWatchLag = time.Second
)

// Agent keeps the copy of the live keys up to date; Store, Loop and Clock are required.
//
// The On functions are called on the Loop; any of them may be nil.
type Agent struct {
	Store core.Store
	Loop  core.Loop
	Clock core.Clock

	OnConfig  func(entries []core.Entry, deletes []string, revision core.Revision)
	OnMembers func(entries []core.Entry, revision core.Revision) // all member records
	OnOwners  func(entries []core.Entry, revision core.Revision) // all owner records
	// OnHeadRead receives the result of each read of the head key; sentAt and revision are valid only if ok.
	OnHeadRead func(sentAt time.Time, ok bool, revision core.Revision)

	mutex         sync.Mutex
	state         state
	laggingSince  time.Time          // when a head read first showed a newer revision than the copy; zero if the copy is up to date
	relist        context.CancelFunc // ends the current watch so that the live keys are listed again
	memberCount   atomic.Int64
	listCount     atomic.Int64
	headReadCount atomic.Int64
}

// Counters counts the store reads of the agent; the watch is counted by the store client.
type Counters struct {
	HeadReads int64
	Lists     int64
}

// Counters returns the store reads so far.
func (agent *Agent) Counters() Counters {
	return Counters{HeadReads: agent.headReadCount.Load(), Lists: agent.listCount.Load()}
}

// SetMemberCount sets the size of the fleet, which decides the interval between head reads.
func (agent *Agent) SetMemberCount(count int) { agent.memberCount.Store(int64(count)) }

// headReadInterval returns the time between two head reads, which limits the rate of the whole fleet.
func (agent *Agent) headReadInterval() time.Duration {
	return max(HeadReadInterval, time.Duration(agent.memberCount.Load())*time.Second/maxHeadReadsPerSecond)
}

// Revision returns the revision of the copied configuration.
func (agent *Agent) Revision() core.Revision {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	return agent.state.configRevision
}

// Since returns the configuration changes after the revision, for a peer; it is safe for concurrent use.
func (agent *Agent) Since(revision core.Revision) core.ConfigReply {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	return agent.state.since(revision)
}

// Apply applies a peer's reply if it is newer than the copy, and reports whether it was.
func (agent *Agent) Apply(reply core.ConfigReply) bool {
	agent.mutex.Lock()
	defer agent.mutex.Unlock()
	change, newer := agent.state.merge(reply)
	if newer {
		agent.postChange(change)
	}
	return newer
}

// postChange posts a change to the Loop; the caller holds the mutex, so that changes are posted in order.
func (agent *Agent) postChange(change change) {
	if agent.OnConfig != nil && (change.headChanged || len(change.config)+len(change.deletes) > 0) {
		agent.Loop.Post(func() { agent.OnConfig(change.config, change.deletes, change.configRevision) })
	}
	if agent.OnMembers != nil && change.membersChanged {
		agent.Loop.Post(func() { agent.OnMembers(change.members, change.storeRevision) })
	}
	if agent.OnOwners != nil && change.ownersChanged {
		agent.Loop.Post(func() { agent.OnOwners(change.owners, change.storeRevision) })
	}
}

// Run reads the head key and follows the live keys until ctx ends.
func (agent *Agent) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { agent.readHeads(ctx) })
	group.Go(func() { agent.follow(ctx) })
	group.Wait()
	return ctx.Err()
}

// errLagging means that the copy lags behind the store, so that the live keys must be listed again.
var errLagging = errors.New("copy lags behind the store")
