package core

import (
	"context"
	"errors"
	"time"
)

// Heartbeat is exchanged by daemons; all times are ages, so that no common wall clock is needed.
type Heartbeat struct {
	From       MemberID
	Address    string
	DataCentre string
	Leaving    bool
	Revision   Revision      // configuration in force at the sender
	StoreAge   time.Duration // time since the sender's last successful store read; negative means never
	OutageAge  time.Duration // time since the sender last found the store unreachable; negative means no outage reported
	Gossip     []GossipEntry
	Suspects   []Suspect
	HoldsLease bool // the sender holds a lease and may own pools
	Members    int  // daemons in the sender's view; a configuration is accepted by a quorum of the largest view received
}

// GossipEntry relays the status that another member reported.
type GossipEntry struct {
	Member      MemberID
	Revision    Revision
	LastSeenAge time.Duration // time since the member reported it
	StoreAge    time.Duration // negative means never
	OutageAge   time.Duration // negative means no outage reported
}

// SuspectState says what daemons know about a request content.
type SuspectState int

// The states of a suspect.
const (
	SuspectNone        SuspectState = iota
	SuspectExclusive                // requests with the content run only while their target runs nothing else
	SuspectQuarantined              // requests with the content are rejected
)

// Suspect is a request content that was running on a target when the target crashed.
type Suspect struct {
	Fingerprint Fingerprint
	State       SuspectState
	Age         time.Duration // time since the state was set
}

// GrantRequest asks the owner of a pool for permission to send one attempt to one target.
type GrantRequest struct {
	Pool         PoolID
	Request      RequestID
	Stage        string
	Attempt      int
	Member       MemberID // the daemon that will send
	Team         TeamName
	Fingerprint  Fingerprint
	Prefix       []uint64      // chained hashes of the prompt's blocks, longest prefix last
	TimeLeft     time.Duration // time left to the request's deadline
	ReservedTime time.Duration // minimum time that later stages need
	Work         int           // expected work: tokens for a generating target, 1 otherwise
	Priority     int           // larger is served first within a team
	Revision     Revision      // configuration in force at the sender
	QueueEntry   GrantID       // queue entry from an earlier reply; empty at first
	Exclude      []TargetName  // targets that failed for this request
	// Precheck marks this as a precheck of a stage that is due after earlier stages: the owner only says whether it would
	// reject the stage. The stage gets no queue entry, but its work counts as expected until it requests a grant.
	Precheck bool
	Suspect  bool // an earlier attempt of the stage was disconnected after it was sent
}

// Grant permits one attempt on one target.
type Grant struct {
	ID           GrantID
	Pool         PoolID
	Target       TargetName
	Address      string
	SendWithin   time.Duration // time from the sending of the grant request in which the first byte must be written
	ExpiresAfter time.Duration // time after which the owner counts the grant as returned
	Exclusive    bool
}

// ErrNoOwner is the cause of an Unavailable error when no owner of a pool responds; a new owner is expected soon.
var ErrNoOwner = errors.New("pool has no owner")

// GrantReply is exactly one of a grant, a queue entry or a rejection, or none of them when a precheck passes.
type GrantReply struct {
	NotOwner   bool // rejected because the asked daemon does not own the pool
	Grant      *Grant
	QueueEntry GrantID // queue entry to send with the next request
	Rejection  *Error
	Revision   Revision // configuration in force at the owner
	Summary    PoolSummary
}

// PoolSummary is the state of a pool that its owner reports with each reply.
type PoolSummary struct {
	Free         int           // further requests that would start at once
	Waiting      int           // requests in the queue
	ExpectedWait time.Duration // expected wait of a new request
}

// Outcome says how an attempt ended.
type Outcome int

// The outcomes; the zero value counts as not sent.
const (
	OutcomeUnsent Outcome = iota
	OutcomeDone
	OutcomeRejected     // the target responded that it will not run the request
	OutcomeFailed       // the target responded with an error
	OutcomeDisconnected // the connection was refused, reset or ended early
	OutcomeTimedOut     // no response in time
	OutcomeCancelled    // abandoned by the sender or its caller
	OutcomeMismatched   // the target responded to another attempt, and may still run this one
)

// Release returns a grant to the owner.
type Release struct {
	Pool       PoolID
	Grant      GrantID
	Outcome    Outcome
	FirstToken time.Duration
	Took       time.Duration
	StartID    string // start ID from the target's response; empty if unknown
	Tokens     int
	Unsent     bool // no byte was written; with OutcomeDisconnected: the connection was refused
}

// ConfigRequest asks a peer for objects changed after the revision.
type ConfigRequest struct {
	Since Revision
}

// ConfigReply carries encoded configuration objects.
type ConfigReply struct {
	Revision Revision
	Full     bool // Objects is the whole configuration
	Objects  []Entry
	Live     []Entry // member and owner records, only in the reply to revision 0
}

// Peers calls other daemons by their address.
type Peers interface {
	// Heartbeat exchanges heartbeats.
	Heartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error)
	// Config fetches configuration changes.
	Config(ctx context.Context, address string, request ConfigRequest) (ConfigReply, error)
	// Grant sends a grant request to the pool's owner at the address.
	Grant(ctx context.Context, address string, request GrantRequest) (GrantReply, error)
	// Release returns a grant to the pool's owner at the address.
	Release(ctx context.Context, address string, release Release) error
}

// Granter obtains and returns grants for the daemon's traffic.
type Granter interface {
	// Acquire waits for a grant of the pool, or returns an *Error that is "not run". A precheck that passes returns an
	// empty permit at once.
	//
	// Permit.Usable tells whether the first byte may still be sent.
	Acquire(ctx context.Context, request GrantRequest) (Permit, error)
	// Release returns a grant; it does not block on the network.
	Release(release Release)
}

// Permit is a grant with the time from which Grant.SendWithin counts.
type Permit struct {
	Grant       Grant
	RequestedAt time.Time // when the grant request was sent
}

// Usable reports whether the first byte may still be written at now.
func (permit Permit) Usable(now time.Time) bool {
	return Elapsed(permit.RequestedAt, now) < permit.Grant.SendWithin
}

// Router orders the pools of a service for a sender; it is safe for concurrent use.
type Router interface {
	// Pools returns the pools of the service that may take new work, cheapest first; empty when there is none.
	Pools(service string) []PoolID
	// RecordSummary stores the state that a pool's owner reported.
	RecordSummary(pool PoolID, summary PoolSummary)
	// Deprioritize records that a pool's owner did not respond or that the pool failed.
	Deprioritize(pool PoolID)
}

// Gate is checked immediately before the first byte of each attempt.
type Gate interface {
	// MaySend returns an *Error that is "not run" when the configuration is not confirmed or excludes the target.
	MaySend(pool PoolID, target TargetName) error
}

// StageRecord is the cost of one stage of a finished request.
type StageRecord struct {
	Stage      string
	Service    string
	DataCentre string // data centre of the attempt whose response was used
	Took       time.Duration
	Queued     time.Duration // time spent waiting for grants
	TargetTime time.Duration // target time of the attempt whose response was used
	WastedTime time.Duration // target time of abandoned attempts
	Attempts   int
}

// RequestRecord describes one finished request for the service-level report.
type RequestRecord struct {
	Pipeline   string
	Team       TeamName
	Took       time.Duration
	Deadline   time.Duration
	FirstToken time.Duration // 0 when nothing was generated
	TokenTime  time.Duration // from the first token event to the last
	Tokens     int
	Failure    *Error // nil when the complete response was sent
	Stages     []StageRecord
}

// Recorder collects the records of finished requests; it is safe for concurrent use.
type Recorder interface {
	// Record adds one finished request.
	Record(record RequestRecord)
}

// Loop runs functions one after another on the control goroutine.
type Loop interface {
	// Post queues a function and returns at once.
	Post(function func())
}
