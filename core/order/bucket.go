package order

import "time"

// bucket is a token bucket in bytes that rate-limits loads; a load larger than the burst leaves a negative balance.
type bucket struct {
	tokens   float64
	filledAt time.Time
}

func (bucket *bucket) fill(now time.Time, settings Settings) {
	elapsed := max(0, now.Sub(bucket.filledAt))
	bucket.filledAt = now
	bucket.tokens = min(settings.BurstBytes, bucket.tokens+elapsed.Seconds()*settings.BytesPerSecond)
}

// take reports whether a load of the given size may start, and if so removes its tokens.
func (bucket *bucket) take(bytes int64, settings Settings) bool {
	if bytes <= 0 {
		return true
	}
	if settings.BytesPerSecond <= 0 || bucket.tokens < min(float64(bytes), settings.BurstBytes) {
		return false
	}
	bucket.tokens -= float64(bytes)
	return true
}
