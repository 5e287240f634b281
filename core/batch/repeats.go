package batch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/core"
)

// RepeatsRetention is the minimum time for which handles are remembered; a repeated response comes before the response to the next call on its connection.
const RepeatsRetention = 20 * time.Second

// Repeats tells a new response of a target from a second copy of an earlier one; the zero value is ready to use. It is not
// safe for concurrent use.
//
// Load pattern: targets that send a response again, late, when their connection carries another call. Responses to calls
// have no identifier, but each handle is given out once.
type Repeats struct {
	recent, older map[uint64]struct{} // hashes of handles
	rotatedAt     time.Time
}

// Add records the handles of a response and reports whether one of them was in an earlier response.
func (repeats *Repeats) Add(now time.Time, results []core.PieceResult) bool {
	if repeats.recent == nil || now.Sub(repeats.rotatedAt) > RepeatsRetention {
		repeats.recent, repeats.older, repeats.rotatedAt = map[uint64]struct{}{}, repeats.recent, now
	}
	repeated := false
	for _, result := range results {
		if result.Handle == "" {
			continue
		}
		hash := xxhash.Sum64String(result.Handle)
		_, inRecent := repeats.recent[hash]
		_, inOlder := repeats.older[hash]
		repeated = repeated || inRecent || inOlder
		repeats.recent[hash] = struct{}{}
	}
	return repeated
}
