package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/burn"
	"catkincove/core/feed"
	"catkincove/core/flow"
	"catkincove/core/lease"
	"catkincove/core/loop"
	"catkincove/core/once"
	"catkincove/core/retry"
	"catkincove/core/route"
	"catkincove/core/ticket"
	"catkincove/io/callid"
	"catkincove/io/codec"
	"catkincove/io/entry"
	"catkincove/io/etcd"
	"catkincove/io/intake"
	"catkincove/io/meter"
	"catkincove/io/peer"
	"catkincove/io/target"
)

const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxFrameBytes     = 16 << 10 // the buffer of a frame is allocated when its length was read
	bodyMemoryShare   = 0.25     // share of the memory for request bodies that take over 128 KB
	pingInterval      = time.Second
	pingTimeout       = 2 * time.Second
)

// Daemon is one entry daemon, created by New.
type Daemon struct {
	options  Options
	id       core.MemberID
	address  string
	clock    core.Clock
	log      zerolog.Logger
	listener net.Listener

	store   *etcd.Client
	peers   *peer.Client
	targets *target.Client
	router  *route.Router
	runner  *flow.Runner
	once    *once.Guard
	applier ticket.Applier
	burn    *burn.Recorder
	feed    *feed.Agent
	lease   *lease.Agent
	loop    loop.Loop

	control  control
	snapshot atomic.Pointer[snapshot]
	intake   *intake.Pool

	bodyBudget     intake.Budget // of request bodies that take over 128 KB
	peerBytes      meter.Counter
	releases       sync.WaitGroup
	activeRequests atomic.Int64
	draining       chan struct{}
	drainOnce      sync.Once
	heartbeatNow   chan struct{}
	fetchingConfig atomic.Bool
	disconnects    disconnects
}

// New opens the listener and assembles the components; Run starts them.
func New(options Options) (*Daemon, error) {
	options = options.withDefaults()
	listener, err := listen(options)
	if err != nil {
		return nil, err
	}
	daemon := &Daemon{
		options:      options,
		id:           core.MemberID(options.Name + "-" + ulid.Make().String()),
		address:      options.Advertise,
		clock:        options.Clock,
		intake:       intake.New(intake.Limits{MemoryBytes: int64(options.MemoryMB) << 20, Descriptors: options.Descriptors}, options.Clock),
		draining:     make(chan struct{}),
		heartbeatNow: make(chan struct{}, 1),
	}
	daemon.bodyBudget.Limit, daemon.bodyBudget.Short = int64(float64(cmp.Or(int64(options.MemoryMB)<<20, intake.DefaultMemoryBytes))*bodyMemoryShare), daemon.intake.Reclaim
	daemon.listener = meter.Listener{Listener: daemon.intake.Listen(listener, intake.PortOptions{})}
	if daemon.address == "" {
		daemon.address = listener.Addr().String()
	}
	daemon.log = options.Log.With().Str("daemon", options.Name).Logger()
	daemon.assembleClients()
	daemon.assembleControl()
	daemon.assembleTraffic()
	return daemon, nil
}

func listen(options Options) (net.Listener, error) {
	if options.Listener != nil {
		return options.Listener, nil
	}
	listener, err := net.Listen("tcp", options.Listen)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", options.Listen, err)
	}
	return listener, nil
}

// Address returns the address given to callers and peers.
func (daemon *Daemon) Address() string { return daemon.address }

// ID returns the member ID, which is new at each start of the daemon.
func (daemon *Daemon) ID() core.MemberID { return daemon.id }

func (daemon *Daemon) assembleClients() {
	daemon.store = &etcd.Client{Endpoints: daemon.options.Endpoints, Timeout: daemon.options.StoreTimeout}
	daemon.peers = peer.NewClient(&daemon.peerBytes)
	daemon.targets = &target.Client{Clock: daemon.clock}
	daemon.applier = ticket.Applier{Store: daemon.store, Codec: codec.JSON{}, Clock: daemon.clock}
	daemon.once = &once.Guard{Store: daemon.store, Clock: daemon.clock, Member: daemon.id}
	daemon.burn = &burn.Recorder{Clock: daemon.clock, Member: daemon.id}
}

func (daemon *Daemon) assembleControl() {
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(daemon.id))
	daemon.router = route.New(daemon.clock, seed.Sum64())
	daemon.control = newControl(daemon, seed.Sum64())
	daemon.snapshot.Store(&snapshot{})
	daemon.feed = &feed.Agent{
		Store:      daemon.store,
		Loop:       &daemon.loop,
		Clock:      daemon.clock,
		OnConfig:   daemon.control.onConfig,
		OnMembers:  daemon.control.onMembers,
		OnOwners:   daemon.control.onOwners,
		OnHeadRead: daemon.control.onHeadRead,
	}
	daemon.lease = &lease.Agent{
		Store:      daemon.store,
		Loop:       &daemon.loop,
		Clock:      daemon.clock,
		Keeper:     &daemon.control.keeper,
		Record:     daemon.control.record,
		FleetState: daemon.control.fleetState,
		Members:    func() int { return len(daemon.control.view.Known()) },
		OnChange:   daemon.control.reconcile,
	}
}

func (daemon *Daemon) assembleTraffic() {
	daemon.runner = &flow.Runner{
		Clock:    daemon.clock,
		Config:   func() flow.ConfigView { return daemon.snapshot.Load().config },
		Revision: func() core.Revision { return daemon.snapshot.Load().config.Revision() },
		Granter:  granter{daemon: daemon},
		Router:   daemon.router,
		Gate:     daemon,
		Targets:  daemon.targets,
		Once:     daemon.once,
		Recorder: daemon.burn,
		Budget:   &retry.Budget{},
		Log:      daemon.log,
		Member:   daemon.id,
	}
}

// Run serves until Drain has completed or ctx ends; the end of ctx aborts requests in progress, Drain lets them finish.
func (daemon *Daemon) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group run.Group
	server := daemon.server()
	group.Add(func() error { return ignoreClosed(server.Serve(daemon.listener)) },
		func(error) { _ = server.Close() })
	daemon.addActor(ctx, &group, daemon.loop.Run)
	daemon.addActor(ctx, &group, daemon.feed.Run)
	daemon.addActor(ctx, &group, daemon.lease.Run)
	daemon.addActor(ctx, &group, daemon.tick)
	daemon.addActor(ctx, &group, daemon.sendHeartbeats)
	daemon.addActor(ctx, &group, daemon.join)
	daemon.addActor(ctx, &group, daemon.watchVMs)
	daemon.addActor(ctx, &group, daemon.sweep)
	daemon.addActor(ctx, &group, func(ctx context.Context) error { return daemon.drain(ctx, server) })
	daemon.log.Info().Str("address", daemon.address).Str("member", string(daemon.id)).Msg("daemon: serving")
	err := group.Run()
	daemon.control.stopPolls()
	daemon.peers.Close()
	daemon.targets.Close()
	if errors.Is(err, context.Canceled) || errors.Is(err, errDrained) {
		return nil
	}
	return err
}

func (daemon *Daemon) addActor(ctx context.Context, group *run.Group, execute func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return execute(ctx) }, func(error) { cancel() })
}

func (daemon *Daemon) server() *http.Server {
	mux := http.NewServeMux()
	entry.API{Daemon: daemon, Clock: daemon.clock}.Register(mux)
	peer.Register(mux, daemon, &daemon.peerBytes)
	mux.HandleFunc("GET /debug/vars", daemon.serveMetrics)
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           callid.Echo(daemon.meterBodies(mux)),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout, MaxReadFrameSize: maxFrameBytes},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    intake.DefaultHeadBytes,
		ConnContext:       meter.ConnContext,
	}
	daemon.intake.Serve(server)
	return server
}

// meterBodies makes long bodies, and ones with very many elements, reserve the memory that they take until their handlers return.
func (daemon *Daemon) meterBodies(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		memory := daemon.bodyBudget.Memory()
		defer memory.Release()
		request.Body = memory.Body(request.Body)
		handler.ServeHTTP(writer, request)
	})
}

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
