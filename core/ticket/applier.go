package ticket

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

const (
	// defaultAttempts bounds the transactions of one Apply; with concurrent operators one of them wins each round.
	defaultAttempts = 10
	// firstPause is the wait after a lost response; it doubles up to lastPause.
	firstPause = 50 * time.Millisecond
	lastPause  = 800 * time.Millisecond
	// listFactor multiplies the timeout for reading all objects, which takes several pages at the design scale.
	listFactor = 5
	// retryAfter is the advice to operators while the store is down.
	retryAfter = time.Second
)

// Applier applies tickets; Store and Codec must be set, and it is safe for concurrent use.
type Applier struct {
	Store    core.Store
	Codec    config.Codec
	Clock    core.Clock    // SystemClock when nil
	Attempts int           // transactions of one Apply; 0 means 10
	Timeout  time.Duration // of one store call; 0 means core.DefaultStoreRTT
}

// ObjectResult says what a ticket did to one object and which ticket number the object carries.
type ObjectResult struct {
	Ref     config.Ref
	Outcome config.Outcome
	Ticket  int64
}

// Result is the answer to an accepted ticket.
type Result struct {
	Number   int64
	Hash     string
	Revision core.Revision // of head since the ticket was written; it is in force wherever this revision is confirmed
	Repeated bool          // the ticket had been applied before and nothing was written
	Objects  []ObjectResult
}

// Apply writes the ticket in one transaction, or finds that it has been written already.
//
// Errors are *core.Error: BadRequest (the ticket or the resulting configuration is faulty), Conflict (another ticket has
// the number), Unavailable (store down, or always overtaken by other tickets), all "not run"; OutcomeUnknown when a
// write may have taken effect and cannot be read back.
func (applier Applier) Apply(ctx context.Context, ticket config.Ticket) (Result, error) {
	if err := ticket.Validate(); err != nil {
		return Result{}, core.Errorf(core.BadRequest, "%w", err)
	}
	value, err := applier.Codec.EncodeTicket(ticket)
	if err != nil {
		return Result{}, core.Errorf(core.BadRequest, "%w", err)
	}
	if len(value) > core.MaxStoreValue {
		return Result{}, core.Errorf(core.BadRequest, "ticket %d: found %d bytes in the store's form, expected at most %d",
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
	ctx, cancel := context.WithTimeout(ctx, listFactor*applier.timeout())
	defer cancel()
	return applier.Store.List(ctx, prefix)
}

func (applier Applier) commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	ctx, cancel := context.WithTimeout(ctx, applier.timeout())
	defer cancel()
	return applier.Store.Commit(ctx, txn)
}
