package proof

import (
	"testing"
	"time"

	"catkincove/core/config"
	"catkincove/stand/model"
	"catkincove/stand/world"
)

// TestMissingModelIsLoaded guards against work sent to a target that does not hold the declared model, and against a
// model that nobody loads.
func TestMissingModelIsLoaded(t *testing.T) {
	t.Parallel()
	fleet := startDaemons(t, 3, world.Options{Model: func(service string, settings *model.Settings) {
		if service == "generate" {
			settings.Models = []string{"former"}
			settings.ChecksFencing = true
		}
	}})
	fleet.apply(checkingFencing(fleet, "generate"))
	fleet.eventually(readyTimeout, "all targets hold the model", func() bool {
		for _, target := range fleet.world.Of("generate", "") {
			if !holds(target.Model.Models(), "generator") {
				return false
			}
		}
		return true
	})
	fleet.served()
	for _, target := range fleet.world.Of("generate", "") {
		if orders := target.Model.Orders(); len(orders) != 1 || orders[0].Rejected || orders[0].Fencing == 0 {
			t.Errorf("target %s got the orders %+v, expected one with a fencing token", target.Name, orders)
		}
		if received := target.Counts().Received; received != 0 {
			t.Errorf("target %s got %d requests before it held the model", target.Name, received)
		}
	}
	load := startLoad(fleet.client, 50*time.Millisecond, lookup)
	time.Sleep(2 * time.Second)
	if count, first := failures(load.stop()); count > 0 {
		t.Errorf("%d requests failed:%s", count, first)
	}
}

// checkingFencing declares that the targets of a service reject orders with an old token.
func checkingFencing(fleet *fleet, service string) config.Object {
	for _, object := range fleet.world.Config() {
		if object.Service != nil && object.Service.Name == service {
			changed := *object.Service
			changed.ChecksFencing = true
			return config.NewService(changed)
		}
	}
	fleet.t.Fatalf("service %q is not declared", service)
	return config.Object{}
}

func holds(models []string, name string) bool {
	for _, held := range models {
		if held == name {
			return true
		}
	}
	return false
}
