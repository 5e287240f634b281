package pool

import "time"

const (
	// serviceTimeAlpha is the EWMA weight of a new sample.
	serviceTimeAlpha = 1.0 / 16
	// serviceTimeDeviations is the number of mean deviations above the mean that the upper bound of a service time includes.
	serviceTimeDeviations = 2
)

// serviceTimes estimates service times from EWMAs of the time per unit of work and of its absolute deviation.
type serviceTimes struct {
	mean              float64 // nanoseconds per unit of work; 0 before the first sample
	deviation         float64 // mean absolute deviation, same unit
	meanCost          float64 // mean cost of completed requests
	meanRequestedCost float64 // mean cost of requests for a grant, known before the first completion
}

// observeRequest records the cost of a request for a grant.
func (serviceTimes *serviceTimes) observeRequest(cost int) {
	if serviceTimes.meanRequestedCost == 0 {
		serviceTimes.meanRequestedCost = float64(cost)
	}
	serviceTimes.meanRequestedCost += serviceTimeAlpha * (float64(cost) - serviceTimes.meanRequestedCost)
}

func (serviceTimes *serviceTimes) observe(duration time.Duration, cost int) {
	if duration <= 0 {
		return
	}
	sample := float64(duration) / float64(cost)
	if serviceTimes.mean == 0 {
		serviceTimes.mean, serviceTimes.meanCost = sample, float64(cost)
		return
	}
	difference := sample - serviceTimes.mean
	serviceTimes.mean += serviceTimeAlpha * difference
	serviceTimes.deviation += serviceTimeAlpha * (max(difference, -difference) - serviceTimes.deviation)
	serviceTimes.meanCost += serviceTimeAlpha * (float64(cost) - serviceTimes.meanCost)
}

// upperBound returns a pessimistic service time of a request of the cost, and no less than the minimum.
func (serviceTimes *serviceTimes) upperBound(cost int, minimum time.Duration) time.Duration {
	upper := (serviceTimes.mean + serviceTimeDeviations*serviceTimes.deviation) * float64(cost)
	return max(minimum, time.Duration(upper))
}

// wait returns the expected wait behind the work ahead and one request in service, over all slots.
func (serviceTimes *serviceTimes) wait(ahead, slots int, minimum time.Duration) time.Duration {
	perWork, cost := serviceTimes.mean, serviceTimes.meanCost
	if perWork == 0 {
		// The minimum is the time of a whole request. Applied to each unit of work (token), it made a new owner reject
		// everything behind one queued request.
		cost = max(1, serviceTimes.meanRequestedCost)
		perWork = float64(minimum) / cost
	}
	return time.Duration((float64(ahead) + cost) * perWork / float64(max(1, slots)))
}
