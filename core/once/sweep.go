package once

import (
	"context"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"catkincove/core"
)

const (
	maxSweepRecords = 32 // records deleted by one sweep
	// sweepPrefixChars is the length of the ULID prefix by which a sweep lists records, so that it reads only a part of
	// them.
	sweepPrefixChars = 5
	// prefixSpan is the time that such a prefix covers: 2^25 ms, which is 9.3 h.
	prefixSpan = (1 << 25) * time.Millisecond
	// maxSweepPrefixes is the number of prefixes that a sweep lists; 4 prefixes reach back 37 h at most, so that
	// sweeping may be interrupted for about a day without leaving records behind.
	maxSweepPrefixes = 4
)

// Sweep deletes up to 32 records of the team that are past the retention, and returns their number.
//
// The keys of deleted records are rejected as expired, so that no call can run a second time after its record is
// deleted.
func (guard *Guard) Sweep(ctx context.Context, team core.TeamName) (int, error) {
	expiredBefore := guard.Clock.Now().Add(-Retention - sweepMargin)
	var txns []core.Txn
	for span := maxSweepPrefixes - 1; span >= 0; span-- {
		prefix := sweepPrefix(team, expiredBefore.Add(-time.Duration(span)*prefixSpan))
		snapshot, err := guard.Store.List(ctx, prefix)
		if err != nil {
			return 0, err
		}
		txns = append(txns, expiredDeletes(snapshot.Entries, expiredBefore)...)
		if len(txns) >= maxSweepRecords {
			break
		}
	}
	txns = txns[:min(len(txns), maxSweepRecords)]
	if len(txns) == 0 {
		return 0, nil
	}
	_, err := guard.Store.CommitAll(ctx, txns)
	return len(txns), err
}

func sweepPrefix(team core.TeamName, at time.Time) string {
	var id ulid.ULID
	_ = id.SetTime(uint64(max(0, at.UnixMilli()))) // SetTime fails only for times after the year 10889
	return recordKey(team, id.String()[:sweepPrefixChars])
}

// expiredDeletes returns one transaction for each record whose key has an earlier time, which deletes it if unchanged.
func expiredDeletes(entries []core.Entry, expiredBefore time.Time) []core.Txn {
	var txns []core.Txn
	for _, entry := range entries {
		key := entry.Key[strings.LastIndexByte(entry.Key, '/')+1:]
		id, err := ulid.ParseStrict(key)
		if err != nil || !ulid.Time(id.Time()).Before(expiredBefore) {
			continue
		}
		revision := entry.ModRevision
		compare := core.Compare{Key: entry.Key, ModRevision: &revision}
		txns = append(txns, core.Txn{Compares: []core.Compare{compare}, Deletes: []string{entry.Key}})
	}
	return txns
}
