package once

import (
	"context"
	"errors"
	"fmt"

	"catkincove/core"
)

// Finish stores the response of the call that Begin recorded; it retries while the store gives no response, until ctx
// ends.
func (guard *Guard) Finish(ctx context.Context, team core.TeamName, key, attempt string, response []byte) error {
	name := recordKey(team, key)
	started, record, err := guard.startedRecord(name, attempt)
	if err != nil {
		return err
	}
	record.Done = true
	record.Response = response
	value := encode(record)
	if len(value) > core.MaxStoreValue {
		return core.Errorf(core.Internal, "response of %d bytes does not fit into a record", len(response)).WithRun(core.HasRun)
	}
	txn := core.Txn{
		Compares:  []core.Compare{{Key: name, Value: started}},
		Puts:      []core.Put{{Key: name, Value: value}},
		OnFailure: []string{name},
	}
	return guard.commitUntilDone(ctx, name, txn, func(stored core.OnceRecord, found bool) bool {
		return found && stored.Done && stored.Attempt == attempt
	})
}

// Abandon removes the record of a call that has certainly sent no byte, so that the key can be used again.
func (guard *Guard) Abandon(ctx context.Context, team core.TeamName, key, attempt string) error {
	name := recordKey(team, key)
	started, _, err := guard.startedRecord(name, attempt)
	if err != nil {
		return err
	}
	txn := core.Txn{
		Compares:  []core.Compare{{Key: name, Value: started}},
		Deletes:   []string{name},
		OnFailure: []string{name},
	}
	return guard.commitUntilDone(ctx, name, txn, func(stored core.OnceRecord, found bool) bool {
		return !found || stored.Attempt != attempt
	})
}

// startedRecord returns the encoded and the decoded record that this guard created for the attempt.
//
// Records are never handed over to another daemon, so that a record which is not found here has an unknown outcome.
func (guard *Guard) startedRecord(name, attempt string) ([]byte, core.OnceRecord, error) {
	value, found := guard.started.Load(name)
	if !found {
		return nil, core.OnceRecord{}, core.Errorf(core.OutcomeUnknown, "record %q was not created by this daemon", name)
	}
	started := value.([]byte)
	record, err := decode(started)
	if err == nil && record.Attempt != attempt {
		err = fmt.Errorf("record %q: %w", name, errOtherAttempt)
	}
	return started, record, err
}

// commitUntilDone commits the transaction and retries while the store gives no response, until ctx ends; applied
// reports from the stored record whether an earlier try of a failed transaction had taken effect.
func (guard *Guard) commitUntilDone(ctx context.Context, name string, txn core.Txn, applied func(core.OnceRecord, bool) bool) error {
	for {
		result, err := guard.commit(ctx, txn)
		if err == nil {
			guard.started.Delete(name)
			return checkResult(name, result, applied)
		}
		permanent := !errors.Is(err, core.ErrStoreUnavailable) && ctx.Err() == nil
		if permanent || !core.Sleep(ctx, guard.Clock, retryInterval) {
			return core.Errorf(core.OutcomeUnknown, "record %q: %w", name, err)
		}
	}
}

func (guard *Guard) commit(ctx context.Context, txn core.Txn) (core.TxnResult, error) {
	select {
	case response := <-guard.batcher.commit(guard.Store, guard.Clock, txn):
		return response.result, response.err
	case <-ctx.Done():
		return core.TxnResult{}, ctx.Err()
	}
}

// checkResult returns nil if the transaction succeeded or had been applied by an earlier try, or else OutcomeUnknown.
func checkResult(name string, result core.TxnResult, applied func(core.OnceRecord, bool) bool) error {
	if result.Succeeded {
		return nil
	}
	var stored core.OnceRecord
	var err error
	found := len(result.Entries) > 0
	if found {
		stored, err = decode(result.Entries[0].Value)
	}
	if err == nil && applied(stored, found) {
		return nil
	}
	return core.Errorf(core.OutcomeUnknown, "record %q: %w", name, errOtherAttempt)
}
