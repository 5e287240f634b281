package burn

import "time"

// Count is a number of good and bad requests.
type Count struct {
	Good int64
	Bad  int64
}

// Plus returns the sum of both counts.
func (count Count) Plus(other Count) Count {
	return Count{Good: count.Good + other.Good, Bad: count.Bad + other.Bad}
}

// Total returns the number of requests.
func (count Count) Total() int64 { return count.Good + count.Bad }

// GoodRatio returns the ratio of good requests to all requests; it is 1 when there was none.
func (count Count) GoodRatio() float64 {
	if count.Total() == 0 {
		return 1
	}
	return float64(count.Good) / float64(count.Total())
}

// Windows are the lengths of the sliding windows, shortest first.
var Windows = [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

const (
	windowCount = 4
	// bucketCount is the number of buckets of each window; a window may be short by up to one twelfth of its length.
	bucketCount = 12
)

// Counts holds one Count for each of the Windows.
type Counts [windowCount]Count

// Plus returns the sum of both counts for each window.
func (counts Counts) Plus(other Counts) Counts {
	for i := range counts {
		counts[i] = counts[i].Plus(other[i])
	}
	return counts
}

// bucket uses small integers, because there are 48 buckets for each team.
type bucket struct{ good, bad uint32 }

// ring is one sliding window; bucket n covers the time from n to n+1 bucket widths after the Unix epoch.
type ring struct {
	newest  int64
	buckets [bucketCount]bucket
}

// series holds the sliding windows of one team, data centre or pipeline.
type series struct {
	rings [windowCount]ring
}

func bucketAt(window int, now time.Time) int64 {
	return now.UnixNano() / int64(Windows[window]/bucketCount)
}

// advance empties the buckets between the newest and the given one; a clock that was set back keeps using the newest.
func (ring *ring) advance(bucketNumber int64) {
	if bucketNumber-ring.newest >= bucketCount {
		ring.buckets = [bucketCount]bucket{}
		ring.newest = bucketNumber
	}
	for ring.newest < bucketNumber {
		ring.newest++
		ring.buckets[ring.newest%bucketCount] = bucket{}
	}
}

func (series *series) add(now time.Time, good bool) {
	for i := range series.rings {
		ring := &series.rings[i]
		ring.advance(bucketAt(i, now))
		current := &ring.buckets[ring.newest%bucketCount]
		if good {
			current.good++
		} else {
			current.bad++
		}
	}
}

// merge adds the buckets of another series that uses the same clock.
func (series *series) merge(now time.Time, other *series) {
	for i := range series.rings {
		into, from := &series.rings[i], &other.rings[i]
		newest := max(bucketAt(i, now), into.newest, from.newest)
		into.advance(newest)
		from.advance(newest)
		for j := range into.buckets {
			into.buckets[j].good += from.buckets[j].good
			into.buckets[j].bad += from.buckets[j].bad
		}
	}
}

// counts returns the sums over the buckets of each window; it advances a copy, so that reading changes nothing.
func (series series) counts(now time.Time) (counts Counts) {
	for i := range series.rings {
		ring := &series.rings[i]
		ring.advance(bucketAt(i, now))
		for _, bucket := range ring.buckets {
			counts[i] = counts[i].Plus(Count{Good: int64(bucket.good), Bad: int64(bucket.bad)})
		}
	}
	return counts
}
