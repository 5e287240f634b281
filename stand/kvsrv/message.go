package kvsrv

import (
	"bytes"
	"strconv"

	"catkincove/stand/wire"
)

// object is a response in protobuf JSON: zero fields are omitted and 64-bit integers are strings.
type object wire.Object

func (object object) number(name string, value int64) object {
	if value != 0 {
		object[name] = strconv.FormatInt(value, 10)
	}
	return object
}

func (object object) bytes(name string, value []byte) object {
	if len(value) > 0 {
		object[name] = value
	}
	return object
}

func (object object) flag(name string, value bool) object {
	if value {
		object[name] = true
	}
	return object
}

func (server *Server) header() object {
	return server.headerAt(server.state.revision)
}

func (server *Server) headerAt(revision int64) object {
	return object{"cluster_id": "1", "member_id": "1", "raft_term": "1"}.number("revision", revision)
}

func (entry *entry) object() object {
	return object{}.bytes("key", entry.key).bytes("value", entry.value).
		number("create_revision", entry.createRevision).number("mod_revision", entry.modRevision).
		number("version", entry.version).number("lease", entry.lease)
}

// number is a 64-bit integer that a request encodes as a string or as a JSON number.
type number int64

// UnmarshalJSON accepts 5 and "5".
func (value *number) UnmarshalJSON(text []byte) error {
	parsed, err := strconv.ParseInt(string(bytes.Trim(text, `"`)), 10, 64)
	*value = number(parsed)
	return err
}

type rangeRequest struct {
	Key, RangeEnd       []byte
	Limit, Revision     number
	KeysOnly, CountOnly bool
}

type putRequest struct {
	Key, Value []byte
	Lease      number
}

type deleteRequest struct {
	Key, RangeEnd []byte
}

type compare struct {
	Key                         []byte
	Target, Result              string
	ModRevision, CreateRevision number
	Value                       []byte
}

type operation struct {
	RequestRange       *rangeRequest
	RequestPut         *putRequest
	RequestDeleteRange *deleteRequest
	RequestTxn         *txnRequest
}

type txnRequest struct {
	Compare          []compare
	Success, Failure []operation
}

type watchRequest struct {
	CreateRequest struct {
		Key, RangeEnd  []byte
		StartRevision  number
		ProgressNotify bool
	}
}

// The gRPC status codes of errors.
const (
	codeInvalid            = 3
	codeNotFound           = 5
	codeFailedPrecondition = 9
	codeOutOfRange         = 11
)

type statusError struct {
	code    int
	message string
}

// Error returns the message of the error.
func (statusError *statusError) Error() string { return statusError.message }

var (
	errLeaseNotFound = &statusError{codeNotFound, "etcdserver: requested lease not found"}
	errTooLarge      = &statusError{codeInvalid, "etcdserver: request is too large"}
	errTooManyOps    = &statusError{codeInvalid, "etcdserver: too many operations in txn request"}
	errDuplicateKey  = &statusError{codeInvalid, "etcdserver: duplicate key given in txn request"}
	errEmptyKey      = &statusError{codeInvalid, "etcdserver: key is not provided"}
	errCompacted     = &statusError{codeOutOfRange, "etcdserver: mvcc: required revision has been compacted"}
	errFuture        = &statusError{codeOutOfRange, "etcdserver: mvcc: required revision is a future revision"}
)
