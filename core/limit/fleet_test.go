package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetKeepsLimit guards against daemons that together send a limited target more than in any 4 s one and a half times its limit
// and 5 requests, while the role of the daemon that paces it moves: to one that knows the limit or to one that has just started, with
// views of the others that are up to a second old, permits that get lost, and processes that are paused while they wait for a turn.
func TestFleetKeepsLimit(t *testing.T) {
	const (
		step      = 50 * time.Millisecond
		length    = 20 * time.Second
		roleTime  = 4 * time.Second // least time between two moves of the role
		viewAge   = time.Second     // longest time until a daemon sees a move
		permitTTL = 500 * time.Millisecond
		maxWait   = 2 * time.Second
	)
	type daemon struct {
		table       Table
		owner       int // in its view
		seesMoveAt  time.Time
		pausedUntil time.Time
		waiting     []time.Time // turns of its requests
	}
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.25, 20).Draw(t, "rate")
		count := rapid.IntRange(2, 60).Draw(t, "daemons")
		load := rapid.Float64Range(0.5, 4).Draw(t, "load") // requests as a multiple of the limit
		named := Evidence{Target: "a", Named: true, Rate: rate, At: start}
		daemons := make([]daemon, count)
		for i := range daemons {
			daemons[i].table.Merge(named)
		}
		owner, movedAt := 0, start
		var sent []time.Time
		pending := 0.0
		for now := start; now.Before(start.Add(length)); now = now.Add(step) {
			if now.Sub(movedAt) >= roleTime && rapid.IntRange(0, 19).Draw(t, "moves") == 0 {
				owner, movedAt = rapid.IntRange(0, count-1).Draw(t, "owner"), now
				if rapid.Bool().Draw(t, "restarted") {
					daemons[owner].table = Table{}
				}
				for i := range daemons {
					daemons[i].seesMoveAt = now.Add(time.Duration(rapid.IntRange(0, int(viewAge)).Draw(t, "age")))
				}
			}
			if rapid.IntRange(0, 99).Draw(t, "pauses") == 0 {
				daemons[rapid.IntRange(0, count-1).Draw(t, "paused")].pausedUntil = now.Add(3 * time.Second)
			}
			for i := range daemons {
				daemon := &daemons[i]
				if !now.Before(daemon.seesMoveAt) {
					daemon.owner = owner
				}
				if now.Before(daemon.pausedUntil) {
					continue
				}
				kept := daemon.waiting[:0]
				for _, turn := range daemon.waiting {
					switch {
					case turn.After(now):
						kept = append(kept, turn)
					case now.Sub(turn) <= permitTTL:
						sent = append(sent, now)
					}
				}
				daemon.waiting = kept
			}
			for pending += rate * load * step.Seconds(); pending >= 1; pending-- {
				sender := &daemons[rapid.IntRange(0, count-1).Draw(t, "sender")]
				paces := &daemons[sender.owner]
				if now.Before(sender.pausedUntil) || now.Before(paces.pausedUntil) {
					continue // without a response there is no permit
				}
				paces.table.Merge(named) // the request for a permit carries what the sender knows
				wait, granted := paces.table.Take(now, "a", maxWait)
				if granted && rapid.IntRange(0, 19).Draw(t, "lost") > 0 {
					sender.waiting = append(sender.waiting, now.Add(wait))
				}
			}
		}
		checkRate(t, sent, rate)
	})
}
