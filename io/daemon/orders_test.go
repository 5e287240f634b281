package daemon

import (
	"testing"
	"time"

	"catkincove/core"
	"catkincove/core/config"
)

// TestMovedTargetGetsOrders guards against a target that is moved to another address while an order is under way and that counts as the process that got it:
// the new one would get no model for as long as the former may still execute the order.
func TestMovedTargetGetsOrders(t *testing.T) {
	id := core.PoolID{Service: "gen", DataCentre: "north"}
	service := config.Service{Name: id.Service, Kind: config.Generate, Model: "m", ChecksFencing: true}
	declare := func(address string) []config.Object {
		return []config.Object{config.NewTarget(config.Target{Name: "t", Service: id.Service, DataCentre: id.DataCentre, Address: address})}
	}
	control := control{}
	control.config = control.config.With(append(declare("10.0.0.1:80"), config.NewDataCentre(config.DataCentre{Name: id.DataCentre}), config.NewService(service)), 1)
	owned := &ownedPool{id: id}
	now := time.Unix(1_700_000_000, 0)
	plan := func() int {
		owned.planner.HandleReport(now, "t", core.LoadReport{Models: []string{"other"}})
		return len(owned.planner.Plan(now, now.Add(time.Hour)))
	}
	control.configureOrders(owned, service)
	owned.planner.StartOwnership(now, 7)
	if count := plan(); count != 1 {
		t.Fatalf("%d orders to a target without its model, want 1", count)
	}
	control.configureOrders(owned, service)
	if count := plan(); count != 0 {
		t.Errorf("%d orders while one is under way at the same address, want 0", count)
	}
	control.config = control.config.With(declare("10.0.0.2:80"), 2)
	control.configureOrders(owned, service)
	if count := plan(); count != 1 {
		t.Errorf("%d orders to the target at its new address, want 1", count)
	}
}
