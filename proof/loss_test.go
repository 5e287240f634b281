package proof

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"catkincove/core/config"
	"catkincove/stand/world"
)

// failoverBound is the lease of 3 s, the claim, and the handover gap of 1.25 s, with a second for a busy machine.
const failoverBound = 6 * time.Second

// TestDataCentreOfDaemonsLost guards against pools that stay without owners, and tickets that are never accepted, when
// the daemons of a whole data centre die at once: three of eight, more than a third.
func TestDataCentreOfDaemonsLost(t *testing.T) {
	t.Parallel()
	centres := []config.DataCentre{
		{Name: "north", Region: "coast"}, {Name: "south", Region: "coast"}, {Name: "east", Region: "coast"},
	}
	fleet := startFleet(t, 8, world.Options{DataCentres: centres})
	var lost []*process
	var left []*process
	for i, daemon := range fleet.daemons {
		if i%3 == 0 {
			lost = append(lost, daemon)
		} else {
			left = append(left, daemon)
		}
	}
	for _, daemon := range lost {
		daemon.kill()
	}
	killed := time.Now()
	fleet.daemons = left
	fleet.served()
	if took := time.Since(killed); took > failoverBound {
		t.Errorf("all pools were granted on again after %v, expected %v", took, failoverBound)
	} else {
		t.Logf("all pools were granted on again after %v", took)
	}
	fleet.client = fleet.newClient("after")
	load := startLoad(fleet.client, 20*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	if count, first := failures(load.stop()); count > 0 {
		t.Errorf("%d requests failed:%s", count, first)
	}
	fleet.eventually(20*time.Second, "ticket is accepted", func() bool {
		fleet.ticket++
		ticket := config.Ticket{Number: fleet.ticket, Operator: "test", Objects: []config.Object{place("south", config.Out)}}
		body, err := fleet.applyAt(left[0], ticket)
		return err == nil && body.State != "Written"
	})
	data, err := fleet.call(left[0], http.MethodGet, "/v1/status", "")
	var status struct{ Confirmed bool }
	if err != nil || json.Unmarshal(data, &status) != nil || !status.Confirmed {
		t.Errorf("status is %s (%v), expected a confirmed daemon", data, err)
	}
}

// TestMostDaemonsEnded guards against pools that stay without owners when so many VMs end at once that the rest is no
// store quorum; the platform's list shows that they have ended.
func TestMostDaemonsEnded(t *testing.T) {
	t.Parallel()
	fleet := startFleet(t, 5, world.Options{})
	time.Sleep(3 * time.Second) // the daemons have read the list: a VM that was never on it proves nothing
	for _, daemon := range fleet.daemons[:3] {
		daemon.kill()
		daemon.ended()
	}
	ended := time.Now()
	fleet.daemons = fleet.daemons[3:]
	fleet.served()
	t.Logf("all pools were granted on again after %v", time.Since(ended))
}
