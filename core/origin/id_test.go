package origin

import (
	"strings"
	"testing"

	"catkincove/core"
)

// TestID guards against IDs of attempts that make a key too long for the store, or one that it does not accept, and against thousands
// of long ones in memory.
func TestID(t *testing.T) {
	const maxKeyBytes = 200
	ids := map[string]string{}
	for _, attempt := range []string{"9c41d07be2a35f68", "", strings.Repeat("a", 5000), strings.Repeat("a", 5001), "with space", "line\nbreak", "\xff\xfe", "ünicode"} {
		id := ID(attempt)
		if key := core.OriginPrefix + id; len(key) > maxKeyBytes || strings.ContainsFunc(key, func(char rune) bool { return char <= ' ' || char > '~' }) {
			t.Errorf("key %q", key)
		}
		if other, found := ids[id]; found {
			t.Errorf("%q and %q have the same ID", attempt, other)
		}
		ids[id] = attempt
	}
}
