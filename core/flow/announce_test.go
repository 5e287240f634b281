package flow

import (
	"context"
	"testing"
	"testing/synctest"

	"catkincove/core"
)

// fullLast is a granter whose pools of one service are full.
type fullLast struct {
	*world
	service string
}

func (granter fullLast) Acquire(ctx context.Context, request core.GrantRequest) (core.Permit, error) {
	if request.Pool.Service == granter.service {
		return core.Permit{}, core.Errorf(core.Overloaded, "pool is full")
	}
	return granter.world.Acquire(ctx, request)
}

// TestFullLaterStage guards against early stages that run for requests whose later stage has no room.
func TestFullLaterStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(func(core.RequestID) fate { return works }, func() int { return 3 })
		runner := world.runner()
		runner.Granter = fullLast{world: world, service: "gen"}
		run := func(id core.RequestID) *core.Error {
			_, err := runner.Run(t.Context(), requestOf(id), nil)
			return core.AsError(err)
		}
		if failure := run("r1"); failure == nil || failure.Kind != core.Overloaded || failure.Run != core.HasRun {
			t.Errorf("first request: %v", failure)
		}
		failure := run("r2")
		if failure == nil || failure.Kind != core.Overloaded || failure.Run != core.NotRun || failure.Stage != "Generate" {
			t.Errorf("second request: %v", failure)
		}
		if world.seen["r2"] != 0 || world.acquired["r2"] != 0 {
			t.Errorf("second request made %d calls", world.seen["r2"])
		}
		runner.Granter = world
		if failure := run("r3"); failure != nil {
			t.Errorf("request after the end of the congestion: %v", failure)
		}
	})
}
