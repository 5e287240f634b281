package edge

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/place"
	"catkincove/core/reach"
	"catkincove/io/xchg"
)

const (
	pathCheckInterval  = 100 * time.Millisecond // interval of the checks whether the paths to the targets are suspect
	pathProbeInterval  = 400 * time.Millisecond // interval of the rounds of probes while the paths are lost or suspect
	pathCalmInterval   = 800 * time.Millisecond // interval while they are suspect, after a round that reached most targets and all that others reach
	pathProbeTimeout   = 350 * time.Millisecond // limit on one probe, which opens a connection
	pathProbes         = 5                      // targets probed in a round
	pathWitnesses      = 3                      // other daemons that are asked about targets that this one cannot connect to
	pathWitnessDelay   = 100 * time.Millisecond // time after which a probe that has no connection yet counts as one of these
	pathWitnessTimeout = 600 * time.Millisecond // limit on their answer, which takes pathProbeTimeout
	pathDoubt          = 400 * time.Millisecond // time after a failure at a target in which the paths may turn out to be lost
	pathFailureMemory  = 2 * time.Second        // time after the paths have returned in which failures are still put down to them
	maxPathNotices     = 32                     // daemons that are told at once of a change
	maxPeersForRequest = 3                      // daemons that are asked to forward one request
)

// pathMonitor notices when this daemon has lost its paths to the targets. Reachability belongs to a pair of daemon and target: what fails
// here says nothing about a target while the paths are lost.
type pathMonitor struct {
	daemon *Daemon

	mutex    sync.Mutex
	paths    reach.Paths
	probedAt time.Time
	calm     bool          // the last round reached most targets, and all that others reach
	warned   bool          // another daemon has lost its paths since the last round
	round    chan struct{} // closed at the end of the round of probes in progress; nil if there is none
}

// begin records that a request is sent to an address; the returned function ends the wait for its response.
func (monitor *pathMonitor) begin(address string) (ended func()) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	wait := monitor.paths.Begin(monitor.daemon.clock.Now(), address)
	return func() {
		monitor.mutex.Lock()
		defer monitor.mutex.Unlock()
		monitor.paths.End(wait)
	}
}

// watch returns a response whose body tells the monitor when the target sends something, and ends the wait when it is closed.
func (monitor *pathMonitor) watch(response *http.Response, address string, ended func()) *http.Response {
	monitor.reached(address)
	response.Body = &xchg.WatchedBody{ReadCloser: response.Body, Received: func() { monitor.reached(address) }, Closed: sync.OnceFunc(ended)}
	return response
}

// reached records that a target sent something.
func (monitor *pathMonitor) reached(address string) { monitor.observe(address, true) }

// failed records that a connection to a target failed.
func (monitor *pathMonitor) failed(address string) { monitor.observe(address, false) }

func (monitor *pathMonitor) observe(address string, reached bool) {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.paths.Observe(monitor.daemon.clock.Now(), address, reached)
}

// lost reports whether the paths are lost.
func (monitor *pathMonitor) lost() bool {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.paths.Lost()
}

// lostLately reports whether the paths are lost or were a moment ago.
func (monitor *pathMonitor) lostLately() bool {
	since := monitor.daemon.clock.Now().Add(-pathFailureMemory)
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.paths.LostSince(since)
}

// suspect reports whether probes should find out if the paths are lost.
func (monitor *pathMonitor) suspect(now time.Time) bool {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	return monitor.paths.Lost() || monitor.warned || monitor.paths.Suspect(now)
}

// warn has the paths probed once, because another daemon has lost its own: most of a data centre is often cut off together, and a daemon
// with few requests in flight would notice late.
func (monitor *pathMonitor) warn() {
	monitor.mutex.Lock()
	defer monitor.mutex.Unlock()
	monitor.warned = true
}

// run probes the paths while they are suspect or lost, until ctx ends.
func (monitor *pathMonitor) run(ctx context.Context) error {
	for core.Sleep(ctx, monitor.daemon.clock, pathCheckInterval) {
		now := monitor.daemon.clock.Now()
		monitor.mutex.Lock()
		interval := pathProbeInterval
		if monitor.calm && !monitor.paths.Lost() {
			interval = pathCalmInterval
		}
		due := now.Sub(monitor.probedAt) >= interval
		monitor.mutex.Unlock()
		if due && monitor.suspect(now) {
			monitor.probe()
		}
	}
	return ctx.Err()
}

// confirm finds out whether the paths are lost if they are suspect after a failure.
func (monitor *pathMonitor) confirm(ctx context.Context) bool {
	if monitor.lost() || !monitor.suspect(monitor.daemon.clock.Now()) {
		return monitor.lost()
	}
	done := make(chan struct{})
	monitor.daemon.spawn("paths", func() { defer close(done); monitor.probe() })
	select {
	case <-done:
	case <-ctx.Done():
	}
	return monitor.lost()
}

// probe opens connections to some targets and judges the paths by that and by what other daemons reach; a round in progress is awaited instead.
func (monitor *pathMonitor) probe() {
	monitor.mutex.Lock()
	if round := monitor.round; round != nil {
		monitor.mutex.Unlock()
		<-round
		return
	}
	round := make(chan struct{})
	monitor.round, monitor.probedAt, monitor.warned = round, monitor.daemon.clock.Now(), false
	targets := monitor.paths.Choose(slices.Collect(maps.Keys(monitor.daemon.view.Load().byID)), pathProbes, rand.Shuffle)
	monitor.mutex.Unlock()
	dials := monitor.daemon.dialAll(targets)
	select {
	case <-dials.done:
	case <-monitor.daemon.clock.After(pathWitnessDelay):
	}
	byOthers := monitor.daemon.reachedByOthers(dials.unreached(targets))
	<-dials.done
	unreached := dials.unreached(targets)
	probes := make([]reach.Probe, len(targets))
	onlyOthers := 0
	for i, id := range targets {
		probes[i] = reach.Probe{Target: id, Reached: !slices.Contains(unreached, id), OthersReachIt: byOthers[id]}
		if !probes[i].Reached && byOthers[id] {
			onlyOthers++
		}
	}
	monitor.mutex.Lock()
	changed, lost := monitor.paths.Judge(monitor.daemon.clock.Now(), probes), monitor.paths.Lost()
	monitor.round, monitor.calm = nil, onlyOthers == 0 && len(unreached) < len(targets)-len(unreached)
	monitor.mutex.Unlock()
	close(round)
	if changed {
		monitor.daemon.handlePathChange(lost, len(targets)-len(unreached), onlyOthers)
	}
}

// reachRequest asks a daemon which of some targets it can connect to.
type reachRequest struct{ Targets []string }

type reachReply struct{ Reached []string }

// reachedByOthers returns those of the targets that some of the other daemons, in several data centres if there are, can connect to.
func (daemon *Daemon) reachedByOthers(targets []string) map[string]bool {
	if len(targets) == 0 {
		return nil
	}
	var asked []string
	daemon.do(func() {
		now := daemon.clock.Now()
		seen := map[string]bool{}
		var rest []string
		peers := slices.Clone(daemon.sortedPeers())
		daemon.control.random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, known := range peers {
			switch {
			case known.leaving || known.pathsLost || !known.forwards || daemon.isSuspect(now, known):
			case seen[known.DataCentre]:
				rest = append(rest, known.Peer)
			default:
				seen[known.DataCentre] = true
				asked = append(asked, known.Peer)
			}
		}
		asked = append(asked, rest...)
		asked = asked[:min(len(asked), pathWitnesses)]
	})
	ctx, cancel := context.WithTimeout(daemon.loopContext, pathWitnessTimeout)
	defer cancel()
	var mutex sync.Mutex
	reached := map[string]bool{}
	var group sync.WaitGroup
	for _, address := range asked {
		group.Go(func() {
			defer daemon.recoverPanic("paths")
			var reply reachReply
			if err := daemon.callPeer(ctx, address, pathReach, reachRequest{Targets: targets}, &reply); err != nil {
				daemon.metrics.peerErrors.Add(1)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			for _, target := range reply.Reached {
				if slices.Contains(targets, target) {
					reached[target] = true
				}
			}
		})
	}
	group.Wait()
	return reached
}

// serveReach answers which of some registered targets this daemon can connect to.
func (daemon *Daemon) serveReach(writer http.ResponseWriter, request *http.Request) {
	var message reachRequest
	if !readJSON(writer, request, &message) {
		return
	}
	dials := daemon.dialAll(message.Targets[:min(len(message.Targets), pathProbes)])
	<-dials.done
	writeJSON(writer, reachReply{Reached: dials.reached})
}

// dials are connections that are opened to targets side by side, each to see whether the target can be reached.
type dials struct {
	mutex   sync.Mutex
	reached []string
	done    chan struct{} // closed when all have been opened or have failed
}

// dialAll opens connections to those of the targets that are registered.
func (daemon *Daemon) dialAll(targets []string) *dials {
	view := daemon.view.Load()
	dials := &dials{done: make(chan struct{})}
	var group sync.WaitGroup
	for _, id := range targets {
		if address, registered := view.byID[id]; registered {
			group.Go(func() {
				defer daemon.recoverPanic("paths")
				if canConnect(address) {
					dials.mutex.Lock()
					defer dials.mutex.Unlock()
					dials.reached = append(dials.reached, id)
				}
			})
		}
	}
	go func() { group.Wait(); close(dials.done) }()
	return dials
}

// unreached returns those of the targets to which no connection has been opened so far.
func (dials *dials) unreached(targets []string) []string {
	dials.mutex.Lock()
	defer dials.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(targets), func(id string) bool { return slices.Contains(dials.reached, id) })
}

func canConnect(address string) bool {
	conn, err := net.DialTimeout("tcp", address, pathProbeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// handlePathChange hands over what this daemon does for others when its paths are lost, forgets failures that were theirs when they are
// back, and tells the other daemons.
func (daemon *Daemon) handlePathChange(lost bool, reached, onlyOthers int) {
	event := daemon.log.Warn().Str(eventField, eventPathsLost)
	if !lost {
		event = daemon.log.Info().Str(eventField, eventPathsReturned)
	}
	event.Int("Reached", reached).Int("OnlyOthers", onlyOthers).Msg("paths to the targets")
	var addresses []string
	daemon.do(func() {
		daemon.control.chooser.ForgetFailures()
		daemon.control.statusAt = time.Time{}
		if lost {
			daemon.control.cancelBatches()
			daemon.control.batchContext, daemon.control.cancelBatches = context.WithCancel(context.Background())
			daemon.handOverJobs()
		}
		for _, known := range daemon.sortedPeers() {
			addresses = append(addresses, known.Peer)
		}
	})
	for _, address := range addresses[:min(len(addresses), maxPathNotices)] {
		daemon.spawn("ping", func() { daemon.ping(address) })
	}
}

// whenPathsAreClear runs a function after the time in which the paths may turn out to be lost, unless they do: a failure then says nothing
// about its target.
func (daemon *Daemon) whenPathsAreClear(part string, function func(clear bool)) {
	daemon.spawn(part, func() {
		core.Sleep(daemon.loopContext, daemon.clock, pathDoubt)
		function(!daemon.paths.lostLately())
	})
}

// failureOutcome is the outcome of an attempt whose connection failed: inconclusive while the failure may be one of this daemon's paths.
func (daemon *Daemon) failureOutcome() place.Outcome {
	if daemon.paths.lostLately() {
		return place.Inconclusive
	}
	return place.Disconnected
}

// forwardingPeer returns a daemon with paths to the targets, if this one has lost its own; nil if there is none or the request comes from
// another daemon.
func (daemon *Daemon) forwardingPeer(request *request) *peer {
	if request.forwarded || !daemon.paths.lost() || len(request.triedPeers) >= maxPeersForRequest {
		return nil
	}
	var chosen *peer
	daemon.do(func() {
		now := daemon.clock.Now()
		usable := slices.DeleteFunc(slices.Clone(daemon.sortedPeers()), func(known *peer) bool {
			return known.leaving || known.pathsLost || !known.forwards || daemon.isSuspect(now, known) || slices.Contains(request.triedPeers, known.Peer)
		})
		total := 0.0
		for _, known := range usable {
			total += max(known.Cores, minPeerWeight)
		}
		point := daemon.control.random.Float64() * total
		for _, known := range usable {
			chosen = known
			if point -= max(known.Cores, minPeerWeight); point < 0 {
				break
			}
		}
	})
	return chosen
}

// minPeerWeight is the weight of a daemon that reports no processor cores.
const minPeerWeight = 0.1
