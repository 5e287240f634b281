package canary

import (
	"time"

	"catkincove/core"
)

// Arm is one side of the comparison.
type Arm int

// The arms; the zero value is Old, so that an undecided request stays where it was served before.
const (
	Old Arm = iota
	New
)

// Outcome is the end of a request for the comparison.
type Outcome int

// The outcomes.
const (
	Good    Outcome = iota
	Bad             // the target failed it, or it exceeded its time limit there
	Ignored         // the end says nothing about the version: the caller left, the path or the daemon failed, or the target rejected it unrun
)

// Request identifies a request that a Recorder counts.
type Request int64

// Recorder counts the requests of one daemon since an order; Report returns sums that only grow, so that a report that is
// lost, late or repeated changes nothing. The zero value is ready to use; it is not safe for concurrent use.
type Recorder struct{}

// Begin counts a request that is sent to a target of an arm.
func (recorder *Recorder) Begin(now time.Time, route string, arm Arm) Request { panic("not built") }

// End counts the end of a request; for a stream that is its first event, or its failure at any time.
func (recorder *Recorder) End(now time.Time, request Request, outcome Outcome) { panic("not built") }

// Report returns the sums at a time.
func (recorder *Recorder) Report(now time.Time) Report { panic("not built") }

// Report holds the sums of one daemon; its fields are those of JSON messages between daemons.
type Report struct {
	Sequence int64 // rises with each report
}

// Bounds are the limits on what a bad version may get, which the operator states.
type Bounds struct {
	Share    float64       // of all requests for the service between the order and its time limit
	Slack    float64       // requests beyond the share
	Rollback time.Duration // time after the 50th bad response within which the last request is sent
}

// Grant says what a daemon may send to the new version; the zero value allows nothing.
type Grant struct {
	Share float64       // of the daemon's requests for the service; 1 means that none may go to the old version
	For   time.Duration // time for which the grant holds; after it, requests go to the old version
	Phase core.RolloutPhase
}

// Splitter divides the requests of one daemon between the arms; the zero value sends all to the old one.
type Splitter struct{}

// Use replaces the grant.
func (splitter *Splitter) Use(now time.Time, grant Grant) { panic("not built") }

// Choose returns the arm of a new request. Under a share below 1 it never exceeds the daemon's part of the bounds.
func (splitter *Splitter) Choose(now time.Time) Arm { panic("not built") }

// Judge decides the rollout of one order from the reports of all daemons.
type Judge struct{}

// JudgeOptions are the facts that a Judge begins with.
type JudgeOptions struct {
	Order     core.RolloutOrder
	IssuedAt  time.Time // time at which the order was written, as far as known; the earliest possible one otherwise
	Bounds    Bounds
	Inherited bool // another daemon has decided before, and its evidence may be lost
}

// NewJudge returns a judge without evidence.
func NewJudge(options JudgeOptions) *Judge { panic("not built") }

// Add takes the newest report of a daemon, and the streams and calls that it still has at targets of the old arm.
func (judge *Judge) Add(now time.Time, from core.MemberID, report Report, oldInProgress int) {
	panic("not built")
}

// Fleet is what the deciding daemon knows about the others.
type Fleet struct {
	Daemons    []core.MemberID // daemons in touch; all must report before the order can succeed
	NewTargets int             // usable targets of the new version
	OldTargets int
	Unstable   bool // the store or the network is disturbed, so that failures say less about the versions
}

// Decision is the outcome of a judgement.
type Decision struct {
	Grant
	Reason string // for logs: the route and the figure that decided
}

// Decide returns the present decision; RolloutSucceeded and RolloutRolledBack are final.
func (judge *Judge) Decide(now time.Time, fleet Fleet) Decision { panic("not built") }
