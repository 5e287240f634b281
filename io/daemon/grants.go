package daemon

import (
	"context"
	"time"

	"catkincove/core"
)

const (
	// longPollTimeout is how long a grant request waits at the owner before the sender has to repeat it: the reply must
	// arrive well within the time in which a grant may be used, which the sender counts from its request.
	longPollTimeout   = 250 * time.Millisecond
	grantTimeout      = time.Second
	releaseTimeout    = time.Second
	releaseAttempts   = 3
	disconnectTimeout = 200 * time.Millisecond
	noOwnerRetryAfter = 300 * time.Millisecond
)

// noOwner returns the error for a pool whose owner is unknown, does not respond, or has changed.
func noOwner(pool core.PoolID, reason string) *core.Error {
	return core.Errorf(core.Unavailable, "%w: %s: %s", core.ErrNoOwner, pool, reason).WithRetryAfter(noOwnerRetryAfter)
}

func notOwnerReply(pool core.PoolID) core.GrantReply {
	return core.GrantReply{NotOwner: true, Rejection: noOwner(pool, "the asked daemon does not own it")}
}

// granter implements core.Granter for the requests of this daemon's callers.
type granter struct {
	daemon *Daemon
}

// Acquire requests a grant from the owner until it is granted or rejected.
func (granter granter) Acquire(ctx context.Context, request core.GrantRequest) (core.Permit, error) {
	daemon := granter.daemon
	daemon.awaitDisconnects(ctx, request.Pool)
	startedAt := daemon.clock.Now()
	timeLeft := request.TimeLeft
	for {
		snapshot := daemon.snapshot.Load()
		requestedAt := daemon.clock.Now()
		if err := snapshot.confirmed(requestedAt); err != nil {
			return core.Permit{}, err
		}
		owner, found := snapshot.owners[request.Pool]
		if !found {
			return core.Permit{}, noOwner(request.Pool, "the owner is unknown")
		}
		request.TimeLeft = timeLeft - core.Elapsed(startedAt, requestedAt)
		request.Revision = snapshot.config.Revision()
		reply, err := granter.requestGrant(ctx, owner, request)
		if err != nil {
			return core.Permit{}, noOwner(request.Pool, err.Error())
		}
		daemon.recordReply(request, reply, owner)
		if reply.NotOwner {
			return core.Permit{}, noOwner(request.Pool, "the owner has just changed")
		}
		if reply.Rejection != nil {
			return core.Permit{}, reply.Rejection
		}
		if request.Precheck {
			return core.Permit{}, nil
		}
		if reply.Grant != nil {
			return core.Permit{Grant: *reply.Grant, RequestedAt: requestedAt}, nil
		}
		request.QueueEntry = reply.QueueEntry
		if ctx.Err() != nil {
			granter.Release(core.Release{Pool: request.Pool, Grant: reply.QueueEntry, Outcome: core.OutcomeUnsent})
			return core.Permit{}, core.Errorf(core.DeadlineExceeded, "request ended in the queue of pool %s", request.Pool)
		}
	}
}

func (granter granter) requestGrant(ctx context.Context, owner owner, request core.GrantRequest) (core.GrantReply, error) {
	if owner.member == granter.daemon.id {
		return granter.daemon.Grant(ctx, request)
	}
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	return granter.daemon.peers.Grant(ctx, owner.address, request)
}

func (daemon *Daemon) recordReply(request core.GrantRequest, reply core.GrantReply, owner owner) {
	daemon.router.RecordSummary(request.Pool, reply.Summary)
	if reply.Revision > request.Revision {
		daemon.fetchConfig(owner.address)
	}
}

// Release returns a grant in the background; a lost release occupies one slot of the target until the grant's
// ExpiresAfter has passed.
func (granter granter) Release(release core.Release) {
	daemon := granter.daemon
	owner, found := daemon.snapshot.Load().owners[release.Pool]
	if !found {
		return
	}
	if owner.member == daemon.id {
		daemon.loop.Post(func() { daemon.control.onRelease(release) })
		return
	}
	done := daemon.trackDisconnect(release)
	daemon.releases.Go(func() {
		defer done()
		for range releaseAttempts {
			ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
			err := daemon.peers.Release(ctx, owner.address, release)
			cancel()
			if err == nil {
				return
			}
		}
	})
}

// trackDisconnect registers a release after a disconnect that is being sent to the pool's owner; done unregisters it.
func (daemon *Daemon) trackDisconnect(release core.Release) (done func()) {
	if release.Outcome != core.OutcomeDisconnected {
		return func() {}
	}
	return daemon.disconnects.track(release.Pool)
}

// awaitDisconnects waits until the releases after disconnects have reached the owner, so that they precede the retry's
// grant request: otherwise the owner does not know yet that the request was on a target that may have crashed, and lets
// it run beside others.
func (daemon *Daemon) awaitDisconnects(ctx context.Context, pool core.PoolID) {
	ctx, cancel := context.WithTimeout(ctx, disconnectTimeout)
	defer cancel()
	daemon.disconnects.wait(ctx, pool)
}

// Grant implements peer.Service: it decides on a grant request for a pool that this daemon owns.
func (daemon *Daemon) Grant(ctx context.Context, request core.GrantRequest) (core.GrantReply, error) {
	replies := make(chan core.GrantReply, 1)
	daemon.loop.Post(func() { daemon.control.onGrantRequest(request, replies) })
	select {
	case reply := <-replies:
		return reply, nil
	case <-daemon.clock.After(longPollTimeout):
	case <-ctx.Done():
	}
	// The queue entry is kept; a reply that is decided from now on goes to the sender's next request.
	queued := make(chan core.GrantReply, 1)
	daemon.loop.Post(func() { daemon.control.stopWaiting(request, replies, queued) })
	select {
	case reply := <-queued:
		return reply, nil
	case <-daemon.clock.After(grantTimeout):
		return core.GrantReply{}, context.DeadlineExceeded
	}
}

// Release implements peer.Service.
func (daemon *Daemon) Release(_ context.Context, release core.Release) error {
	daemon.loop.Post(func() { daemon.control.onRelease(release) })
	return nil
}

func (control *control) onGrantRequest(request core.GrantRequest, replies chan core.GrantReply) {
	owned := control.grantable(request.Pool)
	if owned == nil {
		replies <- control.withRevision(notOwnerReply(request.Pool))
		return
	}
	if err := control.daemon.snapshot.Load().confirmed(control.now()); err != nil {
		replies <- control.withRevision(core.GrantReply{Rejection: core.AsError(err)})
		return
	}
	reply := control.withRevision(owned.dispatcher.RequestGrant(control.now(), request))
	if reply.Grant != nil || reply.Rejection != nil || request.Precheck {
		replies <- reply
	} else {
		owned.waiting[reply.QueueEntry] = replies
	}
	control.dispatch(owned)
}

// grantable returns the pool if this daemon may grant work on it now, or nil.
func (control *control) grantable(id core.PoolID) *ownedPool {
	token, mayGrant := control.keeper.MayGrant(control.now(), id)
	owned := control.pools[id]
	if !mayGrant || owned == nil || owned.token != token {
		return nil
	}
	return owned
}

// stopWaiting removes a grant request from the waiting ones; its reply may have been sent in between.
func (control *control) stopWaiting(request core.GrantRequest, replies, queued chan core.GrantReply) {
	select {
	case reply := <-replies:
		queued <- reply
		return
	default:
	}
	owned := control.pools[request.Pool]
	if owned == nil {
		queued <- control.withRevision(notOwnerReply(request.Pool))
		return
	}
	for queueEntry, waiting := range owned.waiting {
		if waiting == replies {
			delete(owned.waiting, queueEntry)
			summary := owned.dispatcher.Summary(control.now())
			queued <- control.withRevision(core.GrantReply{QueueEntry: queueEntry, Summary: summary})
			return
		}
	}
	queued <- control.withRevision(notOwnerReply(request.Pool))
}

func (control *control) onRelease(release core.Release) {
	owned := control.pools[release.Pool]
	if owned == nil {
		return
	}
	owned.dispatcher.Release(control.now(), release)
	if release.Outcome == core.OutcomeDisconnected {
		control.collectSuspects(control.now(), owned)
	}
	control.dispatch(owned)
}
