package daemon

import (
	"context"
	"errors"
	"syscall"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/order"
	"catkincove/core/pool"
)

// ownedPool is a pool that this daemon owns and grants work for.
type ownedPool struct {
	id             core.PoolID
	token          core.FencingToken
	dispatcher     *pool.Dispatcher
	planner        order.Planner
	model          string                     // label of the model that the targets should hold; empty for plain services
	plannedTargets map[core.TargetName]string // addresses of the targets that the planner knows
	saved          savedLimits
	waiting        map[core.GrantID]chan core.GrantReply // reply channels of queued grant requests
}

// openPool starts granting work on a pool; a changed token means a new term of ownership.
func (control *control) openPool(now time.Time, id core.PoolID, token core.FencingToken) {
	if existing := control.pools[id]; existing != nil {
		if existing.token == token {
			return
		}
		control.closePool(now, existing)
	}
	opened := &ownedPool{id: id, token: token, dispatcher: pool.New(id), waiting: map[core.GrantID]chan core.GrantReply{}}
	control.pools[id] = opened
	control.configurePool(opened)
	opened.dispatcher.Open(now, token)
	opened.dispatcher.MergeSuspects(now, control.suspects.list(now))
	opened.planner.StartOwnership(now, token)
	control.updatePolls(opened)
	go control.daemon.readLearnedLimits(opened)
	control.daemon.log.Info().Stringer("pool", id).Int64("token", int64(token)).Msg("pool: owned")
}

// closePool stops granting work on a pool; waiting grant requests are rejected.
func (control *control) closePool(now time.Time, closed *ownedPool) {
	delete(control.pools, closed.id)
	control.polls.stop(closed.id)
	closed.planner.EndOwnership()
	rejections := closed.dispatcher.Close(now)
	for i := range rejections {
		rejections[i].Reply.NotOwner = true
	}
	control.sendReplies(closed, rejections)
	for id, reply := range closed.waiting {
		reply <- notOwnerReply(closed.id)
		delete(closed.waiting, id)
	}
	control.daemon.log.Info().Stringer("pool", closed.id).Msg("pool: released")
}

func (control *control) configurePools() {
	for _, owned := range control.pools {
		control.configurePool(owned)
		control.updatePolls(owned)
		control.dispatch(owned)
	}
}

func (control *control) configurePool(owned *ownedPool) {
	settings := control.config
	service, _ := settings.Service(owned.id.Service)
	dataCentre, found := settings.DataCentre(owned.id.DataCentre)
	inService := found && dataCentre.State == config.In
	weight := func(name core.TeamName) int {
		team, _ := settings.Team(name)
		return max(1, team.Weight)
	}
	owned.dispatcher.Configure(service, settings.PoolTargets(owned.id), settings.Limits(), inService, weight)
	control.configureOrders(owned, service)
}

// dispatch sends the replies to waiting grant requests that are now decided, and wakes polls for missing load reports.
func (control *control) dispatch(owned *ownedPool) {
	control.sendReplies(owned, owned.dispatcher.Dispatch(control.now()))
	control.wakePolls(owned)
}

func (control *control) sendReplies(owned *ownedPool, assignments []pool.Assignment) {
	for _, assignment := range assignments {
		reply, waiting := owned.waiting[assignment.QueueEntry]
		if !waiting {
			continue
		}
		delete(owned.waiting, assignment.QueueEntry)
		reply <- control.withRevision(assignment.Reply)
	}
}

// withRevision adds the revision in force to a reply, so that a sender with an older configuration fetches the newer one.
func (control *control) withRevision(reply core.GrantReply) core.GrantReply {
	reply.Revision = control.config.Revision()
	return reply
}

// polls are the goroutines that poll the targets of owned pools for load reports.
type polls struct {
	running map[core.PoolID]map[core.TargetName]poll
}

type poll struct {
	address     string
	cacheEvents bool // the target publishes events of its prompt cache
	cancel      context.CancelFunc
	wake        chan struct{} // triggers a poll without waiting for the interval
}

const (
	loadInterval    = 500 * time.Millisecond
	minLoadInterval = 100 * time.Millisecond // minimum time between two polls of one target
	loadTimeout     = 500 * time.Millisecond
)

// updatePolls starts and stops polls so that each declared target of the pool has one, at its current address.
func (control *control) updatePolls(owned *ownedPool) {
	if control.polls.running == nil {
		control.polls.running = map[core.PoolID]map[core.TargetName]poll{}
	}
	running := control.polls.running[owned.id]
	if running == nil {
		running = map[core.TargetName]poll{}
		control.polls.running[owned.id] = running
	}
	service, _ := control.config.Service(owned.id.Service)
	cacheEvents := service.Kind == config.Generate
	declared := map[core.TargetName]string{}
	for _, target := range control.config.PoolTargets(owned.id) {
		declared[target.Name] = target.Address
	}
	for name, poll := range running {
		if declared[name] != poll.address {
			poll.cancel()
			delete(running, name)
		}
	}
	for name, address := range declared {
		if _, known := running[name]; known {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		started := poll{address: address, cacheEvents: cacheEvents, cancel: cancel, wake: make(chan struct{}, 1)}
		running[name] = started
		go control.daemon.pollLoad(ctx, owned.id, name, started)
	}
}

func (polls *polls) stop(id core.PoolID) {
	for _, poll := range polls.running[id] {
		poll.cancel()
	}
	delete(polls.running, id)
}

// stopPolls stops all polls; it must be called after the control goroutine has ended.
func (control *control) stopPolls() {
	for id := range control.polls.running {
		control.polls.stop(id)
	}
}

// wakePolls polls at once the targets that are not used until a load report succeeds.
func (control *control) wakePolls(owned *ownedPool) {
	for _, name := range owned.dispatcher.UnprobedTargets() {
		select {
		case control.polls.running[owned.id][name].wake <- struct{}{}:
		default:
		}
	}
}

// pollLoad polls one target for its load until ctx ends.
func (daemon *Daemon) pollLoad(ctx context.Context, id core.PoolID, name core.TargetName, poll poll) {
	for ctx.Err() == nil {
		requestedAt := daemon.clock.Now()
		callCtx, cancel := context.WithTimeout(ctx, loadTimeout)
		report, err := daemon.targets.Load(callCtx, poll.address)
		cancel()
		// The age counts from the request for the report: the response may have been delayed on the network.
		report.Age += core.Elapsed(requestedAt, daemon.clock.Now())
		daemon.loop.Post(func() { daemon.control.onLoad(ctx, id, name, report, err) })
		if err == nil && poll.cacheEvents {
			daemon.pollCacheEvents(ctx, id, name, poll.address)
		}
		select {
		case <-daemon.clock.After(loadInterval):
		case <-poll.wake:
			<-daemon.clock.After(minLoadInterval)
		case <-ctx.Done():
		}
	}
}

// pollCacheEvents applies the events of a target's prompt cache; they only improve the choice of targets, so a failure is
// not reported.
func (daemon *Daemon) pollCacheEvents(ctx context.Context, id core.PoolID, name core.TargetName, address string) {
	var after int64
	err := daemon.loop.Do(ctx, func() {
		if owned := daemon.control.pools[id]; owned != nil {
			after = owned.dispatcher.CacheSequence(name)
		}
	})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	events, err := daemon.targets.CacheEvents(ctx, address, after)
	if err != nil || len(events) == 0 {
		return
	}
	daemon.loop.Post(func() {
		if owned := daemon.control.pools[id]; owned != nil {
			owned.dispatcher.ApplyCacheEvents(daemon.control.now(), name, events)
		}
	})
}

func (control *control) onLoad(ctx context.Context, id core.PoolID, name core.TargetName, report core.LoadReport, err error) {
	owned := control.pools[id]
	if owned == nil || ctx.Err() != nil {
		return
	}
	now := control.now()
	if err == nil {
		owned.planner.HandleReport(now, name, report)
	}
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		owned.dispatcher.LoadReportRefused(now, name)
	case err != nil, !owned.holdsModel(report):
		owned.dispatcher.LoadReportFailed(now, name)
	default:
		owned.dispatcher.ApplyLoadReport(now, name, report)
	}
	if err != nil {
		control.collectSuspects(now, owned)
	}
	control.dispatch(owned)
}
