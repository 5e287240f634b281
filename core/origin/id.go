package origin

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const maxID = 64 // bytes of an attempt's ID that is kept as it is; stores limit the length of keys

// ID returns the attempt's ID, which the caller chooses, or a hash of one that is long or not printable.
func ID(attempt string) string {
	unprintable := func(char rune) bool { return char <= ' ' || char > '~' }
	if len(attempt) <= maxID && !strings.ContainsFunc(attempt, unprintable) {
		return attempt
	}
	return "hash/" + strconv.FormatUint(xxhash.Sum64String(attempt), 16)
}
