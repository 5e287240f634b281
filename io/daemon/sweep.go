package daemon

import (
	"context"
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/member"
)

const (
	sweepInterval = 10 * time.Minute
	sweepTimeout  = 10 * time.Second
)

// sweep deletes records of calls whose retention has ended. Each team is swept by one daemon, the first in its rendezvous
// order, so that the daemons do not all read the same records.
func (daemon *Daemon) sweep(ctx context.Context) error {
	for {
		if !core.Sleep(ctx, daemon.clock, sweepInterval) {
			return ctx.Err()
		}
		for _, team := range daemon.sweptTeams(ctx) {
			callCtx, cancel := context.WithTimeout(ctx, sweepTimeout)
			deleted, err := daemon.once.Sweep(callCtx, team)
			cancel()
			if err != nil {
				daemon.log.Warn().Err(err).Msg("once: sweep failed")
				break
			}
			if deleted > 0 {
				daemon.log.Info().Int("deleted", deleted).Str("team", string(team)).Msg("once: expired records deleted")
			}
		}
	}
}

func (daemon *Daemon) sweptTeams(ctx context.Context) []core.TeamName {
	var teams []core.TeamName
	_ = daemon.loop.Do(ctx, func() {
		control := &daemon.control
		live := control.view.Live(control.now())
		for _, name := range control.config.Names(config.KindTeam) {
			if member.PreferredOwner(live, core.PoolID{Service: name, DataCentre: "sweep"}) == daemon.id {
				teams = append(teams, core.TeamName(name))
			}
		}
	})
	return teams
}
