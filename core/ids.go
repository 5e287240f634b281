package core

import (
	"fmt"
	"strings"
)

// MemberID names one run of one daemon; a restarted daemon has a new one.
type MemberID string

// TargetName names a target, unique over all pools.
type TargetName string

// TeamName names a team of callers.
type TeamName string

// RequestID identifies one request of a caller.
type RequestID string

// GrantID identifies one permission to send one request to one target.
type GrantID string

// Fingerprint identifies the content of a request: a hash of team, pipeline and body.
type Fingerprint uint64

// String returns the fingerprint as 16 hexadecimal digits.
func (fingerprint Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(fingerprint)) }

// Revision is a modification revision of the configuration store; 0 means none.
//
// A store that is restored from a backup gives out its numbers again. Its adapter puts the epoch, which counts the restores, above
// the number, so that what is written after a restore is newer than all that was written before.
type Revision int64

// EpochBits is the size of the epoch of a revision, beside its sign and its number.
const EpochBits = 63 - revisionNumberBits

// revisionNumberBits is the size of the number; 1,000 changes a second use it up in 34 years.
const revisionNumberBits = 40

// NewRevision returns the revision with a number of an epoch, which must fit into EpochBits; numbers beyond 40 bits count as the
// largest one.
func NewRevision(epoch, number int64) Revision {
	return Revision(epoch<<revisionNumberBits | min(max(number, 0), 1<<revisionNumberBits-1))
}

// InEpoch returns the revision with the same number in another epoch; no revision stays none.
func (revision Revision) InEpoch(epoch int64) Revision {
	if revision == 0 {
		return 0
	}
	return NewRevision(epoch, revision.Number())
}

// Epoch returns how often the store had been restored, as far as it tells.
func (revision Revision) Epoch() int64 { return int64(revision) >> revisionNumberBits }

// Number returns the revision as the store numbers it.
func (revision Revision) Number() int64 { return int64(revision) & (1<<revisionNumberBits - 1) }

// FencingToken orders the owners of a pool; it is the create revision of the owner key.
type FencingToken int64

// PoolID names the targets of one service in one data centre.
type PoolID struct {
	Service    string
	DataCentre string
}

// String returns the service and data centre, separated by "@".
func (poolID PoolID) String() string { return poolID.Service + "@" + poolID.DataCentre }

// ParsePoolID is the inverse of PoolID.String; it reports false for any other text.
func ParsePoolID(text string) (PoolID, bool) {
	service, dataCentre, found := strings.Cut(text, "@")
	if !found || service == "" || dataCentre == "" {
		return PoolID{}, false
	}
	return PoolID{Service: service, DataCentre: dataCentre}, true
}
