package ticket

import (
	"strconv"

	"catkincove/core"
	"catkincove/core/config"
)

// transaction returns the transaction that writes the ticket, after validating the configuration that would result.
//
// It compares the head key as well as the objects of the ticket, because the validation depends on objects outside the
// ticket: of two concurrent tickets, one could delete what the other refers to.
func (job *job) transaction(view view, steps []config.Step) (core.Txn, error) {
	written := writtenObjects(steps)
	if err := view.config.With(written, 0).Validate(); err != nil {
		return core.Txn{}, core.Errorf(core.BadRequest, "ticket %d would make the configuration invalid: %w", job.ticket.Number, err)
	}
	txn := core.Txn{Compares: []core.Compare{
		compareRevision(ticketKey(job.ticket.Number), 0),
		compareRevision(core.HeadKey, view.head.ModRevision),
	}}
	for _, step := range steps {
		ref := step.Object.Ref
		txn.Compares = append(txn.Compares, compareRevision(job.applier.Codec.ObjectKey(ref), view.revisions[ref]))
	}
	highest := max(view.highestTicket, job.ticket.Number)
	txn.Puts = []core.Put{
		{Key: ticketKey(job.ticket.Number), Value: job.value},
		{Key: core.HeadKey, Value: strconv.AppendInt(nil, highest, 10)},
	}
	for _, object := range written {
		value, err := job.applier.Codec.EncodeObject(object)
		if err != nil {
			return core.Txn{}, core.Errorf(core.BadRequest, "ticket %d: %w", job.ticket.Number, err)
		}
		txn.Puts = append(txn.Puts, core.Put{Key: job.applier.Codec.ObjectKey(object.Ref), Value: value})
	}
	return txn, job.checkSize(txn)
}

// checkSize rejects a transaction that exceeds the limits of the store, which bounds compares and writes separately.
func (job *job) checkSize(txn core.Txn) error {
	operations := max(len(txn.Compares), len(txn.Puts))
	if operations <= core.MaxTxnOps {
		return nil
	}
	overhead := operations - len(job.ticket.Objects)
	return core.Errorf(core.BadRequest,
		"ticket %d: found %d objects, which need a transaction of %d operations, expected at most %d objects (%d operations); split the ticket",
		job.ticket.Number, len(job.ticket.Objects), operations, core.MaxTxnOps-overhead, core.MaxTxnOps)
}

func writtenObjects(steps []config.Step) []config.Object {
	var written []config.Object
	for _, step := range steps {
		if step.Write {
			written = append(written, step.Object)
		}
	}
	return written
}

func compareRevision(key string, revision core.Revision) core.Compare {
	return core.Compare{Key: key, ModRevision: &revision}
}
