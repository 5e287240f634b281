package edge

import (
	"context"
	"net/http"
	"slices"

	"catkincove/core"
	"catkincove/core/batch"
	"catkincove/core/canary"
	"catkincove/core/place"
	"catkincove/io/shift"
)

// conclusiveShare is the part of a request's time that a target must have had for its time limit to say something about the target.
const conclusiveShare = 0.5

// fleet is the daemon as a mover sees it.
type fleet struct {
	daemon *Daemon
}

func (daemon *Daemon) newMover() *shift.Mover {
	return shift.New(shift.Options{
		Clock: daemon.clock, Store: daemon.store, Dialect: daemon.dialect, Log: &daemon.log, Fleet: fleet{daemon: daemon},
		Bounds: func() canary.Bounds {
			bounds := daemon.settings.Load().Bounds
			return canary.Bounds{Share: bounds.ExposeShare, Slack: bounds.ExposeSlack, Rollback: bounds.Rollback}
		},
	})
}

// State implements shift.Fleet.
func (fleet fleet) State(service string) (state shift.State) {
	daemon := fleet.daemon
	daemon.do(func() {
		now := daemon.clock.Now()
		state = shift.State{
			Self: daemon.id, Daemons: []core.MemberID{daemon.id}, Large: shift.IsLarge(len(daemon.control.peers) + 1),
			Disturbed: daemon.control.routes.Unavailable() || daemon.paths.lostLately(), Leaving: daemon.leaving.Load(), Single: daemon.view.Load().routing.Services[service].Batch != nil,
		}
		if decider := daemon.senderOf(service); decider != nil {
			state.Decider = decider.Peer
		} else if !state.Leaving {
			daemon.control.lastPlacement[service] = now // the daemon that decides goes on
		}
		for _, known := range daemon.control.peers {
			if !known.leaving && !known.lastSeen.IsZero() && now.Sub(known.lastSeen) <= daemon.directoryTimeout() {
				state.Daemons = append(state.Daemons, known.ID)
			}
		}
	})
	return state
}

// Call implements shift.Fleet.
func (fleet fleet) Call(ctx context.Context, address, path string, message, reply any) error {
	return fleet.daemon.callPeer(ctx, address, path, message, reply)
}

// Changed implements shift.Fleet.
func (fleet fleet) Changed(string) { fleet.daemon.loop.Post(fleet.daemon.scheduleRebuild) }

func (daemon *Daemon) serveRollout(writer http.ResponseWriter, request *http.Request) {
	var message shift.Message
	if readJSON(writer, request, &message) {
		writeJSON(writer, daemon.shift.Serve(message))
	}
}

// decodeRollout decodes an order; one that cannot be decoded is none.
func (daemon *Daemon) decodeRollout(entry core.Entry) (shift.Order, bool) {
	order, is, err := daemon.dialect.DecodeRollout(entry.Key, entry.Value)
	return shift.Order{RolloutOrder: order, Revision: entry.ModRevision}, is && err == nil
}

// canaryOutcome returns what the end of an attempt says about the version of its target.
func (daemon *Daemon) canaryOutcome(request *request, attempt *attempt, outcome place.Outcome) canary.Outcome {
	switch outcome {
	case place.Succeeded:
		return canary.Good
	case place.ErrorResponse, place.Disconnected, place.TimedOut:
		return canary.Bad
	case place.Inconclusive:
		now := daemon.clock.Now()
		waited, limit := now.Sub(attempt.startedAt), request.deadline.Sub(request.startedAt)
		if !now.Before(request.deadline) && request.incoming.Context().Err() == nil && float64(waited) >= conclusiveShare*float64(limit) {
			return canary.Bad
		}
	}
	return canary.Ignored
}

// callOutcome returns what the end of a batch call says about the version of its target.
func (daemon *Daemon) callOutcome(ctx context.Context, outcome batch.Outcome, results []core.PieceResult) canary.Outcome {
	failed := slices.ContainsFunc(results, func(result core.PieceResult) bool { return result.Fault == core.PieceFailed })
	switch {
	case ctx.Err() != nil || outcome == batch.Rejected || outcome == batch.Failed && daemon.paths.lostLately():
		return canary.Ignored
	case outcome == batch.Failed || failed:
		return canary.Bad
	}
	if !batch.AnyHandle(results) {
		return canary.Ignored
	}
	return canary.Good
}
