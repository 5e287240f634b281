package core

import (
	"context"
	"errors"
	"time"
)

// ErrStoreUnavailable reports that the store did not respond; a write may or may not have taken effect.
var ErrStoreUnavailable = errors.New("configuration store did not respond")

// ErrLeaseNotFound reports that a lease has expired or was revoked.
var ErrLeaseNotFound = errors.New("lease not found")

// ErrCompacted reports that the store no longer holds the history that a watch asked for, or has been restored since.
var ErrCompacted = errors.New("watch revision is compacted")

// LeaseID identifies a lease in the store; 0 means none.
type LeaseID int64

// Entry is one key of the store with its value and revisions.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Snapshot is the result of a read: entries sorted by key, and the store's revision at that time.
type Snapshot struct {
	Revision Revision
	Entries  []Entry
}

// Compare is a condition of a transaction on one of ModRevision, CreateRevision or Value.
type Compare struct {
	Key            string
	ModRevision    *Revision // 0 means that the key must not exist
	CreateRevision *Revision // 0 means that the key must not exist
	Value          []byte    // compared when both pointers are nil
}

// Put is one write of a transaction.
type Put struct {
	Key   string
	Value []byte
	Lease LeaseID
}

// Txn writes and deletes when all its conditions hold; otherwise it reads the keys of OnFailure.
type Txn struct {
	Compares  []Compare
	Puts      []Put
	Deletes   []string
	OnFailure []string
}

// TxnResult is the result of a transaction.
type TxnResult struct {
	Succeeded bool
	Revision  Revision
	Entries   []Entry // entries read by OnFailure
}

// WatchEvent is a batch of changes, or a progress notification when it has neither puts nor deletes. A key that was put and then deleted may
// be in both.
type WatchEvent struct {
	Revision Revision
	Puts     []Entry
	Deletes  []string
	Err      error // set on the last event, after which the channel is closed
}

// Store is the platform's key-value service.
//
// All methods return ErrStoreUnavailable (wrapped) when the store did not respond before the context's deadline.
type Store interface {
	// Get reads one key; the snapshot has no entry when it does not exist.
	Get(ctx context.Context, key string) (Snapshot, error)
	// List reads all keys with the prefix, page by page internally.
	List(ctx context.Context, prefix string) (Snapshot, error)
	// Commit runs one transaction.
	Commit(ctx context.Context, txn Txn) (TxnResult, error)
	// CommitAll runs independent transactions in one call; each succeeds or fails by itself.
	CommitAll(ctx context.Context, txns []Txn) ([]TxnResult, error)
	// GrantLease creates a lease with the time to live, in whole seconds.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; it returns ErrLeaseNotFound when the lease has expired.
	KeepAlive(ctx context.Context, lease LeaseID) (time.Duration, error)
	// RevokeLease ends a lease and deletes its keys.
	RevokeLease(ctx context.Context, lease LeaseID) error
	// Watch reports changes of keys with the prefix after the revision until ctx ends.
	Watch(ctx context.Context, prefix string, after Revision) (<-chan WatchEvent, error)
}

// Prefixes and keys of the store.
const (
	KeyPrefix       = "catkincove/"
	WatchPrefix     = KeyPrefix + "live/"
	HeadKey         = WatchPrefix + "head"
	ConfigPrefix    = WatchPrefix + "config/"
	MemberPrefix    = WatchPrefix + "member/"
	OwnerPrefix     = WatchPrefix + "owner/"
	CrashPrefix     = WatchPrefix + "crash/"
	BaselinePrefix  = WatchPrefix + "baseline/"
	TicketPrefix    = KeyPrefix + "ticket/"
	OncePrefix      = KeyPrefix + "once/"
	OriginPrefix    = KeyPrefix + "origin/"
	MaxStoreValue   = 1 << 20 // bytes
	MaxTxnOps       = 128
	DefaultStoreRTT = time.Second
)

// WatchPace says how often a watch calls the store; a zero field stands for the default.
type WatchPace struct {
	Wait     time.Duration // longest wait for a change before the store responds
	Interval time.Duration // time between a response with changes and the next call, which collects several changes
}

// WatchPacer is a store whose watches can be paced; others use fixed times.
type WatchPacer interface {
	SetWatchPace(pace WatchPace)
}
