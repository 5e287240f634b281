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
type Revision int64

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
