package daemon

import (
	"time"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/fresh"
)

// snapshot is the part of the control state that the request path reads; it is immutable.
type snapshot struct {
	config         config.Config
	confirmedUntil time.Time
	owners         map[core.PoolID]owner
	leaving        bool
}

type owner struct {
	member  core.MemberID
	address string
}

const unconfirmedRetryAfter = time.Second

// confirmed returns a "not run" error when the configuration may be out of date.
func (snapshot *snapshot) confirmed(now time.Time) error {
	if fresh.Unexpired(snapshot.confirmedUntil, now) {
		return nil
	}
	return core.Errorf(core.Unconfirmed, "configuration is not confirmed: neither the store nor enough daemons respond").
		WithRetryAfter(unconfirmedRetryAfter)
}

// MaySend implements core.Gate.
func (daemon *Daemon) MaySend(pool core.PoolID, target core.TargetName) error {
	snapshot := daemon.snapshot.Load()
	if err := snapshot.confirmed(daemon.clock.Now()); err != nil {
		return err
	}
	if !snapshot.config.InService(pool, target) {
		return core.Errorf(core.Unavailable, "target %q in %s takes no new work", target, pool).
			WithRetryAfter(unconfirmedRetryAfter)
	}
	return nil
}
