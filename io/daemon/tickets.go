package daemon

import (
	"context"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/ticket"
	"catkincove/io/entry"
	"catkincove/io/inifmt"
)

// States of a ticket in responses to operators.
const (
	StateWritten  = "Written"  // in the store, but fewer than two thirds of the daemons have confirmed it
	StateAccepted = "Accepted" // two thirds have confirmed it; the others grant no new work under an older configuration
	StateInForce  = "InForce"  // all live daemons have confirmed it
)

const (
	confirmInterval = 25 * time.Millisecond
	confirmTimeout  = 3 * time.Second // a daemon that has not confirmed by then is isolated and has stopped new work
)

// ApplyTicket implements entry.Daemon: it returns when the ticket is in force, or after confirmTimeout.
func (daemon *Daemon) ApplyTicket(ctx context.Context, text []byte) (entry.TicketBody, error) {
	parsed, err := inifmt.ParseTicket("ticket", string(text))
	if err != nil {
		return entry.TicketBody{}, core.Errorf(core.BadRequest, "%w", err)
	}
	result, err := daemon.applier.Apply(ctx, parsed)
	if err != nil {
		return entry.TicketBody{}, err
	}
	body := encodeTicketResult(result)
	startedAt := daemon.clock.Now()
	for {
		if err := daemon.fillConfirmations(ctx, &body); err != nil {
			return body, nil // the ticket is written; body holds the last known state
		}
		if body.State == StateInForce || core.Elapsed(startedAt, daemon.clock.Now()) > confirmTimeout {
			daemon.log.Info().Int64("ticket", body.Number).Str("state", body.State).Msg("ticket: applied")
			return body, nil
		}
		if !core.Sleep(ctx, daemon.clock, confirmInterval) {
			return body, nil
		}
	}
}

// fillConfirmations sets the state of a ticket and the daemons that have its revision in force, or not yet.
//
// A daemon that was listed as unconfirmed before stays listed when it is no longer a member: an isolated daemon loses its
// lease while the operator waits, but may still run.
func (daemon *Daemon) fillConfirmations(ctx context.Context, body *entry.TicketBody) error {
	return daemon.loop.Do(ctx, func() {
		control := &daemon.control
		revision := core.Revision(body.Revision)
		confirmed := map[core.MemberID]bool{}
		for _, id := range control.tracker.ConfirmedBy(revision) {
			confirmed[id] = true
		}
		previous := body.Unconfirmed
		body.Confirmed, body.Unconfirmed = nil, nil
		live := control.view.Live(control.now())
		for _, id := range live {
			if confirmed[id] {
				body.Confirmed = append(body.Confirmed, string(id))
			} else {
				body.Unconfirmed = append(body.Unconfirmed, string(id))
			}
		}
		for _, name := range previous {
			id := core.MemberID(name)
			if !confirmed[id] && !slices.Contains(live, id) {
				body.Unconfirmed = append(body.Unconfirmed, name)
			}
		}
		body.State = ticketState(control.membersRead && control.tracker.AcceptedByQuorum(revision), len(body.Unconfirmed))
	})
}

func ticketState(accepted bool, unconfirmed int) string {
	switch {
	case !accepted:
		return StateWritten
	case unconfirmed > 0:
		return StateAccepted
	default:
		return StateInForce
	}
}

func encodeTicketResult(result ticket.Result) entry.TicketBody {
	body := entry.TicketBody{Number: result.Number, Revision: int64(result.Revision), Repeated: result.Repeated}
	for _, object := range result.Objects {
		name := object.Ref.String()
		switch object.Outcome {
		case config.Applied:
			body.Applied = append(body.Applied, name)
		case config.Superseded:
			body.Superseded = append(body.Superseded, name)
		default:
			body.Unchanged = append(body.Unchanged, name)
		}
	}
	return body
}

// Ticket implements entry.Daemon.
func (daemon *Daemon) Ticket(ctx context.Context, number int64) ([]byte, error) {
	found, err := daemon.applier.Ticket(ctx, number)
	if err != nil {
		return nil, err
	}
	return []byte(inifmt.FormatTicket(found)), nil
}

// Tickets implements entry.Daemon.
func (daemon *Daemon) Tickets(ctx context.Context) ([]int64, error) {
	summaries, err := daemon.applier.List(ctx)
	if err != nil {
		return nil, err
	}
	numbers := make([]int64, 0, len(summaries))
	for _, summary := range summaries {
		numbers = append(numbers, summary.Number)
	}
	return numbers, nil
}

// TicketStatus implements entry.Daemon.
func (daemon *Daemon) TicketStatus(ctx context.Context, number int64) (entry.TicketBody, error) {
	revision, err := daemon.applier.Revision(ctx, number)
	if err != nil {
		return entry.TicketBody{}, err
	}
	body := entry.TicketBody{Number: number, Revision: int64(revision)}
	err = daemon.fillConfirmations(ctx, &body)
	return body, err
}
