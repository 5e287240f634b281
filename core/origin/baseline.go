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
//
// A restore of the store may take records, and all daemons that know of it may be lost. So a baseline names the epoch of the store in which it
// was written: in another one, and until the streams from before have ended, a missing record names no version.
type Baseline struct {
	Generation int64 // number of changes; a store that was restored holds an earlier one
	Version    string
	Next       string // the version that takes its place; Version itself after a restore, until a missing record names it again; empty if none does
	Epoch      int64  // of the store; AnyEpoch if the writer's build states none
}

// AnyEpoch is the epoch of a baseline that names none.
const AnyEpoch = -1

// Covers reports whether a stream that begins at the version needs no record; knownFor is how long this daemon has known the baseline.
func (baseline Baseline) Covers(version string, epoch int64, knownFor time.Duration) bool {
	return baseline.isOf(epoch) && baseline.Next == "" && baseline.Version == version && version != "" && knownFor >= settle
}

// Unrecorded returns the version that began a stream of which the store has no record in the epoch; empty if that is not known.
func (baseline Baseline) Unrecorded(epoch int64) string {
	if !baseline.isOf(epoch) || baseline.Next == baseline.Version {
		return ""
	}
	return baseline.Version
}

// Replaces reports whether the baseline is newer than another one; none, the zero value, replaces no other.
func (baseline Baseline) Replaces(other Baseline) bool {
	return baseline.Generation > 0 && (baseline.Generation > other.Generation || baseline.Epoch > other.Epoch)
}

func (baseline Baseline) isOf(epoch int64) bool {
	return baseline.Epoch == epoch || baseline.Epoch == AnyEpoch
}

// State is what decides about a change of a baseline.
type State struct {
	Targets      map[string]int // number of targets of each version
	UnchangedFor time.Duration  // time for which the baseline has been as it is
	Longest      time.Duration  // time after which no stream can be resumed
	Epoch        int64          // of the store
	OneVersion   bool           // all streams that may be resumed began at the baseline
}

// Advance returns the baseline that takes this one's place in a state, or this one.
func (baseline Baseline) Advance(state State) Baseline {
	targets := state.Targets
	versions := slices.SortedFunc(maps.Keys(targets), func(a, b string) int {
		return cmp.Or(cmp.Compare(targets[b], targets[a]), cmp.Compare(a, b))
	})
	next := Baseline{Generation: baseline.Generation + 1, Epoch: state.Epoch}
	switch {
	case len(versions) == 0:
		return baseline
	case baseline.Version == "":
		next.Version = versions[0]
	case baseline.Epoch == AnyEpoch:
		next.Version, next.Next = baseline.Version, baseline.Next
	case baseline.Epoch != state.Epoch && state.OneVersion:
		next.Version = baseline.Version
	case baseline.Epoch != state.Epoch:
		next.Version, next.Next = baseline.Version, baseline.Version
	case baseline.Next == baseline.Version && state.UnchangedFor < state.Longest:
		return baseline
	case baseline.Next == baseline.Version:
		next.Version = baseline.Version
	case baseline.Next != "" && targets[baseline.Next] < dominance*targets[baseline.Version]:
		next.Version = baseline.Version // the replacement was taken back
	case baseline.Next != "" && state.UnchangedFor >= state.Longest:
		next.Version = baseline.Next
	case baseline.Next == "" && versions[0] != baseline.Version && targets[versions[0]] >= dominance*targets[baseline.Version]:
		next.Version, next.Next = baseline.Version, versions[0]
	default:
		return baseline
	}
	return next
}
