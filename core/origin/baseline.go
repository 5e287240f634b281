package origin

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	dominance = 2               // how many times as many targets another version must have to become the baseline
	settle    = 5 * time.Second // time after which all daemons have heard of a baseline
)

// Baseline says which streams of a service need no record of their origin: those that begin at Version. All daemons share it; the zero
// value has all streams recorded.
//
// Only one version at a time has streams without a record, or a missing record would not tell which one began the stream. Before another
// one takes its place, all streams are recorded until those without a record have ended.
type Baseline struct {
	Generation int64 // number of changes; a store that was restored holds an earlier one
	Version    string
	Next       string // the version that takes its place; empty if none does
}

// Covers reports whether a stream that begins at the version needs no record; knownFor is how long this daemon has known the baseline.
func (baseline Baseline) Covers(version string, knownFor time.Duration) bool {
	return baseline.Next == "" && baseline.Version == version && version != "" && knownFor >= settle
}

// Advance returns the baseline for the number of targets of each version; unchangedFor is how long it has been as it is, and longest the
// time after which no stream can be resumed.
func (baseline Baseline) Advance(targets map[string]int, unchangedFor, longest time.Duration) Baseline {
	versions := slices.SortedFunc(maps.Keys(targets), func(a, b string) int {
		return cmp.Or(cmp.Compare(targets[b], targets[a]), cmp.Compare(a, b))
	})
	next := Baseline{Generation: baseline.Generation + 1}
	switch {
	case len(versions) == 0:
		return baseline
	case baseline.Version == "":
		next.Version = versions[0]
	case baseline.Next != "" && targets[baseline.Next] < dominance*targets[baseline.Version]:
		next.Version = baseline.Version // the replacement was taken back
	case baseline.Next != "" && unchangedFor >= longest:
		next.Version = baseline.Next
	case baseline.Next == "" && versions[0] != baseline.Version && targets[versions[0]] >= dominance*targets[baseline.Version]:
		next.Version, next.Next = baseline.Version, versions[0]
	default:
		return baseline
	}
	return next
}
