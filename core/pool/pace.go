package pool

import "time"

const (
	// paceGain is the weight of a new sample in the running mean and deviation.
	paceGain = 1.0 / 16
	// paceDeviations is how many mean deviations above the mean a request is expected to take.
	paceDeviations = 2
)

// pace keeps the running mean and deviation of the time per unit of work.
type pace struct {
	mean      float64 // nanoseconds per unit of work; 0 before the first sample
	deviation float64
	cost      float64 // mean cost of a request
	asked     float64 // mean cost of the requests asked for; the same before the first sample
}

// ask notes the cost of a request that is asked for.
func (pace *pace) ask(cost int) {
	if pace.asked == 0 {
		pace.asked = float64(cost)
	}
	pace.asked += paceGain * (float64(cost) - pace.asked)
}

func (pace *pace) note(took time.Duration, cost int) {
	if took <= 0 {
		return
	}
	sample := float64(took) / float64(cost)
	if pace.mean == 0 {
		pace.mean, pace.cost = sample, float64(cost)
		return
	}
	difference := sample - pace.mean
	pace.mean += paceGain * difference
	pace.deviation += paceGain * (max(difference, -difference) - pace.deviation)
	pace.cost += paceGain * (float64(cost) - pace.cost)
}

// workTime returns how long a request of the cost takes at the upper end.
func (pace *pace) workTime(cost int, least time.Duration) time.Duration {
	upper := (pace.mean + paceDeviations*pace.deviation) * float64(cost)
	return max(least, time.Duration(upper))
}

// wait returns how long the work ahead keeps the slots busy, plus the time until one of them is free.
func (pace *pace) wait(ahead, slots int, least time.Duration) time.Duration {
	perWork, cost := pace.mean, pace.cost
	if perWork == 0 {
		// The least time is that of a whole request. Counted for each unit of work (token), it made a new owner refuse
		// everything behind one waiting request.
		cost = max(1, pace.asked)
		perWork = float64(least) / cost
	}
	return time.Duration((float64(ahead) + cost) * perWork / float64(max(1, slots)))
}
