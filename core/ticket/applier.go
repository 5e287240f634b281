package ticket

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	// defaultAttempts bounds the transactions of one Apply; of several concurrent ones, one commits at each attempt.
	defaultAttempts = 10
	// initialBackoff is the delay after a lost response; it doubles up to maxBackoff.
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	// listTimeoutFactor multiplies the timeout for listing all objects, which takes several pages at the design scale.
	listTimeoutFactor = 5
	// retryAfter is the delay that operators are told to wait while the store is unavailable.
	retryAfter = time.Second
)

// Applier applies tickets; Store and Codec must be set, and it is safe for concurrent use.
type Applier struct {
	Store    core.Store
	Codec    config.Codec
	Clock    core.Clock    // SystemClock when nil
	Attempts int           // maximum number of transactions of one Apply; 0 means 10
	Timeout  time.Duration // timeout of one store call; 0 means core.DefaultStoreRTT
}

// ObjectResult is the effect of a ticket on one object, with the ticket number that the object carries afterwards.
type ObjectResult struct {
	Ref     config.Ref
	Outcome config.Outcome
	Ticket  int64
}

// Result describes an accepted ticket.
type Result struct {
	Number   int64
	Hash     string
	Revision core.Revision // store revision at which the ticket was written; daemons that confirm it have the ticket in force
	Repeated bool          // true when the ticket had been applied before and nothing was written
	Objects  []ObjectResult
}

// Apply writes the ticket in one transaction, or finds that it has been written already.
//
// Errors are *core.Error: BadRequest (the ticket or the resulting configuration is invalid), Conflict (another ticket has
// the number), Unavailable (the store is unavailable, or every attempt met a conflicting write), all "not run";
// OutcomeUnknown when a write may have taken effect and cannot be read back.
func (applier Applier) Apply(ctx context.Context, ticket config.Ticket) (Result, error) {
	if err := ticket.Validate(); err != nil {
		return Result{}, core.Errorf(core.BadRequest, "%w", err)
	}
	value, err := applier.Codec.EncodeTicket(ticket)
	if err != nil {
		return Result{}, core.Errorf(core.BadRequest, "%w", err)
	}
	if len(value) > core.MaxStoreValue {
		return Result{}, core.Errorf(core.BadRequest, "ticket %d: found %d bytes when encoded for the store, expected at most %d",
			ticket.Number, len(value), core.MaxStoreValue)
	}
	job := &job{applier: applier, ticket: ticket, hash: ticket.Hash(), value: value}
	return job.run(ctx)
}

func (applier Applier) attempts() int {
	if applier.Attempts > 0 {
		return applier.Attempts
	}
	return defaultAttempts
}

func (applier Applier) clock() core.Clock {
	if applier.Clock != nil {
		return applier.Clock
	}
	return core.SystemClock{}
}

func (applier Applier) timeout() time.Duration {
	if applier.Timeout > 0 {
		return applier.Timeout
	}
	return core.DefaultStoreRTT
}

func (applier Applier) get(ctx context.Context, key string) (core.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, applier.timeout())
	defer cancel()
	return applier.Store.Get(ctx, key)
}

func (applier Applier) list(ctx context.Context, prefix string) (core.Snapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeoutFactor*applier.timeout())
	defer cancel()
	return applier.Store.List(ctx, prefix)
}

func (applier Applier) commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, applier.timeout())
	defer cancel()
	return applier.Store.Commit(ctx, txn)
}
