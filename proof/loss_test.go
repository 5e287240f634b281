package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"catkincove/core/config"
	"catkincove/stand/fault"
	"catkincove/stand/world"
)

// failoverBound covers the lease of 3 s, the claim, the handover gap of 1.25 s, and 1 s for a busy host.
const failoverBound = 6 * time.Second

// TestDataCentreOfDaemonsLost guards against pools that stay without owners, and tickets that are never accepted, when
// all daemons of a data centre crash at once: three of eight, which is more than a third.
func TestDataCentreOfDaemonsLost(t *testing.T) {
	t.Parallel()
	centres := []config.DataCentre{
		{Name: "north", Region: "coast"}, {Name: "south", Region: "coast"}, {Name: "east", Region: "coast"},
	}
	fleet := startFleet(t, 8, world.Options{DataCentres: centres})
	var killed []*process
	var survivors []*process
	for i, daemon := range fleet.daemons {
		if i%3 == 0 {
			killed = append(killed, daemon)
		} else {
			survivors = append(survivors, daemon)
		}
	}
	for _, daemon := range killed {
		daemon.kill()
	}
	killedAt := time.Now()
	fleet.daemons = survivors
	fleet.waitForOwners()
	if took := time.Since(killedAt); took > failoverBound {
		t.Errorf("all pools had owners again after %v, expected at most %v", took, failoverBound)
	} else {
		t.Logf("all pools had owners again after %v", took)
	}
	fleet.client = fleet.newClient("after")
	load := startLoad(fleet.client, 20*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	if count, first := failures(load.stop()); count > 0 {
		t.Errorf("%d requests failed:%s", count, first)
	}
	fleet.eventually(20*time.Second, "ticket is accepted", func() bool {
		fleet.lastTicket++
		ticket := config.Ticket{Number: fleet.lastTicket, Operator: "test", Objects: []config.Object{
			dataCentreObject("south", config.Out),
		}}
		body, err := fleet.applyAt(survivors[0], ticket)
		return err == nil && body.State != "Written"
	})
	data, err := fleet.call(survivors[0], http.MethodGet, "/v1/status", "")
	var status struct{ Confirmed bool }
	if err != nil || json.Unmarshal(data, &status) != nil || !status.Confirmed {
		t.Errorf("status is %s (%v), expected Confirmed", data, err)
	}
}

// TestMostDaemonsEnded guards against pools that stay without owners when so many VMs terminate at once that the rest
// is no store quorum, although the platform's list of VMs shows that they are gone.
func TestMostDaemonsEnded(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 5, world.Options{})
	time.Sleep(3 * time.Second) // lets the daemons read the list: a VM that was never on it does not count as terminated
	for _, daemon := range fleet.daemons[:3] {
		daemon.kill()
		daemon.markGone()
	}
	terminatedAt := time.Now()
	fleet.daemons = fleet.daemons[3:]
	fleet.waitForOwners()
	t.Logf("all pools had owners again after %v", time.Since(terminatedAt))
}

// TestDaemonWithoutStore guards against pools that stay without owners for 10 s more than a failover takes, because their
// former owner, which is cut off from the store alone, still sends heartbeats and counts as the preferred owner.
func TestDaemonWithoutStore(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 4, world.Options{})
	all := fleet.ownedPools()
	cutOff, lost := fleet.daemons[0], 0
	for _, daemon := range fleet.daemons {
		if owned, _ := fleet.poolsOf(daemon); owned > lost {
			cutOff, lost = daemon, owned
		}
	}
	_ = cutOff.store.SetMode(fault.Cut)
	cutAt := time.Now()
	fleet.eventually(failoverBound, cutOff.name+" has lost its pools", func() bool {
		owned, err := fleet.poolsOf(cutOff)
		return err == nil && owned == 0
	})
	fleet.eventually(failoverBound-time.Since(cutAt), "all pools have owners again", func() bool {
		return fleet.ownedPools() >= all
	})
	t.Logf("all of %d pools, %d of them lost, had owners again after %v", all, lost, time.Since(cutAt))
}
