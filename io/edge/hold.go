package edge

import (
	"time"

	"catkincove/core"
	"catkincove/core/place"
)

// maxFreeDelay is the longest time for which results of a paused target are kept to be freed; they expire on their own by then.
const maxFreeDelay = 5 * time.Second

// pauseTarget records that a target wants nothing from this daemon for the time that its response states. It binds this daemon alone. A target that has started again at its address may
// be registered under the ID of an earlier start as well, to which the pause applies, too.
func (daemon *Daemon) pauseTarget(response targetAnswer) {
	daemon.do(func() {
		now := daemon.clock.Now()
		if daemon.control.limits.PausedFor(now, response.target) == 0 {
			daemon.log.Info().Str(eventField, eventTargetPauses).Str("Target", response.target).Dur("For", response.facts.Pause).Msg("the target is full and gets no requests of this daemon for a while")
		}
		daemon.control.limits.Pause(response.target, now, now.Add(response.facts.Pause))
		for id, address := range daemon.view.Load().byID {
			if address == response.address && !daemon.control.registry.Run(id).StartedAt.After(response.startedAt) {
				daemon.control.limits.Pause(id, now, now.Add(response.facts.Pause))
			}
		}
	})
}

// unpausedTargets returns the targets of a service that may get a request of this daemon, of some software versions, and the time until the first of
// the others may; 0 if there are none. It must run on the loop.
func (daemon *Daemon) unpausedTargets(now time.Time, service string, versions place.Versions) (targets []place.Target, pausedFor time.Duration) {
	for _, target := range versions.Of(daemon.view.Load().targets[service]) {
		wait := daemon.control.limits.PausedFor(now, target.ID)
		switch {
		case wait == 0:
			targets = append(targets, target)
		case pausedFor == 0 || wait < pausedFor:
			pausedFor = wait
		}
	}
	return targets, pausedFor
}

// pauseError is the rejection of a request because no target may get it before a time. Callers are told to come back then, spread over half as much time
// again.
func (daemon *Daemon) pauseError(service string, wait time.Duration) error {
	return core.Errorf(core.Unavailable, "the targets of service %s want nothing for %v", service, wait.Round(time.Millisecond)).WithRetryAfter(daemon.spreadRetryAfter(wait))
}

// freeDelayOf returns how long the target at an address must get no calls; it must run on the loop.
func (daemon *Daemon) freeDelayOf(now time.Time, address string) time.Duration {
	var longest time.Duration
	for id, known := range daemon.view.Load().byID {
		if known == address {
			longest = max(longest, daemon.control.limits.PausedFor(now, id))
		}
	}
	return longest
}
