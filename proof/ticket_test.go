package proof

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/io/entry"
	"catkincove/stand/fault"
	"catkincove/stand/kvsrv"
	"catkincove/stand/world"
)

const (
	// inForceBound is the stated time in which an accepted ticket is in force everywhere with a healthy store.
	inForceBound = 2 * time.Second
	// anyStateBound is the same in any state in which the ticket was accepted.
	anyStateBound = 19 * time.Second
	ticketSeed    = 11
)

// mark is an object that carries its version where the status shows it.
func mark(version int64) config.Object {
	return config.NewDataCentre(config.DataCentre{Name: "mark", Region: fmt.Sprintf("r%d", version), State: config.Out})
}

func marked(number int64) config.Ticket {
	return config.Ticket{Number: number, Operator: "test", Objects: []config.Object{mark(number)}}
}

// markAt returns the version of the mark that a daemon has in force; 0 when it has none or gives no answer.
func (fleet *fleet) markAt(daemon *process) int64 {
	status, err := fleet.status(daemon)
	if err != nil {
		return 0
	}
	for _, dataCentre := range status.DataCentres {
		if dataCentre.Name == "mark" {
			version, _ := strconv.ParseInt(strings.TrimPrefix(dataCentre.Region, "r"), 10, 64)
			return version
		}
	}
	return 0
}

// markWatch polls daemons and notes each version that is lower than one seen before at the same daemon.
type markWatch struct {
	stopped atomic.Bool
	group   sync.WaitGroup
	polls   atomic.Int64
}

func (watch *markWatch) follow(fleet *fleet, daemon *process) {
	watch.group.Go(func() {
		highest := int64(0)
		for !watch.stopped.Load() {
			version := fleet.markAt(daemon)
			if version > 0 && version < highest {
				fleet.t.Errorf("%s went back from version %d to %d", daemon.name, highest, version)
			}
			highest = max(highest, version)
			watch.polls.Add(1)
			time.Sleep(pollInterval)
		}
	})
}

func (watch *markWatch) stop() {
	watch.stopped.Store(true)
	watch.group.Wait()
}

// TestTicketInForce guards against an accepted ticket that some daemon does not follow in time.
func TestTicketInForce(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 5, world.Options{})
	stop := loadEach(fleet, 50*time.Millisecond)
	slowest := time.Duration(0)
	for round := range 15 {
		ticket := fleet.next(mark(fleet.ticket + 1))
		began := time.Now()
		body, err := fleet.applyAt(fleet.daemons[round%len(fleet.daemons)], ticket)
		if err != nil {
			t.Fatal(err)
		}
		for _, daemon := range fleet.daemons {
			fleet.eventually(anyStateBound, fmt.Sprintf("ticket %d at %s", ticket.Number, daemon.name), func() bool {
				return fleet.markAt(daemon) >= ticket.Number
			})
			slowest = max(slowest, time.Since(began))
		}
		if body.State != "InForce" {
			t.Errorf("ticket %d is %s, unconfirmed by %v", ticket.Number, body.State, body.Unconfirmed)
		}
	}
	stop()
	if slowest > inForceBound {
		t.Errorf("slowest daemon had a ticket in force after %v, bound %v", slowest, inForceBound)
	}
	t.Logf("slowest of 15 tickets at 5 daemons: %v", slowest)
}

// TestTicketsRace guards against two tickets with one number, and against a lower number that wins over a higher one.
func TestTicketsRace(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, world.Options{})
	var watch markWatch
	for _, daemon := range fleet.daemons {
		watch.follow(fleet, daemon)
	}
	for range 15 {
		fleet.sameNumber()
	}
	highest := fleet.racing(24)
	random := rand.New(rand.NewPCG(ticketSeed, ticketSeed))
	for range 40 {
		old := marked(highest - random.Int64N(24))
		if body, err := fleet.applyAt(fleet.daemons[random.IntN(4)], old); err != nil || !body.Repeated {
			t.Errorf("replay of ticket %d: %+v, %v", old.Number, body, err)
		}
	}
	time.Sleep(inForceBound)
	for _, daemon := range fleet.daemons {
		if version := fleet.markAt(daemon); version != highest {
			t.Errorf("%s has version %d after the replays, expected %d", daemon.name, version, highest)
		}
	}
	watch.stop()
	t.Logf("%d polls", watch.polls.Load())
}

// sameNumber applies two tickets with one number and different content at two daemons at once.
func (fleet *fleet) sameNumber() {
	fleet.ticket++
	errs := make([]error, 2)
	var group sync.WaitGroup
	for i := range errs {
		ticket := marked(fleet.ticket)
		ticket.Operator = fmt.Sprintf("operator-%d", i)
		group.Go(func() { _, errs[i] = fleet.applyAt(fleet.daemons[i], ticket) })
	}
	group.Wait()
	accepted, conflicts := 0, 0
	for _, err := range errs {
		if err == nil {
			accepted++
		} else if e := core.AsError(err); e.Kind == core.Conflict && e.Run == core.NotRun {
			conflicts++
		}
	}
	if accepted != 1 || conflicts != 1 {
		fleet.t.Errorf("ticket %d: %d accepted, %d conflicts: %v", fleet.ticket, accepted, conflicts, errs)
	}
}

// racing applies tickets on one object at all daemons at once, repeating those that were overtaken, and returns the
// highest number.
func (fleet *fleet) racing(count int64) int64 {
	first := fleet.ticket + 1
	fleet.ticket += count
	var group sync.WaitGroup
	for number := first; number < first+count; number++ {
		group.Go(func() {
			for range 40 {
				_, err := fleet.applyAt(fleet.daemons[number%4], marked(number))
				if err == nil {
					return
				}
				if e := core.AsError(err); e.Kind != core.Unavailable || e.Run != core.NotRun {
					fleet.t.Errorf("ticket %d: %v", number, err)
					return
				}
			}
			fleet.t.Errorf("ticket %d was never accepted", number)
		})
	}
	group.Wait()
	return fleet.ticket
}

// TestTicketNeverReverts guards against a daemon that returns to an older state: with stale reads, a slow store, an
// outage, lost answers, replays and restarted daemons.
func TestTicketNeverReverts(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, world.Options{})
	fleet.apply(mark(fleet.ticket + 1))
	var watch markWatch
	for _, daemon := range fleet.daemons {
		watch.follow(fleet, daemon)
	}
	store := fleet.world.Store
	phases := []struct {
		name    string
		faults  kvsrv.Faults
		between func(round int)
	}{
		{"stale reads", kvsrv.Faults{StaleReads: true}, func(int) {}},
		{"slow by 700 ms", kvsrv.Faults{Delay: 700 * time.Millisecond}, func(int) {}},
		{"slow by 3 s", kvsrv.Faults{Delay: 3 * time.Second}, func(int) {}},
		{"silent watches", kvsrv.Faults{SilentWatches: true}, func(int) {}},
		{"lost answers", kvsrv.Faults{LoseAnswers: 2}, func(int) {}},
		{"stale reads and a restart", kvsrv.Faults{StaleReads: true}, func(round int) {
			if round == 1 {
				fleet.daemons[3].kill()
				watch.follow(fleet, fleet.start("again", "south"))
			}
		}},
	}
	for _, phase := range phases {
		store.SetFaults(phase.faults)
		accepted, slowest := 0, time.Duration(0)
		for round := range 3 {
			ticket := fleet.next(mark(fleet.ticket + 1))
			began := time.Now()
			_, err := fleet.applyAt(fleet.daemons[round%3], ticket)
			phase.between(round)
			if err == nil {
				accepted++
				for _, daemon := range fleet.daemons[:3] {
					fleet.eventually(anyStateBound, phase.name+": in force at "+daemon.name, func() bool {
						return fleet.markAt(daemon) >= ticket.Number
					})
				}
				slowest = max(slowest, time.Since(began))
			}
			_, _ = fleet.applyAt(fleet.daemons[(round+1)%3], marked(1+ticket.Number/2)) // an old or a foreign number
		}
		t.Logf("%s: %d of 3 accepted, in force after at most %v", phase.name, accepted, slowest)
		store.SetFaults(kvsrv.Faults{})
		time.Sleep(time.Second)
	}
	last := fleet.next(mark(fleet.ticket + 1))
	fleet.eventually(anyStateBound, "a ticket after all faults", func() bool {
		_, err := fleet.applyAt(fleet.daemons[0], last)
		return err == nil
	})
	for _, daemon := range append(fleet.daemons[:3:3], fleet.daemons[4]) {
		fleet.eventually(anyStateBound, "last ticket at "+daemon.name, func() bool { return fleet.markAt(daemon) == last.Number })
	}
	watch.stop()
	t.Logf("%d polls", watch.polls.Load())
}

// TestTicketWhileCutOff guards against a daemon that works on under an old state when neither the store nor its peers
// can tell it of the new one, and against an answer that hides this.
func TestTicketWhileCutOff(t *testing.T) {
	for _, mode := range []fault.Mode{fault.Cut, fault.SilentAll} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			fleet := startLinkedFleet(t, 4, world.Options{})
			alone := fleet.daemons[3]
			load := loadDaemon(alone, 20*time.Millisecond, lookup)
			time.Sleep(time.Second)
			cut := time.Now()
			fleet.cutOff(alone, mode)
			body, err := fleet.applyAt(fleet.daemons[0], fleet.next(place("south", config.Out)))
			accepted := time.Now()
			if err != nil {
				t.Fatal(err)
			}
			checkCutOff(t, body, alone)
			t.Logf("answer after %v", accepted.Sub(cut))
			time.Sleep(stopBound)
			before := fleet.received("south") + fleet.received("north")
			late := loadDaemon(alone, 20*time.Millisecond, lookup)
			time.Sleep(watchPeriod)
			during := fleet.received("south") + fleet.received("north") - before
			load.stop()
			for _, result := range late.stop() {
				if result.err == nil || result.err.Run != core.NotRun {
					t.Errorf("request to the daemon that is cut off: %v", result.err)
					break
				}
			}
			if during != 0 {
				t.Errorf("%d calls by the daemon that is cut off, from %v after acceptance", during, time.Since(accepted)-watchPeriod)
			}
		})
	}
}

func checkCutOff(t *testing.T, body entry.TicketBody, alone *process) {
	t.Helper()
	named := false
	for _, member := range body.Unconfirmed {
		named = named || strings.HasPrefix(member, alone.name+"-")
	}
	if body.State != "Accepted" || !named || len(body.Unconfirmed) != 1 {
		t.Errorf("answer is %s, unconfirmed by %v; expected Accepted and only %s", body.State, body.Unconfirmed, alone.name)
	}
}
