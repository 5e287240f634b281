package bench

import "time"

const (
	window = 5 * time.Minute // the first of burn.Windows
	// sumBuckets and sumWidth are those of the rings of core/burn.
	sumBuckets = 12
	sumWidth   = window / sumBuckets
	sumSlots   = sumBuckets + 1 // one more, for the estimate that weights the oldest bucket
)

// sums is the periodic sender: each daemon sends what it counted since its last message, by team and bucket.
type sums struct {
	traffic
	period   time.Duration // 0 delivers each call at once and without a message, as a pull at any moment finds it
	weighted bool          // count the oldest bucket by the part of it that lies in the window
	sends    int           // the daemons send in turn, spread evenly over the period
	due      time.Duration // of the next message
	pending  [][]call      // by daemon
	newest   int
	asker    [][sumSlots]int // by team
}

func newSums(shape WindowShape, period time.Duration, weighted bool) *sums {
	return &sums{
		traffic: newTraffic(shape.Daemons), period: period, weighted: weighted,
		pending: make([][]call, shape.Daemons), asker: make([][sumSlots]int, shape.Teams),
	}
}

func (sums *sums) add(call call) {
	if sums.period == 0 {
		sums.deliver(call)
		return
	}
	sums.pending[call.site] = append(sums.pending[call.site], call)
}

func (sums *sums) deliver(call call) { sums.asker[call.team][int(call.at/sumWidth)%sumSlots]++ }

func (sums *sums) advance(now time.Duration) {
	for sums.due <= now && sums.period > 0 {
		site := sums.sends % len(sums.pending)
		for _, call := range sums.pending[site] {
			sums.deliver(call)
		}
		sums.record(site, sums.newest, rowsOf(sums.pending[site], sumWidth))
		sums.pending[site] = sums.pending[site][:0]
		sums.sends++
		sums.due = sums.period * time.Duration(sums.sends) / time.Duration(len(sums.pending))
	}
	sums.turn(now)
}

// turn empties the buckets that begin.
func (sums *sums) turn(now time.Duration) {
	for sums.newest < int(now/sumWidth) {
		sums.newest++
		for team := range sums.asker {
			sums.asker[team][sums.newest%sumSlots] = 0
		}
	}
}

func (sums *sums) estimate(team int, now time.Duration) float64 {
	sum, past := 0, 1.0
	for _, count := range sums.asker[team] {
		sum += count
	}
	if sums.weighted {
		past = float64(now%sumWidth) / float64(sumWidth)
	}
	return float64(sum) - past*float64(sums.asker[team][(sums.newest+1)%sumSlots])
}

// state counts 8 bytes for each unsent call and 4 bytes for each number at the asker.
func (sums *sums) state() (daemons, asker int) {
	for _, pending := range sums.pending {
		daemons += 8 * len(pending)
	}
	return daemons, len(sums.asker) * 4 * (1 + sumSlots)
}
