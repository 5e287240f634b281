package config

import "time"

// Defaults of Limits.
const (
	DefaultRetriesPerRequest = 2
	DefaultRetryRatio        = 0.1 // bounds retry amplification at 1.1
	DefaultQueueLength       = 1000
	DefaultBodyBytes         = 1 << 20
	DefaultWeightRate        = 1 << 30 // bytes per second
	DefaultSameRegionDelay   = 2 * time.Millisecond
	DefaultOtherRegionDelay  = 40 * time.Millisecond
)

// DefaultLimits returns the limits that hold while no Limits object is declared.
func DefaultLimits() Limits {
	return Limits{
		RetriesPerRequest: DefaultRetriesPerRequest,
		RetryRatio:        DefaultRetryRatio,
		QueueLength:       DefaultQueueLength,
		BodyBytes:         DefaultBodyBytes,
		WeightRate:        DefaultWeightRate,
		SameRegionDelay:   DefaultSameRegionDelay,
		OtherRegionDelay:  DefaultOtherRegionDelay,
	}
}
