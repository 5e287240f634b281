package shift

import (
	"context"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/canary"
	"catkincove/core/place"
)

const (
	maxOrderLag    = 500 * time.Millisecond // an order may be older by this much than the copy of the store that shows it
	maxCallCredits = 2                      // calls to the new version that may be due at a time, so that none burst after a wait for a free target
)

// Order is an order as the store holds it.
type Order struct {
	core.RolloutOrder
	Revision core.Revision // its last write
}

// Fleet is what a Mover asks the daemon.
type Fleet interface {
	// State returns what the daemon knows about the fleet and a service.
	State(service string) State
	// Call sends a message to the daemon at an address and reads its reply.
	Call(ctx context.Context, address, path string, message, reply any) error
	// Changed is called, without locks, when other targets of a service may get requests than before.
	Changed(service string)
}

// State is the part of the fleet's state that matters for the rollout of one service.
type State struct {
	Self      core.MemberID
	Decider   string          // address of the daemon that decides; empty for this one
	Daemons   []core.MemberID // daemons in touch, with this one
	Large     bool            // the fleet is large
	Disturbed bool            // the store or the network is
	Leaving   bool            // this daemon is
	Single    bool            // the decider sends all requests of the service
}

// Options are what a Mover works with.
type Options struct {
	Clock   core.Clock
	Store   core.Store
	Dialect core.Dialect
	Log     *zerolog.Logger
	Fleet   Fleet
	Bounds  func() canary.Bounds
}

// Mover divides the requests of one daemon between the versions of the services with an order, and decides about those that this daemon is
// the decider of. Its methods are safe for concurrent use; without an order they change nothing.
type Mover struct {
	options Options
	active  atomic.Int64 // services with a rollout

	mutex      sync.Mutex
	rollouts   map[string]*rollout
	inProgress map[arm]int
}

// arm is a service at one version.
type arm struct {
	service string
	version string
}

// rollout is what this daemon knows about the rollout of one service.
type rollout struct {
	order        Order
	issuedAt     time.Time // earliest time at which the order may have been written, as far as known
	withdrawn    bool
	banned       map[string]time.Time // versions whose targets get nothing; until the time at which those that do not started, or all if it is zero
	seen         map[string]bool      // versions of usable targets since the order
	restoredFrom *rollout             // what was under way when a restore of the store brought this order back; nil otherwise

	hasOld   bool // targets of other versions are usable
	hasNew   bool
	counts   [2]int // usable targets of the other versions and of the new one
	recorder canary.Recorder
	splitter canary.Splitter
	grant    canary.Grant
	validTo  time.Time // of the grant
	credits  int       // batch calls that may go to the new version, at a share below 1
	next     canary.Arm
	chosen   bool // next is the side of the next batch call, at share 1

	phase      core.RolloutPhase
	settled    bool      // the store holds the final phase
	busy       bool      // a step is in progress
	reportedAt time.Time // last report to the decider
	reported   int64     // requests that had begun by then
	begun      int64     // requests since the order
	role       *role     // nil unless this daemon decides
}

// New returns a mover without orders.
func New(options Options) *Mover {
	return &Mover{options: options, rollouts: map[string]*rollout{}, inProgress: map[arm]int{}}
}

// Follow takes the orders that the store holds.
//
// An order that is gone before its end, withdrawn or lost in a restore of the store, leaves the service at the old version.
func (mover *Mover) Follow(orders []Order) {
	if len(orders) == 0 && mover.active.Load() == 0 {
		return
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	present := map[string]bool{}
	for _, order := range orders {
		present[order.Service] = true
		mover.take(mover.options.Clock.Now(), order)
	}
	for service, known := range mover.rollouts {
		if !present[service] && !known.withdrawn {
			known.withdrawn, known.role = true, nil
			mover.log(eventWithdrawn, known).Str("Phase", known.phase.String()).Msg("the order of the rollout is gone")
		}
	}
	mover.active.Store(int64(len(mover.rollouts)))
}

// SetTargets takes the usable targets of all services. A rollout without an order is forgotten when targets of one side only are left.
func (mover *Mover) SetTargets(targets map[string][]place.Target) {
	if mover.active.Load() == 0 {
		return
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	for service, known := range mover.rollouts {
		known.counts = [2]int{}
		for _, target := range targets[service] {
			known.counts[known.armOf(target.Version)]++
			known.seen[target.Version] = true
		}
		known.hasOld, known.hasNew = known.counts[canary.Old] > 0, known.counts[canary.New] > 0
		if known.withdrawn && (!known.hasNew || known.phase != core.RolloutSucceeded && !known.hasOld) {
			delete(mover.rollouts, service)
		}
	}
	mover.active.Store(int64(len(mover.rollouts)))
}

// take adopts an order. One that is written again in a store that was restored goes on.
func (mover *Mover) take(now time.Time, order Order) {
	known := mover.rollouts[order.Service]
	if known != nil && known.order.Revision == order.Revision {
		known.withdrawn = false // a copy from before the order was removed
		return
	}
	for _, before := range []*rollout{known, known.beforeRestore()} {
		if before != nil && before.order.RolloutOrder == order.RolloutOrder && before.order.Revision.Epoch() != order.Revision.Epoch() {
			before.order.Revision, before.withdrawn, before.role, before.settled = order.Revision, false, nil, false
			mover.rollouts[order.Service] = before
			return
		}
	}
	started := &rollout{order: order, issuedAt: now.Add(-maxOrderLag), banned: map[string]time.Time{}, seen: map[string]bool{}}
	if known != nil {
		started.follow(known)
	}
	if known != nil && known.order.Revision.Epoch() != order.Revision.Epoch() {
		started.restoredFrom = known
	}
	mover.rollouts[order.Service] = started
	mover.log(eventStarted, started).Dur("Duration", order.Duration).Int64("Revision", order.Revision.Number()).Msg("the operator moves the service to another version")
}

// beforeRestore returns the rollout that was under way when the store was restored, if the store held this one's order then; nil otherwise.
func (known *rollout) beforeRestore() *rollout {
	if known == nil {
		return nil
	}
	return known.restoredFrom
}

// follow keeps what an earlier order of the service has decided about other versions.
func (known *rollout) follow(earlier *rollout) {
	maps.Copy(known.banned, earlier.banned)
	if earlier.phase != core.RolloutSucceeded {
		known.banned[earlier.order.Version] = time.Time{}
	}
	delete(known.banned, known.order.Version)
}

// banOthers leaves out the targets of the other versions that have started until now.
func (known *rollout) banOthers(now time.Time) {
	for version := range known.seen {
		if version != known.order.Version {
			known.banned[version] = now
		}
	}
}

func (mover *Mover) log(event string, known *rollout) *zerolog.Event {
	return mover.options.Log.Info().Str(eventField, event).Str("Service", known.order.Service).Str("Version", known.order.Version)
}

func (known *rollout) armOf(version string) canary.Arm {
	if version == known.order.Version {
		return canary.New
	}
	return canary.Old
}

// Usable returns the targets of a service that may get anything at all. The old ones stop when a rollout has succeeded, and those of
// versions whose orders were replaced before that are left out, too, while there are others.
func (mover *Mover) Usable(service string, targets []place.Target) []place.Target {
	if mover.active.Load() == 0 {
		return targets
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	known := mover.rollouts[service]
	if known == nil {
		return targets
	}
	var usable []place.Target
	for _, target := range targets {
		// A target that has started since is of a later release, without an order.
		until, banned := known.banned[target.Version]
		if !banned || !until.IsZero() && target.StartedAt.After(until) {
			usable = append(usable, target)
		}
	}
	if len(usable) == 0 {
		return targets
	}
	return usable
}

// Choice is the side of a rollout to which a request goes; the zero value has none.
type Choice struct {
	rollout *rollout
	arm     canary.Arm
}

// Retreat turns a request that found no target of the new version to the others, and reports whether it had been meant for the new one.
func (choice *Choice) Retreat() bool {
	turned := choice.arm == canary.New
	choice.arm = canary.Old
	return turned
}

// Versions returns the versions that a request may go to. It chooses once for each request; a repeat goes to the old version.
func (mover *Mover) Versions(service, route string, choice *Choice, repeat bool) place.Versions {
	if mover.active.Load() == 0 {
		return place.Versions{}
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	known := mover.rollouts[service]
	if known == nil {
		return place.Versions{}
	}
	if choice.rollout != known {
		*choice = Choice{rollout: known, arm: known.splitter.ChooseRoute(mover.options.Clock.Now(), route)}
		if repeat || known.withdrawn || !known.hasNew {
			choice.arm = canary.Old
		}
	} else if repeat {
		choice.arm = canary.Old
	}
	switch {
	case !known.hasOld || !known.hasNew || known.phase == core.RolloutSucceeded:
		return place.Versions{} // the targets of one side are the only ones
	case choice.arm == canary.New && known.phase == core.RolloutRunning && !known.withdrawn:
		return place.Versions{Only: known.order.Version}
	}
	return place.Versions{Except: known.order.Version}
}

// Passage is a request at a target.
type Passage struct {
	mover   *Mover
	at      arm
	rollout *rollout // nil if no order was in force
	request canary.Request
	ended   bool
}

// Begin counts a request that is sent to a target; End must follow.
func (mover *Mover) Begin(service, version, route string) *Passage {
	passage := &Passage{mover: mover, at: arm{service: service, version: version}}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	mover.inProgress[passage.at]++
	if known := mover.rollouts[service]; known != nil && !known.withdrawn {
		known.begun++
		passage.rollout = known
		passage.request = known.recorder.Begin(mover.options.Clock.Now(), route, known.armOf(version))
	}
	return passage
}

// Answered counts the first event of a stream.
func (passage *Passage) Answered() {
	if passage == nil || passage.rollout == nil {
		return
	}
	passage.mover.mutex.Lock()
	defer passage.mover.mutex.Unlock()
	passage.record(canary.Good)
}

// End counts the end of the request; only the first call has an effect.
func (passage *Passage) End(outcome canary.Outcome) {
	if passage == nil {
		return
	}
	mover := passage.mover
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	if passage.ended {
		return
	}
	passage.ended = true
	if mover.inProgress[passage.at]--; mover.inProgress[passage.at] == 0 {
		delete(mover.inProgress, passage.at)
	}
	passage.record(outcome)
	if passage.rollout != nil {
		passage.rollout.recorder.Finish(mover.options.Clock.Now(), passage.request)
	}
}

// record counts an outcome; the mutex must be held.
func (passage *Passage) record(outcome canary.Outcome) {
	if passage.rollout != nil {
		passage.rollout.recorder.End(passage.mover.options.Clock.Now(), passage.request, outcome)
	}
}

// oldInProgress returns the requests at targets of the other versions; the mutex must be held.
func (mover *Mover) oldInProgress(known *rollout) int {
	sum := 0
	for at, count := range mover.inProgress {
		if at.service == known.order.Service && at.version != known.order.Version {
			sum += count
		}
	}
	return sum
}

// Calls divides the batch calls of one service; it implements batch.Arms.
type Calls struct {
	Mover   *Mover
	Service string
}

// Allowed reports whether a target of a version may get a call now.
func (calls Calls) Allowed(version string) bool {
	mover := calls.Mover
	if mover.active.Load() == 0 {
		return true
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	known := mover.rollouts[calls.Service]
	switch {
	case known == nil || !known.hasOld || !known.hasNew || known.phase == core.RolloutSucceeded:
		return true // old targets leave the view when the rollout has succeeded
	case known.phase == core.RolloutRolledBack || known.withdrawn || !mover.options.Clock.Now().Before(known.validTo):
		return known.armOf(version) == canary.Old
	case known.grant.Share < 1:
		return known.armOf(version) == canary.Old || known.credits > 0
	}
	if !known.chosen {
		known.next, known.chosen = known.splitter.Choose(mover.options.Clock.Now()), true
	}
	return known.armOf(version) == known.next
}

// Began counts a call that is sent to a target of a version.
func (calls Calls) Began(version string) {
	mover := calls.Mover
	if mover.active.Load() == 0 {
		return
	}
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	known := mover.rollouts[calls.Service]
	if known == nil {
		return
	}
	if known.chosen {
		known.chosen = false // this call was counted when it was chosen
		return
	}
	if known.armOf(version) == canary.New {
		known.credits = max(known.credits-1, 0)
	}
	if known.splitter.Choose(mover.options.Clock.Now()) == canary.New {
		known.credits = min(known.credits+1, maxCallCredits)
	}
}

// Metrics returns the share of each rollout in thousandths and its phase, by name.
func (mover *Mover) Metrics() map[string]int64 {
	mover.mutex.Lock()
	defer mover.mutex.Unlock()
	values := map[string]int64{}
	for service, known := range mover.rollouts {
		share := known.grant.Share
		if known.phase == core.RolloutRunning && (known.withdrawn || !mover.options.Clock.Now().Before(known.validTo)) {
			share = 0
		}
		values["RolloutShare."+service] = int64(share * 1000)
		values["RolloutPhase."+service] = int64(known.phase)
	}
	return values
}
