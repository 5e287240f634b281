package order

import (
	"slices"
	"strings"
	"time"

	"catkincove/core"
)

const (
	// defaultMaxTransit is the maximum time between the last check before an order is sent and its arrival at the target.
	defaultMaxTransit = time.Second
	// defaultMaxDuration bounds the execution of an order when the settings do not.
	defaultMaxDuration = 30 * time.Second
	// maxReportAge is the age up to which a load report proves that a copy of a model exists.
	maxReportAge = 5 * time.Second
)

// Model is a model, adapter or role that a target should have loaded.
type Model struct {
	Name    string
	Version string
	Bytes   int64 // size of the weights; 0 means that loads are not rate-limited
	Adapter bool
}

// Label returns the name under which load reports list the model.
func (model Model) Label() string {
	if model.Version == "" {
		return model.Name
	}
	return model.Name + ":" + model.Version
}

// Settings are the properties of a pool that the planner depends on.
type Settings struct {
	ChecksFencing  bool          // targets reject orders with an old fencing token
	MaxTransit     time.Duration // maximum time between sending an order and its arrival; 0 means 1 s
	MaxDuration    time.Duration // maximum time that a target executes an order; 0 means 30 s
	BytesPerSecond float64       // this pool's share of the rate of the weights store; 0 means no loads
	BurstBytes     float64       // capacity of the token bucket: bytes that may be loaded at once
}

func (settings Settings) maxTransit() time.Duration {
	if settings.MaxTransit <= 0 {
		return defaultMaxTransit
	}
	return settings.MaxTransit
}

func (settings Settings) maxDuration() time.Duration {
	if settings.MaxDuration <= 0 {
		return defaultMaxDuration
	}
	return settings.MaxDuration
}

// Command is an order for one target.
type Command struct {
	Target core.TargetName
	Order  core.Order

	number int64 // of the planner's commands, since a target may get the same order again
}

// Planner plans the orders of one pool; the zero value is ready to use.
type Planner struct {
	settings   Settings
	owned      bool
	fencing    core.FencingToken
	ownedSince time.Time
	bucket     bucket
	targets    map[core.TargetName]*target
	inUse      map[string]bool
	commands   int64 // planned so far
}

// target is the planner's state of one target.
type target struct {
	desired        []Model
	managed        map[string]bool // labels that the planner may unload
	reported       []string
	reportedAt     time.Time // time of the last load report
	pending        *Command
	blockedUntil   time.Time // no further order is sent before this time
	adapters       map[string]bool
	uncertainUntil map[string]time.Time // by label: only a later report proves that the model is still loaded
}

// Configure replaces the settings.
func (planner *Planner) Configure(settings Settings) {
	planner.settings = settings
}

// SetDesired sets the models that a target should have loaded; models that were desired before and no longer are get
// unloaded.
func (planner *Planner) SetDesired(name core.TargetName, models []Model) {
	target := planner.target(name)
	target.desired = slices.Clone(models)
	for _, model := range models {
		target.managed[model.Label()] = true
		target.adapters[model.Label()] = model.Adapter
	}
}

// SetInUse sets the labels of the models that requests need, whose last copy is not unloaded.
func (planner *Planner) SetInUse(labels []string) {
	planner.inUse = make(map[string]bool, len(labels))
	for _, label := range labels {
		planner.inUse[label] = true
	}
}

// Remove drops the state of a target.
func (planner *Planner) Remove(name core.TargetName) {
	delete(planner.targets, name)
}

func (planner *Planner) target(name core.TargetName) *target {
	if planner.targets == nil {
		planner.targets = map[core.TargetName]*target{}
	}
	found := planner.targets[name]
	if found == nil {
		found = &target{managed: map[string]bool{}, adapters: map[string]bool{}, uncertainUntil: map[string]time.Time{}}
		planner.targets[name] = found
	}
	return found
}

// StartOwnership begins ownership of the pool; it is called after the handover gap.
//
// Targets that ignore the fencing token may still execute the last order of the former owner for Settings.MaxDuration.
func (planner *Planner) StartOwnership(now time.Time, fencing core.FencingToken) {
	planner.owned, planner.fencing = true, fencing
	planner.ownedSince = now
	// The bucket starts empty, since the former owner may just have used the burst.
	planner.bucket = bucket{filledAt: now}
	for _, target := range planner.targets {
		target.pending = nil
		target.reportedAt, target.reported = time.Time{}, nil
	}
}

// EndOwnership ends ownership of the pool, so that no further order is sent.
func (planner *Planner) EndOwnership() { planner.owned = false }

// HandleReport applies a load report; now is the time at which it was received.
func (planner *Planner) HandleReport(now time.Time, name core.TargetName, report core.LoadReport) {
	target := planner.target(name)
	reportedAt := now.Add(-report.Age)
	if reportedAt.Before(target.reportedAt) {
		return
	}
	target.reportedAt = reportedAt
	target.reported = slices.Clone(report.Models)
}

// HandleResult records the outcome of a command; a nil error means that the target executed it.
//
// A Conflict means that the fencing token is old and ends ownership. After any other error the target may still be
// executing the order, so it gets no further one for Settings.MaxDuration.
func (planner *Planner) HandleResult(now time.Time, command Command, err error) {
	target := planner.targets[command.Target]
	if target == nil || target.pending == nil || *target.pending != command {
		return
	}
	if err == nil {
		target.pending = nil
		target.blockedUntil = now
		// Reports from before the order took effect are ignored from now on.
		target.reportedAt = now
		target.reported = modelsAfter(target.reported, command.Order)
		return
	}
	if core.AsError(err).Kind == core.Conflict {
		planner.EndOwnership()
		return
	}
	target.abandonPending(now.Add(planner.settings.maxDuration()))
}

// abandonPending drops the pending order, which the target may still execute until the given time.
func (target *target) abandonPending(until time.Time) {
	target.uncertainUntil[labelOf(target.pending.Order)] = until
	target.blockedUntil = until
	target.pending = nil
}

func modelsAfter(reported []string, order core.Order) []string {
	label := Model{Name: order.Name, Version: order.Version}.Label()
	switch order.Action {
	case core.LoadModel, core.LoadAdapter:
		if slices.Contains(reported, label) {
			return reported
		}
		return append(slices.Clone(reported), label)
	default:
		return slices.DeleteFunc(slices.Clone(reported), func(other string) bool { return other == label })
	}
}

func splitLabel(label string) (name, version string) {
	name, version, _ = strings.Cut(label, ":")
	return name, version
}
