package edge

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/admit"
	"catkincove/core/batch"
	"catkincove/core/blame"
	"catkincove/core/hedge"
	"catkincove/core/limit"
	"catkincove/core/loop"
	"catkincove/core/mirror"
	"catkincove/core/place"
	"catkincove/core/retry"
	"catkincove/core/roster"
	"catkincove/core/wake"
	"catkincove/io/callid"
	"catkincove/io/inifmt"
	"catkincove/io/intake"
	"catkincove/io/lines"
	"catkincove/io/shift"
	"catkincove/io/xchg"
)

const (
	housekeepingInterval = time.Second      // period of the sweeps and of the check of the settings file
	headerTimeout        = 10 * time.Second // limit on reading a request's header; callers may open connections ahead of use
	idleTimeout          = 75 * time.Second // longer than callers keep idle connections, so that the callers close them
)

// Options configures a Daemon; Settings.Metrics and SettingsFile may be empty.
type Options struct {
	Settings     inifmt.EdgeSettings
	SettingsFile string // file that is watched for changes; not watched if empty
	Dialect      core.Dialect
	Store        core.Store
	Clock        core.Clock
	Log          io.Writer
}

// Daemon forwards the requests of callers to targets; New creates one.
type Daemon struct {
	options   Options
	dialect   core.Dialect
	store     core.Store
	clock     core.Clock
	logWriter *lines.Writer
	log       zerolog.Logger

	loop        loop.Loop
	loopContext context.Context
	stopLoop    context.CancelFunc
	control     control // accessed on the loop only
	view        atomic.Pointer[view]
	settings    atomic.Pointer[inifmt.EdgeSettings]
	targets     *xchg.Client
	peers       *http.Client
	metrics     *metrics
	intake      *intake.Pool

	id             core.MemberID
	leaving        atomic.Bool
	leavingSince   atomic.Pointer[time.Time] // time at which the daemon started to leave; nil before
	leaveOnce      sync.Once
	leaveStarted   chan struct{} // closed when the daemon starts to leave
	drain          drain
	activeRequests atomic.Int64  // requests of callers in progress
	lastRequestEnd atomic.Int64  // Unix time in nanoseconds
	messageBudget  intake.Budget // of what other daemons send, beyond 64 KB of each message
	bodyBudget     intake.Budget // of the request bodies in memory
	responseBudget intake.Budget // of what was read of responses and not forwarded yet

	paths        pathMonitor
	pauses       wake.Detector
	shift        *shift.Mover
	repeatsMutex sync.Mutex
	repeats      batch.Repeats // responses to batch calls, which are read outside the control loop
}

// control is the state owned by the control loop.
type control struct {
	routes          mirror.Copy
	registrations   mirror.Copy
	live            mirror.Copy // keys of the daemons: their records, quarantines and baselines
	registry        roster.Registry
	chooser         place.Chooser
	crashTracker    blame.CrashTracker
	limits          limit.Table
	origins         origins
	retryWindows    map[string]*retry.Window // by service
	hedger          hedge.Hedger
	engines         map[string]*place.Engines // by service; for the services whose prompts this daemon places for the fleet
	placementHints  map[uint64]string         // ID of the engine that last prefilled a prompt, by a hash of the ID of its longest shared part
	lastPlacement   map[string]time.Time      // time at which this daemon last placed a prompt for the fleet, by service
	batchContext    context.Context           // of the batch calls in progress
	cancelBatches   context.CancelFunc        // cancels batchContext
	senders         map[string]*sender        // by service; for the services whose batches this daemon has been asked to send
	peers           map[string]*peer          // by peer address
	peersBySize     []*peer                   // the same, largest VM first; nil after a change
	firstEventTimes map[string]time.Duration  // moving average of the time to the first event, by route
	door            admit.Door                // of the requests that callers send to this daemon
	status          peerStatus                // status reported to other daemons, as of statusAt
	statusAt        time.Time
	rebuildPosted   bool // a rebuild of the view is queued on the loop
	random          *rand.Rand
	largestCores    float64                  // processor cores of the largest VM that was ever listed
	decoded         map[string]decodedTarget // decoded registrations, by key
	decodedMembers  map[string]decodedMember // decoded records of daemons, by key

	offered         offeredRouting
	behindSince     time.Time     // time since which another daemon has had a newer routing; zero if none has
	routingEntry    core.Entry    // the routing in force, as the operator wrote it
	routingRevision core.Revision // revision of the routing in force
	changesFrom     source        // of the newest changes of the copies
	storeReadAt     time.Time     // last successful store read, by this daemon or by the one that the copies come from
	comparedAt      time.Time     // last comparison of the copies with another daemon's since the process was last paused
	copiesChanged   chan struct{} // closed and replaced when the copies change
	peerLastSeen    time.Time     // time at which any other daemon was last seen
}

// New returns a daemon that does nothing until Run is called.
func New(options Options) *Daemon {
	settings := &options.Settings
	settings.AdvertiseFront = cmp.Or(settings.AdvertiseFront, settings.Front)
	settings.AdvertisePeer = cmp.Or(settings.AdvertisePeer, settings.Peer)
	daemon := &Daemon{
		options: options, dialect: options.Dialect, store: options.Store, clock: options.Clock,
		logWriter: lines.New(options.Clock), leaveStarted: make(chan struct{}), drain: newDrain(), metrics: newMetrics(),
		targets: &xchg.Client{Clock: options.Clock},
	}
	daemon.loop.OnPanic = func(value any, stack []byte) { daemon.reportPanic("loop", value, stack) }
	daemon.loopContext, daemon.stopLoop = context.WithCancel(context.Background())
	daemon.log = daemon.logWriter.Logger(options.Settings.Name)
	daemon.settings.Store(&options.Settings)
	daemon.view.Store(&view{})
	daemon.peers = &http.Client{Transport: &callid.Transport{Kept: &http.Transport{
		DialContext:            xchg.Dialer(peerDialTimeout).DialContext,
		MaxIdleConnsPerHost:    maxIdlePeerConnections,
		IdleConnTimeout:        peerIdleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: xchg.MaxHeadBytes,
	}}}
	memory := float64(settings.MemoryMB) * (1 << 20)
	daemon.bodyBudget.Limit, daemon.responseBudget.Limit, daemon.messageBudget.Limit = int64(memory*bodyMemoryShare), int64(memory*responseMemoryShare), int64(memory*messageMemoryShare)
	daemon.intake = intake.New(intake.Limits{MemoryBytes: int64(memory), Descriptors: settings.Descriptors}, options.Clock)
	daemon.bodyBudget.Short, daemon.responseBudget.Short, daemon.messageBudget.Short = daemon.intake.Reclaim, daemon.intake.Reclaim, daemon.intake.Reclaim
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	daemon.id = newMemberID(options.Settings.Name, random)
	daemon.control = control{
		registrations: mirror.Copy{RetainExpired: true}, live: mirror.Copy{RetainExpired: true}, origins: newOrigins(),
		retryWindows: map[string]*retry.Window{}, hedger: hedge.Hedger{Credit: random.Float64()}, senders: map[string]*sender{}, engines: map[string]*place.Engines{}, placementHints: map[uint64]string{}, lastPlacement: map[string]time.Time{}, peers: map[string]*peer{},
		firstEventTimes: map[string]time.Duration{}, door: admit.Door{Random: random}, random: random, copiesChanged: make(chan struct{}),
	}
	daemon.control.batchContext, daemon.control.cancelBatches = context.WithCancel(context.Background())
	daemon.paths.daemon = daemon
	daemon.control.registrations.Equivalent = daemon.equivalentTarget
	daemon.control.chooser = place.Chooser{Random: random, Daemons: 1}
	daemon.shift = daemon.newMover()
	return daemon
}

// Run serves until SIGTERM, an interrupt or the end of ctx, drains after a signal, and returns an error if an address
// cannot be listened on.
func (daemon *Daemon) Run(ctx context.Context) error {
	settings := daemon.options.Settings
	debug.SetMemoryLimit(intake.Limits{MemoryBytes: int64(settings.MemoryMB) << 20}.RuntimeBytes())
	began := daemon.clock.Now()
	daemon.log.Info().Str(eventField, eventStart).Str("ID", string(daemon.id)).Int("Generation", messageGeneration).Str("Front", settings.Front).Msg("daemon starts")

	logDone := make(chan struct{})
	stopLog := make(chan struct{})
	go func() { daemon.logWriter.Run(daemon.options.Log, stopLog); close(logDone) }()
	defer func() { close(stopLog); <-logDone }()

	// The loop stops last, since the other parts use it while they stop.
	loopDone := make(chan struct{})
	go func() { _ = daemon.loop.Run(daemon.loopContext); close(loopDone) }()
	defer func() { daemon.stopLoop(); <-loopDone }()

	services, err := daemon.listen()
	if err != nil {
		return err
	}
	serving, stopServing := context.WithCancel(ctx)
	defer stopServing()
	var group run.Group
	daemon.addTask(&group, serving, "follow", daemon.followAll)
	daemon.addTask(&group, serving, "membership", daemon.maintainMembership)
	daemon.addTask(&group, serving, "pings", daemon.pingPeers)
	daemon.addTask(&group, serving, "paths", daemon.paths.run)
	daemon.addTask(&group, serving, "housekeeping", daemon.housekeep)
	daemon.addTask(&group, serving, "quarantine", daemon.recordQuarantines)
	daemon.addTask(&group, serving, "origins", daemon.recordOrigins)
	daemon.addTask(&group, serving, "origins to holders", daemon.tellOrigins)
	daemon.addTask(&group, serving, "baselines", daemon.maintainBaselines)
	daemon.addTask(&group, serving, "rollouts", daemon.shift.Run)
	for _, service := range services {
		group.Add(func() error {
			err := service.server.Serve(service.listener)
			if errors.Is(err, http.ErrServerClosed) {
				<-serving.Done() // Serve returns when Shutdown begins; the requests in progress continue until the drain has ended
			}
			return err
		}, func(error) { stopServing(); _ = service.server.Close() })
	}
	daemon.addTask(&group, serving, "drain", func(ctx context.Context) error { return daemon.drainOnSignal(ctx, services) })
	err = group.Run()
	daemon.log.Info().Str(eventField, eventStop).Dur("UpFor", daemon.clock.Now().Sub(began)).AnErr("Cause", err).Msg("daemon stops")
	if errors.Is(err, errDrained) || ctx.Err() != nil {
		return nil
	}
	return err
}

// service is an HTTP server with the listener that it serves.
type service struct {
	server   *http.Server
	listener net.Listener
}

// listen opens all addresses of the settings, the one for callers first; it returns an error if one of them other than the
// metrics address cannot be listened on, with none left open.
func (daemon *Daemon) listen() ([]service, error) {
	settings := daemon.options.Settings
	var services []service
	for _, address := range []struct {
		address  string
		part     string
		handler  http.Handler
		optional bool
		limits   intake.PortOptions
	}{
		{settings.Front, "front", http.HandlerFunc(daemon.serveFront), false, intake.PortOptions{Share: 0.75, HeadLimits: daemon.headLimits}},
		{settings.Ready, "ready", http.HandlerFunc(daemon.serveReady), false, intake.PortOptions{Share: 0.125}},
		{settings.Directory, "directory", http.HandlerFunc(daemon.serveDirectory), false, intake.PortOptions{Share: 0.5}},
		{settings.Peer, "peer", callid.Echo(daemon.peerHandler()), false, intake.PortOptions{Share: 0.75}},
		{settings.Metrics, "metrics", http.HandlerFunc(daemon.serveMetrics), true, intake.PortOptions{Share: 0.125}},
	} {
		if address.optional && address.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address.address)
		switch {
		case err == nil:
			services = append(services, service{daemon.server(daemon.guard(address.part, address.handler)), daemon.intake.Listen(listener, address.limits)})
		case address.optional:
			daemon.log.Error().Str(eventField, eventMetricsUnavailable).Err(err).Msg("cannot listen on the metrics address; metrics are not served")
		default:
			for _, opened := range services {
				_ = opened.listener.Close()
			}
			return nil, fmt.Errorf("%s address: %w", address.part, err)
		}
	}
	return services, nil
}

// headLimits returns the limits of the routing on the heads of callers' requests; without a routing, the defaults are in force.
func (daemon *Daemon) headLimits() intake.HeadLimits {
	limits := daemon.view.Load().routing.RequestLimits
	return intake.HeadLimits{Bytes: limits.HeaderBytes, Timeout: limits.HeaderTimeout}
}

func (daemon *Daemon) addTask(group *run.Group, ctx context.Context, part string, task func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(func() error { return daemon.restartTask(ctx, part, task) }, func(error) { cancel() })
}

func (daemon *Daemon) server(handler http.Handler) *http.Server {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: intake.DefaultHeadBytes, ErrorLog: nil}
	daemon.intake.Serve(server)
	return server
}

// housekeep periodically removes expired state and reloads the settings file when it has changed, which may happen
// without SIGHUP.
func (daemon *Daemon) housekeep(ctx context.Context) error {
	lastText := ""
	if text, err := os.ReadFile(daemon.options.SettingsFile); err == nil {
		lastText = string(text)
	}
	var reported, evictions int64
	for core.Sleep(ctx, daemon.clock, housekeepingInterval) {
		if text, err := os.ReadFile(daemon.options.SettingsFile); err == nil && string(text) != lastText {
			lastText = string(text)
			daemon.reload("FileChanged")
		}
		view := daemon.view.Load()
		daemon.targets.Sweep(func(address string) bool { return view.addresses[address] })
		daemon.loop.Post(func() {
			now := daemon.clock.Now()
			daemon.control.chooser.Sweep(now)
			daemon.control.limits.Sweep(now, daemon.control.registry.Has)
			daemon.control.origins.table.Sweep(now)
			daemon.removePeers(now)
			if slices.ContainsFunc(daemon.copyList(), (*mirror.Copy).RetainsEntries) {
				daemon.scheduleRebuild() // retained entries expire without an event
			}
		})
		if now := daemon.logWriter.Dropped(); now > reported {
			daemon.log.Warn().Str(eventField, eventLogDropped).Int64("Lines", now-reported).Msg("log lines were dropped")
			reported = now
		}
		if now := daemon.intake.Evicted() + daemon.intake.Refused(); now > evictions {
			daemon.log.Warn().Str(eventField, eventConnectionsEvicted).Int64("Connections", now-evictions).Int("Open", daemon.intake.Connections()).Msg("connections of callers were closed or refused")
			evictions = now
		}
	}
	return ctx.Err()
}

func (daemon *Daemon) reload(cause string) {
	if daemon.options.SettingsFile == "" {
		return
	}
	settings, err := inifmt.LoadEdge(daemon.options.SettingsFile)
	if err != nil {
		daemon.log.Error().Str(eventField, eventReloadFailed).Str("Cause", cause).Err(err).Msg("cannot load the settings; those in force stay")
		return
	}
	daemon.settings.Store(&settings)
	daemon.loop.Post(daemon.scheduleRebuild) // applies the bounds
	daemon.log.Info().Str(eventField, eventReload).Str("Cause", cause).Msg("settings reloaded")
}
