package edge

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
	"catkincove/core/place"
)

// placeTimeout limits the wait for the daemon that places prompts; after it, this daemon chooses an engine from local
// state.
const placeTimeout = 250 * time.Millisecond

// maxHints bounds the prompts whose engine is remembered; the map is cleared when it is full.
const maxHints = 4096

// placeRequest asks another daemon to choose an engine for a prompt.
type placeRequest struct {
	Service string
	Prompt  place.Prompt
}

type placeReply struct {
	Target    string
	Fault     place.Fault
	Permitted bool          // the target has named a limit, which covers the prompt
	Wait      time.Duration // time until the prompt may be sent, or until an engine could take it if all have named limits
}

// prefillMessage reports that an engine has prefilled a prompt, or that it will not.
type prefillMessage struct {
	Service string
	Target  string
	Attempt string
	Outcome place.Outcome
	Took    time.Duration // time from the start of the attempt to its first event or its end

	Misdirected bool // the target at the engine's address has said that it is another one
}

// placeEngine returns an attempt at the engine chosen by the daemon that places the prompts of the service for the
// whole fleet; nil means that it chose none or did not respond, and that the caller must choose a target from local
// state. It returns an error if no engine may get the prompt in time by the limits that they have named.
func (daemon *Daemon) placeEngine(ctx context.Context, request *request, service core.ServiceSpec, versions place.Versions) (*attempt, error) {
	var targets []place.Target
	var pausedFor time.Duration
	daemon.do(func() { targets, pausedFor = daemon.unpausedTargets(daemon.clock.Now(), service.Name, versions) })
	if len(targets) == 0 && pausedFor > 0 {
		return nil, daemon.pauseError(service.Name, pausedFor)
	}
	message := placeRequest{Service: service.Name, Prompt: place.Prompt{
		Attempt: request.caller.Attempt, Parts: request.caller.Prompt, Zone: request.inputDataCentre, InputBytes: request.inputBytes, Exclude: daemon.excludedEngines(request, service.Name, targets),
		MaxWait: request.maxPermitWait(daemon.clock.Now()), Version: versions.Only, Except: versions.Except,
	}}
	shared, _ := request.sharedPrompt()
	hint := xxhash.Sum64String(shared) // the ID would keep the whole header alive
	var owner *peer
	var address string
	daemon.do(func() {
		message.Prompt.Hint = daemon.control.placementHints[hint]
		if owner = daemon.senderOf(service.Name); owner != nil {
			address = owner.Peer
		}
	})
	askedAt := daemon.clock.Now()
	var reply placeReply
	if owner == nil {
		reply = daemon.placeLocally(message)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, placeTimeout)
		defer cancel()
		if err := daemon.callPeer(callCtx, address, pathPlace, message, &reply); err != nil {
			daemon.metrics.placedAlone.Add(1)
			daemon.log.Warn().Str(eventField, eventPlacedAlone).Str("Request", request.logID()).Str("Peer", address).Err(err).Msg("no response from the placing daemon; choosing an engine from local state")
			return nil, nil
		}
	}
	if reply.Fault != place.Chosen {
		if reply.Wait > 0 {
			return nil, daemon.limitError(service.Name, reply.Wait)
		}
		return nil, nil
	}
	for _, target := range targets {
		if target.ID != reply.Target {
			continue
		}
		granted := permitted{askedAt: askedAt, wait: reply.Wait}
		if !reply.Permitted {
			// The placing daemon may not have heard yet that the target has named a limit.
			granted, reply.Permitted = daemon.permit(ctx, service.Name, target, message.Prompt.MaxWait)
		}
		if !reply.Permitted || !daemon.awaitPermit(ctx, service.Name, target, granted) {
			return nil, ctx.Err()
		}
		daemon.do(func() {
			now := daemon.clock.Now()
			daemon.control.chooser.Begin(now, target.ID)
			if len(daemon.control.placementHints) >= maxHints {
				clear(daemon.control.placementHints)
			}
			daemon.control.placementHints[hint] = target.ID
			if request.attempts == 0 {
				daemon.retryWindow(service.Name).AddRequest(now)
			}
		})
		request.attempts++
		return &attempt{target: target, startedAt: daemon.clock.Now(), placedBy: owner, engineService: service.Name, passage: daemon.shift.Begin(service.Name, target.Version, request.route.Name)}, nil
	}
	return nil, nil // the engine is no usable target in this daemon's view, as when it is draining or has another version
}

// excludedEngines returns the engines that must not get the request: those that were tried, and those that want nothing from this daemon, which the placing
// daemon does not know.
func (daemon *Daemon) excludedEngines(request *request, service string, unpaused []place.Target) []string {
	all := daemon.view.Load().targets[service]
	if len(unpaused) == len(all) {
		return request.triedTargets
	}
	excluded := slices.Clone(request.triedTargets)
	for _, target := range all {
		if !slices.ContainsFunc(unpaused, func(other place.Target) bool { return other.ID == target.ID }) {
			excluded = append(excluded, target.ID)
		}
	}
	return excluded
}

func (daemon *Daemon) placeLocally(message placeRequest) placeReply {
	targets := place.Versions{Only: message.Prompt.Version, Except: message.Prompt.Except}.Of(daemon.view.Load().targets[message.Service])
	var reply placeReply
	prompt := message.Prompt.WithPrefix()
	daemon.do(func() {
		daemon.control.lastPlacement[message.Service] = daemon.clock.Now()
		daemon.inferBrittle(daemon.view.Load().targets[message.Service])
		placement := daemon.enginesOf(message.Service).Choose(daemon.clock.Now(), targets, prompt)
		reply.Fault, reply.Wait = placement.Fault, placement.Wait
		if reply.Fault == place.Chosen {
			reply.Target = targets[placement.Index].ID
			_, reply.Permitted = daemon.control.limits.Rate(reply.Target)
		}
	})
	return reply
}

// enginesOf returns the engines of a service with the memory size of the routing in force; it must run on the loop.
func (daemon *Daemon) enginesOf(service string) *place.Engines {
	known := daemon.control.engines[service]
	if known == nil {
		known = &place.Engines{Chooser: &daemon.control.chooser, Pacer: &daemon.control.limits}
		daemon.control.engines[service] = known
	}
	if spec := daemon.view.Load().routing.Services[service].Engine; spec != nil {
		known.MemoryTokens = spec.MemoryTokens
	}
	return known
}

// reportPrefill tells the daemon that placed the prompt that the engine has prefilled it, or will not; it does so once
// for each attempt.
func (daemon *Daemon) reportPrefill(request *request, attempt *attempt, outcome place.Outcome, duration time.Duration) {
	if attempt.engineService == "" || attempt.prefillReported {
		return
	}
	attempt.prefillReported = true
	message := prefillMessage{
		Service: attempt.engineService, Target: attempt.target.ID, Attempt: request.caller.Attempt, Outcome: outcome, Took: duration,
		Misdirected: attempt.misdirected,
	}
	if attempt.placedBy == nil {
		daemon.loop.Post(func() { daemon.recordPrefill(message) })
		return
	}
	address := attempt.placedBy.Peer
	if outcome == place.Disconnected {
		daemon.whenPathsAreClear("prefill", func(clear bool) {
			if !clear {
				message.Outcome = place.Inconclusive
			}
			daemon.sendPrefill(address, message)
		})
		return
	}
	daemon.spawn("prefill", func() { daemon.sendPrefill(address, message) })
}

func (daemon *Daemon) sendPrefill(address string, message prefillMessage) {
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	var reply struct{}
	if err := daemon.callPeer(ctx, address, pathRead, message, &reply); err != nil {
		daemon.metrics.peerErrors.Add(1) // the other daemon counts the prompt as prefilled after a timeout
	}
}

// recordPrefill applies the report of a prefill; it must run on the loop.
func (daemon *Daemon) recordPrefill(message prefillMessage) {
	if message.Misdirected {
		daemon.markMisdirected(message.Target)
	}
	daemon.enginesOf(message.Service).FinishPrefill(daemon.clock.Now(), message.Target, message.Attempt, message.Outcome, message.Took)
}

func (daemon *Daemon) servePlace(writer http.ResponseWriter, request *http.Request) {
	var message placeRequest
	if !readJSON(writer, request, &message) {
		return
	}
	negative := slices.ContainsFunc(message.Prompt.Parts, func(part core.PromptPart) bool { return part.Tokens < 0 })
	if negative || daemon.view.Load().routing.Services[message.Service].Engine == nil {
		http.Error(writer, "prompt or service", http.StatusBadRequest)
		return
	}
	writeJSON(writer, daemon.placeLocally(message))
}

func (daemon *Daemon) servePrefill(writer http.ResponseWriter, request *http.Request) {
	var message prefillMessage
	if !readJSON(writer, request, &message) {
		return
	}
	if daemon.view.Load().routing.Services[message.Service].Engine != nil {
		daemon.loop.Post(func() { daemon.recordPrefill(message) })
	}
	writeJSON(writer, struct{}{})
}
