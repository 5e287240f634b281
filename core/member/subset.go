package member

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// minSubsetSize is the minimum number of daemons in a caller's subset, so that it has alternatives when one fails.
const minSubsetSize = 4

// WeightedDaemon is a daemon with the capacity of its VM.
type WeightedDaemon struct {
	Address string
	Weight  float64 // processor cores of the VM; 0 counts as the largest weight
}

// Subset returns the addresses of the daemons that a caller should use, in no particular order.
//
// Callers spread their requests evenly over their subset, so a small VM is in the subsets of only a part of the callers.
// The subset of a caller stays the same while its daemons live, so that the caller keeps its connections.
//
// Load pattern: VMs of unequal size, where an even share overloads the small ones while the large ones idle.
func Subset(caller string, daemons []WeightedDaemon) []string {
	largest := 0.0
	for _, daemon := range daemons {
		largest = max(largest, daemon.Weight)
	}
	type ranked struct {
		address string
		rank    float64 // below 1 for a share of callers that is proportional to the weight
	}
	var rankedDaemons []ranked
	for _, daemon := range daemons {
		share := 1.0
		if daemon.Weight > 0 {
			share = daemon.Weight / largest
		}
		const unit = 1 << 53
		uniform := float64(xxhash.Sum64String(caller+"\x00"+daemon.Address)>>11) / unit
		rankedDaemons = append(rankedDaemons, ranked{daemon.Address, uniform / share})
	}
	slices.SortFunc(rankedDaemons, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) })
	var subset []string
	for _, daemon := range rankedDaemons {
		if daemon.rank < 1 || len(subset) < minSubsetSize {
			subset = append(subset, daemon.address)
		}
	}
	return subset
}
