package ticket

import (
	"context"
	"errors"

	"catkincove/core"
	"catkincove/core/config"
)

// job is one call of Apply.
type job struct {
	applier Applier
	ticket  config.Ticket
	hash    string
	value   []byte
	pending *pendingWrite // set while a transaction whose response was lost may still take effect
}

// pendingWrite is a transaction whose response was lost.
type pendingWrite struct {
	headRevision core.Revision // the transaction takes effect only while the head key has this revision
	steps        []config.Step
}

// errRetry asks for another attempt, which reads the state again.
var errRetry = errors.New("retry with fresh state")

func (job *job) run(ctx context.Context) (Result, error) {
	backoff := initialBackoff
	for range job.applier.attempts() {
		result, err := job.attempt(ctx)
		if !errors.Is(err, errRetry) {
			return result, err
		}
		if job.pending == nil {
			continue
		}
		if !core.Sleep(ctx, job.applier.clock(), backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return Result{}, job.retriesExhausted()
}

// attempt reads the state, plans the steps and commits once; errRetry asks for another attempt.
func (job *job) attempt(ctx context.Context) (Result, error) {
	view, err := job.applier.read(ctx, job.ticket.Number)
	if err != nil {
		return Result{}, job.readError(err)
	}
	job.discardStale(view)
	if view.recorded != nil {
		return job.recordedResult(view)
	}
	steps := config.Plan(view.objects(job.ticket), job.ticket)
	txn, err := job.transaction(view, steps)
	if err != nil {
		return Result{}, err
	}
	txnResult, err := job.applier.commit(ctx, txn)
	if err != nil {
		job.pending = &pendingWrite{headRevision: view.head.ModRevision, steps: steps}
		return Result{}, errRetry
	}
	if !txnResult.Succeeded {
		return Result{}, errRetry
	}
	return job.result(txnResult.Revision, steps, false), nil
}

// discardStale drops a pending transaction that can no longer take effect, because the head key has another revision than
// the transaction compares. The check is safe because the head key is read before the ticket's record.
func (job *job) discardStale(view view) {
	if job.pending != nil && view.recorded == nil && view.head.ModRevision != job.pending.headRevision {
		job.pending = nil
	}
}

// readError classifies a failed read.
func (job *job) readError(err error) error {
	if job.pending != nil {
		return errRetry
	}
	var failure *core.Error
	if errors.As(err, &failure) {
		return failure
	}
	return core.Errorf(core.Unavailable, "ticket %d is not applied: read the store: %w", job.ticket.Number, err).
		WithRetryAfter(retryAfter)
}

// retriesExhausted returns the error after the last attempt.
func (job *job) retriesExhausted() error {
	number := job.ticket.Number
	if job.pending != nil {
		return core.Errorf(core.OutcomeUnknown, "ticket %d: the store did not respond to the write and cannot be read back", number)
	}
	return core.Errorf(core.Unavailable, "ticket %d is not applied: other tickets were applied at the same time in %d attempts",
		number, job.applier.attempts()).WithRetryAfter(retryAfter)
}

// recordedResult returns the result when the store already holds a ticket with the number.
func (job *job) recordedResult(view view) (Result, error) {
	if view.recorded.ticket.Hash() != job.hash {
		return Result{}, core.Errorf(core.Conflict, "ticket %d was already applied with other content", job.ticket.Number)
	}
	steps := config.Plan(view.objects(job.ticket), job.ticket)
	if job.pending != nil {
		steps = job.pending.steps
	}
	return job.result(view.recorded.revision, steps, job.pending == nil), nil
}

func (job *job) result(revision core.Revision, steps []config.Step, repeated bool) Result {
	result := Result{Number: job.ticket.Number, Hash: job.hash, Revision: revision, Repeated: repeated}
	for _, step := range steps {
		object := ObjectResult{Ref: step.Object.Ref, Outcome: step.Outcome, Ticket: step.Object.Ticket}
		result.Objects = append(result.Objects, object)
	}
	return result
}
