package daemon

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/order"
)

// weightBurstTime sets the burst of a pool: the bytes that its share of the weight store's rate yields in this time.
const weightBurstTime = 10 * time.Second

// configureOrders sets the model that each target of the pool should hold; the planner derives orders from it, which are
// commands to a target to load or unload a model.
func (control *control) configureOrders(owned *ownedPool, service config.Service) {
	bytesPerSecond := control.weightRateShare()
	owned.planner.Configure(order.Settings{
		ChecksFencing:  service.ChecksFencing,
		BytesPerSecond: bytesPerSecond,
		BurstBytes:     bytesPerSecond * weightBurstTime.Seconds(),
	})
	desired := order.Model{Name: service.Model, Version: service.Version, Bytes: service.WeightBytes}
	owned.model = desired.Label()
	owned.planner.SetInUse([]string{owned.model})
	declared := map[core.TargetName]string{}
	for _, target := range control.config.PoolTargets(owned.id) {
		declared[target.Name] = target.Address
	}
	for name, address := range owned.plannedTargets {
		if declared[name] != address { // another process holds other models
			owned.planner.Remove(name)
		}
	}
	for name := range declared {
		owned.planner.SetDesired(name, desiredModels(service, desired))
	}
	owned.plannedTargets = declared
}

func desiredModels(service config.Service, desired order.Model) []order.Model {
	if service.Model == "" {
		return nil
	}
	return []order.Model{desired}
}

// weightRateShare returns the weight store's rate in bytes/s divided evenly over the pools whose models are rate-limited:
// the owners of the pools do not know of each other's loads.
func (control *control) weightRateShare() float64 {
	rateLimited := 0
	for _, id := range control.config.Pools() {
		if service, found := control.config.Service(id.Service); found && service.WeightBytes > 0 {
			rateLimited++
		}
	}
	return float64(control.config.Limits().WeightRate) / float64(max(1, rateLimited))
}

// sendOrders sends the orders of a pool that are due.
func (control *control) sendOrders(now time.Time, owned *ownedPool) {
	until, valid := control.keeper.GrantUntil(owned.id)
	if !valid {
		return
	}
	for _, command := range owned.planner.Plan(now, until) {
		target, found := control.config.Target(command.Target)
		if !found {
			continue
		}
		control.daemon.log.Info().Str("target", string(command.Target)).Str("model", command.Order.Name).
			Str("version", command.Order.Version).Int64("token", int64(command.Order.Fencing)).Msg("order: sending")
		go control.daemon.sendOrder(owned, target.Address, command)
	}
}

// sendOrder sends one order after another check of ownership, since this goroutine may have stalled after the planning.
func (daemon *Daemon) sendOrder(owned *ownedPool, address string, command order.Command) {
	ctx, cancel := context.WithTimeout(context.Background(), command.Order.Timeout)
	defer cancel()
	maySend := false
	err := daemon.loop.Do(ctx, func() {
		until, valid := daemon.control.keeper.GrantUntil(owned.id)
		maySend = valid && owned.planner.MaySend(daemon.control.now(), until, command)
	})
	if err != nil || !maySend {
		err = core.Errorf(core.Unavailable, "pool %s is no longer owned", owned.id)
	} else {
		err = daemon.targets.Order(ctx, address, command.Order)
	}
	if err != nil {
		daemon.log.Warn().Err(err).Str("target", string(command.Target)).Msg("order: failed")
	}
	daemon.loop.Post(func() { owned.planner.HandleResult(daemon.control.now(), command, err) })
}

// holdsModel reports whether a target lists the model that the pool serves; a target that lists none counts as holding it.
func (owned *ownedPool) holdsModel(report core.LoadReport) bool {
	if owned.model == "" || len(report.Models) == 0 {
		return true
	}
	for _, label := range report.Models {
		if label == owned.model {
			return true
		}
	}
	return false
}
