package proof

import (
	"syscall"
	"testing"
	"time"

	"catkincove/core/config"
	"catkincove/io/caller"
	"catkincove/stand/fault"
	"catkincove/stand/kvsrv"
	"catkincove/stand/world"
)

const (
	// stopBound is the specified time after which a data centre or target that was taken out gets no new work.
	stopBound         = 3 * time.Second
	observationPeriod = 3 * time.Second
)

// startLoadOnEach sends lookups to each daemon separately and without retries, so that each gets load even when it
// fails requests.
func startLoadOnEach(fleet *fleet, interval time.Duration) (stop func()) {
	var loads []*load
	for _, daemon := range fleet.daemons {
		client := &caller.Client{Team: "fans", Name: daemon.name, Seeds: []string{daemon.address()}, SeedsOnly: true, MaxAttempts: 1}
		loads = append(loads, startLoad(client, interval, lookup))
	}
	return func() {
		for _, load := range loads {
			load.stop()
		}
	}
}

// TestDataCentreOut guards against new work in a data centre that operators have taken out, while a daemon is
// disconnected from the store, has a stalled watch or is itself stalled during the change, or the response to the write
// is lost.
func TestDataCentreOut(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(*fleet)
		restore func(*fleet)
	}{
		{"healthy", func(*fleet) {}, func(*fleet) {}},
		{
			// New requests of the load need stock@north first: they are served only if that pool gets another owner.
			"one daemon disconnected from the store",
			func(fleet *fleet) { _ = fleet.ownerOf("stock@north").store.SetMode(fault.Cut) },
			func(*fleet) {},
		},
		{
			"stalled watch",
			func(fleet *fleet) { _ = fleet.daemons[2].store.SetMode(fault.Silent) },
			func(*fleet) {},
		},
		{
			"daemon stalled during the change",
			func(fleet *fleet) { fleet.daemons[3].signal(syscall.SIGSTOP) },
			func(fleet *fleet) {
				time.Sleep(stopBound + time.Second)
				fleet.daemons[3].signal(syscall.SIGCONT)
			},
		},
		{
			"response to the write lost",
			func(fleet *fleet) { fleet.world.Store.SetFaults(kvsrv.Faults{LoseAnswers: 1}) },
			func(*fleet) {},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fleet := startFleet(t, 4, world.Options{})
			stop := startLoadOnEach(fleet, 30*time.Millisecond)
			time.Sleep(time.Second)
			test.disturb(fleet)
			fleet.apply(dataCentreObject("south", config.Out))
			accepted := time.Now()
			go test.restore(fleet)
			time.Sleep(stopBound - time.Since(accepted))
			before, north := fleet.received("south"), fleet.receivedBy("stock", "north")
			time.Sleep(observationPeriod)
			during, served := fleet.received("south")-before, fleet.receivedBy("stock", "north")-north
			stop()
			if during != 0 {
				t.Errorf("%d new calls to targets in the data centre later than %v after it was taken out", during, stopBound)
			}
			if served == 0 {
				t.Error("no calls to targets of the first stage in the other data centre")
			}
		})
	}
}

// TestTargetOut guards against new work on a target that operators have taken out.
func TestTargetOut(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 3, world.Options{})
	leaving := fleet.world.TargetsOf("generate", "north")[0]
	stop := startLoadOnEach(fleet, 30*time.Millisecond)
	time.Sleep(time.Second)
	fleet.apply(config.NewTarget(config.Target{
		Name: leaving.Name, Service: leaving.Service, DataCentre: leaving.DataCentre, Address: leaving.Address, State: config.Out,
	}))
	time.Sleep(stopBound)
	before := leaving.Counts().Received
	time.Sleep(observationPeriod)
	during := leaving.Counts().Received - before
	stop()
	if during != 0 {
		t.Errorf("%d new calls to the target later than %v after it was taken out", during, stopBound)
	}
}

// TestRollingRestart guards against requests that fail because a graceful shutdown interrupts them, also when the
// daemon gets a second SIGTERM.
func TestRollingRestart(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, world.Options{})
	load := startLoad(fleet.client, 20*time.Millisecond, lookup)
	time.Sleep(time.Second)
	for i, old := range append([]*process{}, fleet.daemons...) {
		old.signal(syscall.SIGTERM)
		time.Sleep(200 * time.Millisecond)
		old.signal(syscall.SIGTERM)
		fleet.waitReady(fleet.start("new-"+old.name, []string{"north", "south"}[i%2]))
		select {
		case err := <-old.exited:
			if err != nil {
				t.Errorf("%s exited with %v", old.name, err)
			}
		case <-time.After(readyTimeout):
			t.Fatalf("%s did not exit within %v", old.name, readyTimeout)
		}
	}
	results := load.stop()
	if count, first := failures(results); count > 0 {
		t.Errorf("%d of %d requests failed:%s", count, len(results), first)
	}
	t.Logf("%d requests over 4 restarts", len(results))
}
