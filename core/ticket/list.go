package ticket

import (
	"cmp"
	"context"
	"slices"

	"catkincove/core"
	"catkincove/core/config"
)

// Summary describes one applied ticket.
type Summary struct {
	Number   int64
	Operator string
	Note     string
	Objects  int // number of objects that the ticket declares or deletes
	Revision core.Revision
}

// Ticket returns the ticket with the number as it was applied.
//
// Errors are *core.Error of kind NotFound, Unavailable or Internal.
func (applier Applier) Ticket(ctx context.Context, number int64) (config.Ticket, error) {
	record, err := applier.find(ctx, number)
	if err != nil {
		return config.Ticket{}, err
	}
	return record.ticket, nil
}

// Revision returns the store revision at which the ticket with the number was written.
//
// Errors are those of Ticket.
func (applier Applier) Revision(ctx context.Context, number int64) (core.Revision, error) {
	record, err := applier.find(ctx, number)
	if err != nil {
		return 0, err
	}
	return record.revision, nil
}

func (applier Applier) find(ctx context.Context, number int64) (*record, error) {
	found, err := applier.record(ctx, number)
	if err != nil {
		return nil, classifyReadError(err)
	}
	if found == nil {
		return nil, core.Errorf(core.NotFound, "ticket %d was never applied", number)
	}
	return found, nil
}

// List returns all applied tickets, the highest number first.
//
// Errors are *core.Error of kind Unavailable or Internal.
func (applier Applier) List(ctx context.Context) ([]Summary, error) {
	snapshot, err := applier.list(ctx, core.TicketPrefix)
	if err != nil {
		return nil, classifyReadError(err)
	}
	summaries := make([]Summary, 0, len(snapshot.Entries))
	for _, entry := range snapshot.Entries {
		ticket, err := applier.Codec.DecodeTicket(entry.Value)
		if err != nil {
			return nil, corrupt(entry.Key, err)
		}
		summaries = append(summaries, Summary{
			Number:   ticket.Number,
			Operator: ticket.Operator,
			Note:     ticket.Note,
			Objects:  len(ticket.Objects),
			Revision: entry.ModRevision,
		})
	}
	slices.SortFunc(summaries, func(one, other Summary) int { return cmp.Compare(other.Number, one.Number) })
	return summaries, nil
}

// classifyReadError returns an error that is already classified unchanged, and any other one as Unavailable.
func classifyReadError(err error) error {
	if failure := core.AsError(err); failure.Kind != core.Internal || failure.Run == core.NotRun {
		return failure
	}
	return core.Errorf(core.Unavailable, "read the store: %w", err).WithRetryAfter(retryAfter)
}
