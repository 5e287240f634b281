package daemon

import (
	"io"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/fresh"
)

// TestProcessesThatEnded guards against members that count as ended while they may live: silent ones, ones that the store
// still lists, and ones that answered in between.
func TestProcessesThatEnded(t *testing.T) {
	const own, other = core.MemberID("a"), core.MemberID("b")
	tests := []struct {
		name   string
		events string // r: refused, h: heartbeat
		live   []core.MemberID
		ended  bool
	}{
		{"silent", "", []core.MemberID{own}, false},
		{"refused once", "r", []core.MemberID{own}, false},
		{"refused twice", "rr", []core.MemberID{own}, true},
		{"answered in between", "rhr", []core.MemberID{own}, false},
		{"registered", "rrr", []core.MemberID{own, other}, false},
	}
	for _, test := range tests {
		daemon := &Daemon{id: own, log: zerolog.New(io.Discard)}
		control := newControl(daemon, 1)
		control.tracker = fresh.Tracker{Self: own}
		control.tracker.SetMembers(time.Now(), []core.MemberID{own, other})
		for _, event := range test.events {
			if event == 'r' {
				control.onRefused(other)
			} else {
				delete(control.refusals, other)
			}
		}
		if ended := len(control.refused(test.live)) > 0; ended != test.ended {
			t.Errorf("%s: ended is %v, expected %v", test.name, ended, test.ended)
		}
	}
}
