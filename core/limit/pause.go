package limit

import (
	"time"

	"catkincove/core"
)

// pause is the time in which a target wants nothing from this daemon.
type pause struct {
	statedAt time.Time // latest response that states one
	until    time.Time
}

// Pause records that a target has stated at a time that it wants nothing from this daemon until another one; an earlier end than one it has stated before changes
// nothing. Which run of the target responded is not known: a daemon may hear of a restart later.
func (table *Table) Pause(target string, statedAt, until time.Time) {
	if table.pauses == nil {
		table.pauses = map[string]pause{}
	}
	known := table.pauses[target]
	if until.After(known.until) {
		known.until = until
	}
	known.statedAt = statedAt
	table.pauses[target] = known
}

// PausedFor implements core.Pacer.
func (table *Table) PausedFor(now time.Time, target string) time.Duration {
	return max(table.pauses[target].until.Sub(now), 0)
}

// StartRun ends the pause of a target that has started again since it stated that.
func (table *Table) StartRun(target string, startedAt time.Time) {
	if known, found := table.pauses[target]; found && startedAt.After(known.statedAt) {
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
