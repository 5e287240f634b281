package once

import (
	"context"
	"crypto/rand"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	"catkincove/core"
)

// Validity of keys and retention of records.
const (
	// Retention is how long after the time in a key the key is valid and its record is kept.
	Retention = 24 * time.Hour
	// MaxClockSkew is how far the time in a key may be in the future, because the clocks of callers differ.
	MaxClockSkew = time.Minute
	// sweepMargin is how long a record is kept after its key has expired, because the clocks of daemons differ.
	sweepMargin = time.Hour
)

const (
	retryAfter      = time.Second // retry delay returned to callers when the store is unavailable
	maxReads        = 3           // reads of a record after the response to its creation was lost
	retryInterval   = 50 * time.Millisecond
	maxPollInterval = 500 * time.Millisecond // maximum interval between polls of a record of another attempt
	storeTimeout    = core.DefaultStoreRTT
)

// Guard implements core.Once with records in the store; Store and Clock are required.
type Guard struct {
	Store  core.Store
	Clock  core.Clock
	Member core.MemberID

	batcher batcher
	started sync.Map // from the store key of a record created here to its encoded form
}

var _ core.Once = (*Guard)(nil)

// Begin records the start of a call and returns the attempt token of the record, with the stored response if the call
// is already done.
func (guard *Guard) Begin(ctx context.Context, team core.TeamName, key, bodyHash string) (string, []byte, error) {
	if err := guard.Check(team, key); err != nil {
		return "", nil, err
	}
	record := core.OnceRecord{BodyHash: bodyHash, Attempt: rand.Text(), Member: guard.Member}
	name := recordKey(team, key)
	for {
		stored, err := guard.createRecord(ctx, name, record)
		for found := true; err == nil && found; {
			if stored.BodyHash != bodyHash {
				return "", nil, core.Errorf(core.KeyReused, "idempotency key %q was used with another body", key)
			}
			if stored.Done || stored.Attempt == record.Attempt {
				return stored.Attempt, stored.Response, nil
			}
			stored, found, err = guard.waitForAttempt(ctx, name, stored)
		}
		if err != nil {
			return "", nil, err
		}
		// The other attempt removed its record, so that this one can be created.
	}
}

// Check returns BadRequest for a key that is not a ULID or is in the future, and KeyExpired for one past its retention.
func (guard *Guard) Check(team core.TeamName, key string) error {
	if team == "" || strings.Contains(string(team), "/") {
		return core.Errorf(core.BadRequest, "team %q cannot be part of a record key", team)
	}
	id, err := ulid.ParseStrict(key)
	if err != nil {
		return core.Errorf(core.BadRequest, "idempotency key %q is not a ULID: %w", key, err)
	}
	if id.String() != key {
		return core.Errorf(core.BadRequest, "idempotency key %q is not in upper case", key)
	}
	age := core.Elapsed(ulid.Time(id.Time()), guard.Clock.Now())
	if age >= Retention {
		return core.Errorf(core.KeyExpired, "idempotency key %q is older than %s", key, Retention)
	}
	if age < -MaxClockSkew {
		return core.Errorf(core.BadRequest, "idempotency key %q is more than %s in the future", key, MaxClockSkew)
	}
	return nil
}

// createRecord writes the record unless the key already has one, and returns the record that the store holds.
//
// All errors are Unavailable, because the attempt then sends nothing, whether or not its record was written.
func (guard *Guard) createRecord(ctx context.Context, name string, record core.OnceRecord) (core.OnceRecord, error) {
	none := core.Revision(0)
	value := encode(record)
	responses := guard.batcher.commit(guard.Store, guard.Clock, core.Txn{
		Compares:  []core.Compare{{Key: name, ModRevision: &none}},
		Puts:      []core.Put{{Key: name, Value: value}},
		OnFailure: []string{name},
	})
	select {
	case <-ctx.Done():
		go guard.discardCreate(name, value, responses)
		return core.OnceRecord{}, unavailable("the start of the call could not be recorded in time: %w", ctx.Err())
	case response := <-responses:
		stored, err := guard.resolveCreate(ctx, name, record, response)
		if err != nil {
			go guard.deleteRecord(name, value)
		} else if stored.Attempt == record.Attempt {
			guard.started.Store(name, value)
		}
		return stored, err
	}
}

// resolveCreate returns the record that the store holds after a create; if the response was lost, it reads the record
// back.
func (guard *Guard) resolveCreate(ctx context.Context, name string, record core.OnceRecord, response response) (core.OnceRecord, error) {
	if response.err == nil && response.result.Succeeded {
		return record, nil
	}
	if response.err == nil && len(response.result.Entries) > 0 {
		return guard.decode(response.result.Entries[0])
	}
	var err error
	for range maxReads {
		var stored core.OnceRecord
		var found bool
		stored, found, err = guard.readRecord(ctx, name)
		if err == nil && found {
			return stored, nil
		}
		if err == nil {
			return core.OnceRecord{}, unavailable("the start of the call could not be recorded: %w", response.err)
		}
		if !core.Sleep(ctx, guard.Clock, retryInterval) {
			break
		}
	}
	return core.OnceRecord{}, unavailable("the record could not be read back: %w", err)
}

func (guard *Guard) decode(entry core.Entry) (core.OnceRecord, error) {
	record, err := decode(entry.Value)
	if err != nil {
		return record, unavailable("%w", err)
	}
	return record, nil
}

func (guard *Guard) readRecord(ctx context.Context, name string) (core.OnceRecord, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snapshot, err := guard.Store.Get(ctx, name)
	if err != nil || len(snapshot.Entries) == 0 {
		return core.OnceRecord{}, false, err
	}
	record, err := decode(snapshot.Entries[0].Value)
	return record, err == nil, err
}

// waitForAttempt polls the record of another attempt until it is done, deleted or replaced; it returns OutcomeUnknown
// if ctx ends first.
func (guard *Guard) waitForAttempt(ctx context.Context, name string, started core.OnceRecord) (core.OnceRecord, bool, error) {
	for interval := retryInterval; core.Sleep(ctx, guard.Clock, interval); interval = min(2*interval, maxPollInterval) {
		record, found, err := guard.readRecord(ctx, name)
		if err == nil && (!found || record.Done || record.Attempt != started.Attempt) {
			return record, found, nil
		}
	}
	return started, false, core.Errorf(core.OutcomeUnknown, "attempt %s on %s has not finished", started.Attempt, started.Member)
}

func unavailable(format string, arguments ...any) error {
	return core.Errorf(core.Unavailable, format, arguments...).WithRetryAfter(retryAfter)
}

// discardCreate waits for the response to a create whose caller has stopped waiting, and deletes the record.
func (guard *Guard) discardCreate(name string, value []byte, responses <-chan response) {
	<-responses
	guard.deleteRecord(name, value)
}

// deleteRecord deletes the record of an attempt that sends nothing, because the caller's next attempt would otherwise
// wait for it and end as OutcomeUnknown.
func (guard *Guard) deleteRecord(name string, value []byte) {
	txn := core.Txn{Compares: []core.Compare{{Key: name, Value: value}}, Deletes: []string{name}}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	_, _ = guard.Store.Commit(ctx, txn)
}

// errOtherAttempt reports that the record was not created by the attempt.
var errOtherAttempt = errors.New("record belongs to another attempt")
