package shift

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/canary"
	"catkincove/core/fakes"
	"catkincove/core/place"
	plat "catkincove/platform"
)

// lonely is a fleet of one daemon.
type lonely struct{}

func (lonely) State(string) State { return State{Self: "d", Daemons: []core.MemberID{"d"}} }

func (lonely) Call(context.Context, string, string, any, any) error {
	return errors.New("no other daemon")
}

func (lonely) Changed(string) {}

const statusKey = "status/rollout/ledger"

func newMover(store core.Store) *Mover {
	log := zerolog.Nop()
	return New(Options{
		Clock: &fakes.Clock{}, Store: store, Dialect: plat.Dialect{}, Log: &log, Fleet: lonely{},
		Bounds: func() canary.Bounds { return canary.Bounds{Share: 0.1, Slack: 50, Rollback: 5 * time.Second} },
	})
}

func orderOf(version string, revision core.Revision) Order {
	return Order{RolloutOrder: core.RolloutOrder{Service: "ledger", Version: version, Duration: time.Minute}, Revision: revision}
}

func targetsOf(versions ...string) map[string][]place.Target {
	targets := map[string][]place.Target{}
	for _, version := range versions {
		targets["ledger"] = append(targets["ledger"], place.Target{ID: version, Version: version})
	}
	return targets
}

// put writes a status and returns its revision.
func put(t *testing.T, store *fakes.Store, phase core.RolloutPhase, version string) core.Revision {
	t.Helper()
	value := plat.Dialect{}.EncodeRolloutStatus(core.RolloutStatus{Phase: phase, Version: version})
	result, err := store.Commit(t.Context(), core.Txn{Puts: []core.Put{{Key: statusKey, Value: value}}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// TestStatusOfEarlierOrder guards against a rollout that counts as ended because of the status of an order before it, or that begins again after its end.
func TestStatusOfEarlierOrder(t *testing.T) {
	for _, test := range []struct {
		name      string
		version   string // of the status
		after     bool   // it was written after the order
		phase     core.RolloutPhase
		inherited bool
	}{
		{"before the order", "v2", false, core.RolloutRunning, false},
		{"of another version", "v1", true, core.RolloutRunning, false},
		{"of the order", "v2", true, core.RolloutSucceeded, true},
	} {
		store := &fakes.Store{}
		written := put(t, store, core.RolloutSucceeded, test.version)
		order := orderOf("v2", written+1)
		if test.after {
			order.Revision = written - 1
		}
		result, err := newMover(store).write(t.Context(), order, 0, core.RolloutRunning)
		if err != nil || result.phase != test.phase || result.inherited != test.inherited {
			t.Errorf("%s: %+v, error %v", test.name, result, err)
		}
	}
}

// TestFrozenDecider guards against a decider that was stopped for a while and then writes its decision over that of the daemon in its place.
func TestFrozenDecider(t *testing.T) {
	store := &fakes.Store{}
	order := orderOf("v2", put(t, store, core.RolloutRolledBack, "v1")) // an older status
	frozen, next := newMover(store), newMover(store)
	first, err := frozen.write(t.Context(), order, 0, core.RolloutRunning)
	if err != nil || first.inherited {
		t.Fatalf("%+v, error %v", first, err)
	}
	second, err := next.write(t.Context(), order, 0, core.RolloutRunning)
	if err != nil || !second.inherited {
		t.Fatalf("the next decider: %+v, error %v", second, err)
	}
	if _, err := frozen.write(t.Context(), order, first.revision, core.RolloutSucceeded); !errors.Is(err, errStatusChanged) {
		t.Errorf("the frozen decider: error %v", err)
	}
	if result, err := next.write(t.Context(), order, second.revision, core.RolloutRolledBack); err != nil || result.phase != core.RolloutRolledBack {
		t.Errorf("the next decider: %+v, error %v", result, err)
	}
	if result, err := frozen.write(t.Context(), order, 0, core.RolloutRunning); err != nil || result.phase != core.RolloutRolledBack {
		t.Errorf("the frozen decider begins again: %+v, error %v", result, err)
	}
}

// TestVersions guards against requests at a version that they must not reach: without a grant, as a repeat, and after the end or withdrawal of an order.
func TestVersions(t *testing.T) {
	mover := newMover(&fakes.Store{})
	mover.options.Clock.(*fakes.Clock).Advance(time.Hour)
	check := func(name string, repeat bool, want place.Versions) {
		t.Helper()
		if got := mover.Versions("ledger", "book", &Choice{}, repeat); got != want {
			t.Errorf("%s: %+v, want %+v", name, got, want)
		}
	}
	full := canary.Grant{Share: 1, For: time.Hour, Bounds: canary.Bounds{Share: 1, Slack: 1000}, Daemons: 1}
	old, fresh := place.Versions{Except: "v2"}, place.Versions{Only: "v2"}
	check("no order", false, place.Versions{})
	mover.Follow([]Order{orderOf("v2", 5)})
	mover.SetTargets(targetsOf("v1", "v2"))
	check("no grant", false, old)
	mover.apply("ledger", 4, full, false, "")
	check("grant for another order", false, old)
	mover.apply("ledger", 5, full, false, "")
	check("granted", false, fresh)
	check("repeat", true, old)
	choice := Choice{}
	if got := mover.Versions("ledger", "book", &choice, false); got != fresh || !choice.Retreat() || mover.Versions("ledger", "book", &choice, false) != old {
		t.Error("a request that found no new target does not turn to the old ones")
	}
	mover.SetTargets(targetsOf("v2"))
	check("no old targets", false, place.Versions{})
	mover.SetTargets(targetsOf("v1", "v2"))
	mover.Follow(nil)
	check("withdrawn", false, old)
	mover.Follow([]Order{orderOf("v3", 9)})
	mover.SetTargets(targetsOf("v1", "v3"))
	if usable := mover.Usable("ledger", targetsOf("v1", "v2", "v3")["ledger"]); len(usable) != 2 || usable[0].Version != "v1" || usable[1].Version != "v3" {
		t.Errorf("usable after another order: %v", usable)
	}
	mover.apply("ledger", 9, canary.Grant{Share: 1, Phase: core.RolloutSucceeded}, true, "")
	if usable := mover.Usable("ledger", targetsOf("v1", "v2", "v3")["ledger"]); len(usable) != 1 || usable[0].Version != "v3" {
		t.Errorf("usable after success: %v", usable)
	}
	released := targetsOf("v3", "v4")["ledger"]
	released = append(released, place.Target{ID: "again", Version: "v1", StartedAt: mover.options.Clock.Now().Add(time.Minute)})
	if usable := mover.Usable("ledger", released); len(usable) != 3 {
		t.Errorf("usable of a later release: %v", usable)
	}
	mover.apply("ledger", 9, canary.Grant{Phase: core.RolloutRolledBack}, false, "")
	if usable := mover.Usable("ledger", targetsOf("v1", "v3")["ledger"]); len(usable) != 1 {
		t.Errorf("a phase that the store holds gave way: %v", usable)
	}
	for i, version := range []string{"v4", "v5"} { // neither succeeds
		mover.Follow([]Order{orderOf(version, core.Revision(10+i))})
		mover.SetTargets(targetsOf("v3", version))
		if usable := mover.Usable("ledger", targetsOf("v1", "v3", version)["ledger"]); len(usable) != 2 || usable[0].Version != "v3" {
			t.Errorf("usable with the order for %s: %v", version, usable)
		}
	}
}

// TestOldRequestsAreCounted guards against a success while requests from before the order are still at old targets.
func TestOldRequestsAreCounted(t *testing.T) {
	mover := newMover(&fakes.Store{})
	before := mover.Begin("ledger", "v1", "book")
	mover.Follow([]Order{orderOf("v2", 5)})
	after := mover.Begin("ledger", "v1", "book")
	other := mover.Begin("ledger", "v2", "book")
	known := mover.rollouts["ledger"]
	if count := mover.oldInProgress(known); count != 2 {
		t.Errorf("%d old requests in progress, want 2", count)
	}
	for _, passage := range []*Passage{before, after, other} {
		passage.End(canary.Good)
		passage.End(canary.Bad)
	}
	if count := mover.oldInProgress(known); count != 0 || len(mover.inProgress) != 0 {
		t.Errorf("%d old requests in progress after their end", count)
	}
}

// TestOrderAfterRestore guards against a bad version that has its bounds once more, and requests that never seem to end, because a restored store holds
// an earlier order, or none, until the operator writes the present one again.
func TestOrderAfterRestore(t *testing.T) {
	mover := newMover(&fakes.Store{})
	restored := func(version string, number int64) Order {
		return orderOf(version, core.NewRevision(1, number))
	}
	mover.Follow([]Order{orderOf("v2", 5)})
	mover.SetTargets(targetsOf("v1", "v2"))
	passage := mover.Begin("ledger", "v2", "book")
	before := mover.rollouts["ledger"]
	mover.Follow([]Order{restored("v1", 3)})
	mover.Follow([]Order{restored("v2", 9)})
	if mover.rollouts["ledger"] != before || before.order.Revision.Epoch() != 1 {
		t.Error("the order has begun anew")
	}
	passage.End(canary.Bad)
	if report := before.recorder.Report(mover.options.Clock.Now()); len(report.Routes) != 1 || report.Routes[0].New.Bad != 1 {
		t.Errorf("the end of a request from before the restore is not counted: %+v", report)
	}
}
