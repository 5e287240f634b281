package canary

import (
	"testing"

	"catkincove/core"
)

// TestPooledBounds guards against a fleet of many daemons in which no order can succeed, because one of them always has used the few requests that are
// its part, and against parts that do not hold in other cases.
func TestPooledBounds(t *testing.T) {
	for _, test := range []struct {
		name    string
		daemons int
		moving  bool
		left    float64
		pooled  bool
	}{
		{"many daemons move", 73, true, 0.5, true},
		{"few daemons move", 3, true, 0.5, false},
		{"many daemons, low share", 73, false, 0.5, false},
		{"the bounds are used up", 73, true, 0, false},
	} {
		judge := NewJudge(JudgeOptions{Bounds: Bounds{Share: 0.1, Slack: 50}})
		judge.ramp.moving, judge.ramp.left = test.moving, test.left
		grant := judge.pool(Grant{Share: 1, Bounds: judge.options.Bounds, Daemons: test.daemons}, Fleet{Daemons: make([]core.MemberID, test.daemons)})
		if pooled := grant.limit(100) > 90; pooled != test.pooled {
			t.Errorf("%s: %.1f of 100 requests may be new", test.name, grant.limit(100))
		}
	}
}
