package edge

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// registered is a registration of a ledger target at 10.8.0.1:80, as the store holds it.
type registered struct {
	id            string
	startedAt     int64 // in milliseconds
	created, last core.Revision
	change        func(*core.TargetEntry)
}

func (registered registered) entry(daemon *Daemon) core.Entry {
	target := core.TargetEntry{ID: registered.id, Service: "ledger", Address: "10.8.0.1:80", DataCentre: "dc-1", Slots: 8, Sequence: int64(registered.last.Number())}
	if registered.startedAt != 0 {
		target.StartedAt = time.UnixMilli(registered.startedAt)
	}
	if registered.change != nil {
		registered.change(&target)
	}
	value, err := json.Marshal(target)
	if err != nil {
		panic(err)
	}
	return core.Entry{Key: daemon.dialect.TargetPrefix() + registered.id, Value: value, ModRevision: registered.last, CreateRevision: registered.created}
}

// usableAt returns the IDs, sorted, under which the targets of a service at an address get requests.
func usableAt(daemon *Daemon, address string) []string {
	var ids []string
	for _, targets := range daemon.view.Load().targets {
		for _, target := range targets {
			if target.Address == address {
				ids = append(ids, target.ID)
			}
		}
	}
	slices.Sort(ids)
	return ids
}

// apply lets the daemon watch changes of registrations, and waits until its view follows.
func (registered registered) apply(daemon *Daemon) {
	daemon.do(func() {
		daemon.apply(core.WatchEvent{Revision: max(registered.last, daemon.control.registrations.Revision()), Puts: []core.Entry{registered.entry(daemon)}})
	})
	daemon.do(func() {})
}

// TestTargetStartsAgainAtItsAddress guards against requests that name a target which has ended, because another one has started at its address and its
// registration has not lapsed yet, and against a live target that gets no requests since a registration with its address only looks like a later one.
func TestTargetStartsAgainAtItsAddress(t *testing.T) {
	drains := func(target *core.TargetEntry) { target.Draining = true }
	former := registered{id: "former", startedAt: 1000, created: 10, last: 12}
	for _, test := range []struct {
		name    string
		entries []registered
		want    string
	}{
		{"started and registered later", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20}}, "new"},
		{"the former one is read late", []registered{{id: "new", startedAt: 5000, created: 20, last: 20}, former}, "new"},
		{"the new one goes on", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 30}}, "new"},
		{"twice", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20}, {id: "newest", startedAt: 8000, created: 25, last: 25}}, "newest"},
		{"the new one leaves", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20}, {id: "new", startedAt: 5000, created: 20, last: 24, change: drains}}, ""},
		{"the new one was never ready", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 24, change: drains}}, "former"},
		{"the former one was leaving", []registered{{id: "former", startedAt: 1000, created: 10, last: 12, change: drains}, {id: "new", startedAt: 5000, created: 20, last: 20}}, "new"},
		{"both at one moment", []registered{former, {id: "new", startedAt: 1000, created: 20, last: 20}}, "former new"},
		{"clock set back", []registered{former, {id: "new", startedAt: 500, created: 20, last: 20}}, "former new"},
		{"no start", []registered{former, {id: "new", created: 20, last: 20}}, "former new"},
		{"no start of the former one", []registered{{id: "former", created: 10, last: 12}, {id: "new", startedAt: 5000, created: 20, last: 20}}, "former new"},
		{"start at zero", []registered{{id: "former", created: 10, last: 12, change: func(target *core.TargetEntry) { target.StartedAt = time.UnixMilli(0) }}, {id: "new", startedAt: 5000, created: 20, last: 20}}, "former new"},
		{"no revision", []registered{former, {id: "new", startedAt: 5000, last: 20}}, "former new"},
		{"the former one is written again", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20}, {id: "former", startedAt: 1000, created: 10, last: 21}}, "former new"},
		{"under an ID of before", []registered{former, {id: "new", startedAt: 5000, created: 5, last: 20}}, "former new"},
		{"of another service", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20, change: func(target *core.TargetEntry) { target.Service = "stock" }}}, "former new"},
		{"of a service that does not exist", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20, change: func(target *core.TargetEntry) { target.Service = "none" }}}, "former new"},
		{"in another data centre", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20, change: func(target *core.TargetEntry) { target.DataCentre = "dc-2" }}}, "former new"},
		{"at another address", []registered{former, {id: "new", startedAt: 5000, created: 20, last: 20, change: func(target *core.TargetEntry) { target.Address = "10.8.0.2:80" }}}, "former"},
	} {
		t.Run(test.name, func(t *testing.T) {
			daemon := newFleetMember(t)
			for _, entry := range test.entries {
				entry.apply(daemon)
			}
			got := usableAt(daemon, "10.8.0.1:80")
			if test.name == "of a service that does not exist" {
				got = append(got, "new")[:2] // nothing asks for it
			}
			if strings.Join(got, " ") != test.want {
				t.Errorf("usable %q, want %q", got, test.want)
			}
		})
	}
}

// TestLiveTargetIsReinstated guards against a live target that gets no requests because a registration with its address, of a target that has ended or of none,
// looks like a later one: what answers at the address, or the target's own registration, is believed.
func TestLiveTargetIsReinstated(t *testing.T) {
	live, other := registered{id: "live", startedAt: 1000, created: 10, last: 12}, registered{id: "other", startedAt: 5000, created: 20, last: 20}
	for _, test := range []struct {
		name string
		play func(*Daemon)
		want string
	}{
		{"nothing", func(*Daemon) {}, "other"},
		{"its target answers that it is another one", func(daemon *Daemon) {
			daemon.observeAnswer(targetAnswer{service: "ledger", target: "other", startedAt: time.UnixMilli(5000), status: http.StatusMisdirectedRequest})
		}, "live other"},
		{"and registers further", func(daemon *Daemon) {
			daemon.observeAnswer(targetAnswer{service: "ledger", target: "other", startedAt: time.UnixMilli(5000), status: http.StatusMisdirectedRequest})
			registered{id: "other", startedAt: 5000, created: 20, last: 22}.apply(daemon)
		}, "live other"},
		{"and starts again", func(daemon *Daemon) {
			daemon.observeAnswer(targetAnswer{service: "ledger", target: "other", startedAt: time.UnixMilli(5000), status: http.StatusMisdirectedRequest})
			registered{id: "other", startedAt: 6000, created: 20, last: 22}.apply(daemon)
		}, "other"},
		{"another daemon's request was answered so", func(daemon *Daemon) {
			daemon.do(func() {
				daemon.recordPrefill(prefillMessage{Service: "ledger", Target: "other", Attempt: "a", Misdirected: true})
			})
		}, "live other"},
		{"a request under the ID that is left out is answered so", func(daemon *Daemon) {
			daemon.observeAnswer(targetAnswer{service: "ledger", target: "live", startedAt: time.UnixMilli(1000), status: http.StatusMisdirectedRequest})
		}, "other"},
		{"its registration differs in its sequence", func(daemon *Daemon) {
			registered{id: "live", startedAt: 1000, created: 10, last: 21}.apply(daemon)
		}, "live other"},
		{"the other registration ends", func(daemon *Daemon) {
			daemon.do(func() {
				daemon.apply(core.WatchEvent{Revision: 21, Deletes: []string{daemon.dialect.TargetPrefix() + "other"}})
			})
		}, "live"},
		{"the other registration is only retained", func(daemon *Daemon) {
			daemon.markStoreUnavailable(core.ErrStoreUnavailable)
			daemon.do(func() {
				daemon.apply(core.WatchEvent{Revision: 21, Deletes: []string{daemon.dialect.TargetPrefix() + "other"}})
			})
		}, "live"},
		{"the store is restored and holds the other registration alone", func(daemon *Daemon) {
			daemon.do(func() {
				daemon.replaceCopies(core.Snapshot{Revision: core.NewRevision(1, 20), Entries: []core.Entry{registered{id: "other", startedAt: 5000, created: core.NewRevision(1, 20), last: core.NewRevision(1, 20)}.entry(daemon)}})
			})
		}, "live other"},
	} {
		t.Run(test.name, func(t *testing.T) {
			daemon := newFleetMember(t)
			live.apply(daemon)
			other.apply(daemon)
			test.play(daemon)
			daemon.do(func() {})
			daemon.do(func() {})
			if got := strings.Join(usableAt(daemon, "10.8.0.1:80"), " "); got != test.want {
				t.Errorf("usable %q, want %q", got, test.want)
			}
		})
	}
}

// TestResultsOfFormerTarget guards against results that are not freed at a target because the one that had its address before stated a pause.
func TestResultsOfFormerTarget(t *testing.T) {
	daemon := newFleetMember(t)
	registered{id: "former", startedAt: 1000, created: 10, last: 12}.apply(daemon)
	daemon.pauseTarget(targetAnswer{service: "ledger", target: "former", startedAt: time.UnixMilli(1000), facts: core.TargetResponse{Pause: time.Minute}})
	registered{id: "new", startedAt: 5000, created: 20, last: 20}.apply(daemon)
	daemon.do(func() {
		for range 20 {
			if delay := daemon.freeDelayOf(daemon.clock.Now(), "10.8.0.1:80"); delay > 0 {
				t.Errorf("results wait for %v", delay)
				return
			}
		}
	})
}

// TestLiveTargetIsNotSuperseded guards against a live target that gets no requests since another registration with its address is taken for a later one, in random
// histories of an address: processes follow one another, under new IDs or former ones and by any clock, registrations lapse or stay, and the store is restored.
func TestLiveTargetIsNotSuperseded(t *testing.T) {
	type item struct {
		entry core.Entry
		run   int
	}
	checked, superseded := 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		daemon := newFleetMember(t)
		items, backup := map[string]item{}, map[string]item{}
		number, backupNumber, epoch := int64(10), int64(10), int64(0)
		live, run, seen := registered{}, 0, 0 // seen is the last run whose registration the daemon has read
		for step := range 120 {
			switch random.IntN(7) {
			case 0:
				run++ // the process ends, and another one begins
				live = registered{id: fmt.Sprint("run", run), startedAt: 1000 + random.Int64N(20)*100 + int64(run)*random.Int64N(2)*1000}
				if random.IntN(4) == 0 {
					live.id = fmt.Sprint("run", 1+random.IntN(run))
				}
			case 1, 2, 3:
				if run == 0 {
					continue
				}
				number++
				live.last = core.NewRevision(epoch, number)
				live.created = live.last
				if known, found := items[live.id]; found {
					live.created = known.entry.CreateRevision
				}
				items[live.id] = item{live.entry(daemon), run}
			case 4:
				for id := range items {
					if random.IntN(4) == 0 {
						delete(items, id)
						number++
					}
				}
			case 5:
				if random.IntN(3) == 0 {
					backup, backupNumber = maps.Clone(items), number
				}
			case 6:
				if random.IntN(6) > 0 {
					continue
				}
				epoch++
				items, number = map[string]item{}, backupNumber
				for id, kept := range backup {
					kept.entry.CreateRevision, kept.entry.ModRevision = kept.entry.CreateRevision.InEpoch(epoch), kept.entry.ModRevision.InEpoch(epoch)
					items[id] = kept
				}
				backup = maps.Clone(items)
			}
			if random.IntN(3) == 0 {
				continue // the daemon learns it later
			}
			var entries []core.Entry
			for _, item := range items {
				entries = append(entries, item.entry)
			}
			daemon.do(func() {
				daemon.control.registrations.Replace(daemon.clock.Now(), core.Snapshot{Revision: core.NewRevision(epoch, number), Entries: entries})
				daemon.rebuildView()
			})
			view := daemon.view.Load()
			superseded += len(view.superseded)
			known, found := items[live.id]
			if found && known.run == run {
				seen = run
			}
			if seen == run && run > 0 && (!found || known.run == run) { // it may also be missing in the store, and be retained
				checked++
				if by := view.superseded[live.id]; by != "" {
					t.Fatalf("seed %d, step %d: %s is live and counts as superseded by %s", seed, step, live.id, by)
				}
			}
		}
	}
	if checked < 1000 || superseded < 200 {
		t.Errorf("%d states with a live target, %d targets superseded", checked, superseded)
	}
	t.Logf("%d states with a live target, %d targets superseded", checked, superseded)
}

// TestWriteOfLiveTargetReachesOtherDaemons guards against a live target that gets no requests of daemons which copy from another one, because a registration with
// its address looks like a later one and its own writes, which show that it lives, differ from what they know in their sequence only.
func TestWriteOfLiveTargetReachesOtherDaemons(t *testing.T) {
	live, other := registered{id: "live", startedAt: 1000, created: 10, last: 12}, registered{id: "other", startedAt: 5000, created: 20, last: 20}
	for _, test := range []struct {
		name string
		play func(relay *Daemon)
	}{
		{"left out at the relay, too", func(relay *Daemon) { other.apply(relay) }},
		{"the relay has had a response of the target", func(relay *Daemon) {
			other.apply(relay)
			relay.observeAnswer(targetAnswer{service: "ledger", target: "other", startedAt: time.UnixMilli(5000), status: http.StatusMisdirectedRequest})
			relay.do(func() {})
		}},
		{"the relay reads both writes together", func(relay *Daemon) {
			relay.do(func() {
				relay.apply(core.WatchEvent{Revision: 21, Puts: []core.Entry{other.entry(relay), registered{id: "live", startedAt: 1000, created: 10, last: 21}.entry(relay)}})
			})
			relay.do(func() {})
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			relay, daemon := newFleetMember(t), newFleetMember(t)
			copyAll := func() {
				var since core.Revision
				daemon.do(func() { since = daemon.control.registrations.Revision() })
				var part copyPart
				relay.do(func() {
					event, whole := relay.control.registrations.Since(since)
					part = copyPart{Revision: event.Revision, Whole: whole, Puts: event.Puts, Deletes: event.Deletes}
				})
				daemon.do(func() { daemon.mergePart(daemon.clock.Now(), &daemon.control.registrations, part) })
				daemon.do(func() {})
			}
			live.apply(relay)
			copyAll()
			test.play(relay)
			copyAll()
			if got := strings.Join(usableAt(daemon, "10.8.0.1:80"), " "); got != "other" {
				t.Fatalf("usable %q before the write, want other", got)
			}
			writes := 0
			for last := core.Revision(30); last <= 60; last += 10 {
				registered{id: "live", startedAt: 1000, created: 10, last: last}.apply(relay)
				before := relay.view.Load()
				copyAll()
				if relay.view.Load() != before {
					t.Error("a copy rebuilds the view of the relay")
				}
				if got := strings.Join(usableAt(daemon, "10.8.0.1:80"), " "); got != "live other" {
					t.Errorf("usable %q after the write at %d, want live and other", got, last)
				}
				var puts int
				relay.do(func() {
					event, _ := relay.control.registrations.Since(last - 1)
					puts = len(event.Puts)
				})
				writes += puts
			}
			if writes > 1 {
				t.Errorf("%d writes reach other daemons, want the first one alone", writes)
			}
		})
	}
}

// TestLiveTargetIsUsedThroughRelay guards against a live target that gets no requests of a daemon which copies from another one for longer than a heartbeat, in random
// histories of an address: processes follow one another by any clock, registrations that nothing stands behind come and go, the relay gets responses that the superseding
// target is another one, registrations lapse, and the store is restored.
func TestLiveTargetIsUsedThroughRelay(t *testing.T) {
	checked, leftOut := 0, 0
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 2))
		relay, daemon := newFleetMember(t), newFleetMember(t)
		number, epoch := int64(10), int64(0)
		items := map[string]registered{}
		runs, live := 0, ""
		event := core.WatchEvent{} // that the relay has not read yet
		read := func() {
			event.Revision = core.NewRevision(epoch, number)
			relay.do(func() { relay.apply(event) })
			relay.do(func() {})
			event = core.WatchEvent{}
		}
		write := func(id string, startedAt int64) {
			number++
			item, found := items[id]
			if !found {
				item.created = core.NewRevision(epoch, number)
			}
			item.id, item.startedAt, item.last = id, startedAt, core.NewRevision(epoch, number)
			items[id] = item
			event.Puts = append(event.Puts, item.entry(relay))
		}
		copyAll := func() {
			var since core.Revision
			daemon.do(func() { since = daemon.control.registrations.Revision() })
			var part copyPart
			relay.do(func() {
				changes, whole := relay.control.registrations.Since(since)
				part = copyPart{Revision: changes.Revision, Whole: whole, Puts: changes.Puts, Deletes: changes.Deletes}
			})
			daemon.do(func() { daemon.mergePart(daemon.clock.Now(), &daemon.control.registrations, part) })
			daemon.do(func() {})
		}
		for step := range 80 {
			switch random.IntN(7) {
			case 0:
				runs++
				live = fmt.Sprint("run", runs)
				write(live, 1000+random.Int64N(4000))
			case 1:
				runs++
				write(fmt.Sprint("run", runs), 1000+random.Int64N(8000)) // nothing stands behind it
			case 2:
				if by := relay.view.Load().superseded[live]; by != "" {
					relay.observeAnswer(targetAnswer{service: "ledger", target: by, status: http.StatusMisdirectedRequest})
					relay.do(func() {})
				}
			case 3:
				read()
				for _, id := range slices.Sorted(maps.Keys(items)) {
					if random.IntN(3) == 0 && id != live {
						delete(items, id)
						number++
						event.Deletes = append(event.Deletes, relay.dialect.TargetPrefix()+id)
					}
				}
				read()
			case 4:
				if random.IntN(4) > 0 || len(items) == 0 {
					continue
				}
				read()
				epoch++
				snapshot := core.Snapshot{Revision: core.NewRevision(epoch, number)}
				for id, item := range items {
					item.created, item.last = item.created.InEpoch(epoch), item.last.InEpoch(epoch)
					items[id] = item
					snapshot.Entries = append(snapshot.Entries, item.entry(relay))
				}
				relay.do(func() { relay.replaceCopies(snapshot) })
				relay.do(func() {})
			case 5:
				read()
			case 6:
				copyAll()
			}
			if live == "" || random.IntN(4) > 0 {
				continue
			}
			read()
			copyAll()
			if daemon.view.Load().superseded[live] != "" {
				leftOut++
			}
			write(live, items[live].startedAt)
			read()
			copyAll()
			checked++
			if by := daemon.view.Load().superseded[live]; by != "" {
				t.Fatalf("seed %d, step %d: %s is live, has been written since %s was, and counts as superseded by it", seed, step, live, by)
			}
		}
	}
	if checked < 500 || leftOut < 20 {
		t.Errorf("%d heartbeats of a live target, %d times left out before", checked, leftOut)
	}
	t.Logf("%d heartbeats of a live target, %d times left out before", checked, leftOut)
}
