package limit

import (
	"time"

	"catkincove/core"
)

// pause is the time in which a target wants nothing from this daemon.
type pause struct {
	startedAt time.Time // start of the target's run
	until     time.Time
}

// Pause records that a run of a target wants nothing from this daemon until a time; an earlier end than one it has stated before changes nothing.
func (table *Table) Pause(target string, startedAt, until time.Time) {
	if table.pauses == nil {
		table.pauses = map[string]pause{}
	}
	known, found := table.pauses[target]
	if found && (known.startedAt.After(startedAt) || known.startedAt.Equal(startedAt) && !until.After(known.until)) {
		return
	}
	table.pauses[target] = pause{startedAt: startedAt, until: until}
}

// PausedFor implements core.Pacer.
func (table *Table) PausedFor(now time.Time, target string) time.Duration {
	return max(table.pauses[target].until.Sub(now), 0)
}

// StartRun ends the pause of a target that has started again since.
func (table *Table) StartRun(target string, startedAt time.Time) {
	if known, found := table.pauses[target]; found && startedAt.After(known.startedAt) {
		delete(table.pauses, target)
	}
}

func (table *Table) sweepPauses(now time.Time) {
	for target, pause := range table.pauses {
		if now.After(pause.until) {
			delete(table.pauses, target)
		}
	}
}

// Sender is the pacer of a daemon that sends the requests itself, to which pauses apply as well; Table must be set.
type Sender struct{ *Table }

var _ core.Pacer = Sender{}

// Wait implements core.Pacer.
func (sender Sender) Wait(now time.Time, target string) time.Duration {
	return max(sender.Table.Wait(now, target), sender.PausedFor(now, target))
}

// Take implements core.Pacer.
func (sender Sender) Take(now time.Time, target string, maxWait time.Duration) (time.Duration, bool) {
	if paused := sender.PausedFor(now, target); paused > maxWait {
		return paused, false
	}
	wait, granted := sender.Table.Take(now, target, maxWait)
	return max(wait, sender.PausedFor(now, target)), granted
}
