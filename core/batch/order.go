package batch

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	priorityWorth     = 0.5  // worth of a request relative to that of one that is a priority step more urgent
	floorShare        = 0.5  // jobs of a class or team of which a smaller share is in time are deferred last
	floorAlpha        = 0.05 // weight of the newest job in the average share in time
	maxForecastLevels = 8    // priorities with a forecast of their own
)

// sortQueue puts the jobs that can meet their soft deadline first, in order of their due time, then those that are deferred so that these can; late jobs fill the
// rest of a call, in order of their deadline, since by their soft deadline one with much time left would go before one that is about to fail.
func (pool *Pool) sortQueue(now time.Time) {
	pool.markLate(now)
	for _, waiting := range pool.queue {
		waiting.job.deferred = false
	}
	slices.SortStableFunc(pool.queue, compareQueued)
	if pool.deferJobs(now) {
		slices.SortStableFunc(pool.queue, compareQueued)
	}
}

func compareQueued(a, b *piece) int {
	return cmp.Or(cmp.Compare(a.job.rank(), b.job.rank()), a.job.due().Compare(b.job.due()), cmp.Compare(a.job.id, b.job.id), cmp.Compare(a.number, b.number))
}

// rank orders the jobs of a queue before their due time does.
func (job *job) rank() int {
	switch {
	case !job.lateSince.IsZero():
		return 2
	case job.deferred:
		return 1
	}
	return 0
}

func (job *job) due() time.Time {
	if !job.lateSince.IsZero() {
		return job.Deadline
	}
	return job.SoftDeadline.Add(time.Duration(job.Priority) * priorityOffset)
}

// claim is the queued work of a job.
type claim struct {
	job     *job
	work    time.Duration
	density float64 // worth for each second of work
}

// claims is a heap with the claim of the lowest density first.
type claims []claim

func (claims claims) Len() int { return len(claims) }
func (claims claims) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(claims[i].density, claims[j].density), cmp.Compare(claims[j].job.id, claims[i].job.id)) < 0
}
func (claims claims) Swap(i, j int) { claims[i], claims[j] = claims[j], claims[i] }
func (claims *claims) Push(x any)   { *claims = append(*claims, x.(claim)) }
func (claims *claims) Pop() any {
	last := (*claims)[len(*claims)-1]
	*claims = (*claims)[:len(*claims)-1]
	return last
}

// deferJobs defers jobs of a queue in order of due time that holds more than the targets can do in time, and reports whether it has deferred any.
//
// Load: a burst of a less urgent route at a stage that more urgent ones need. In order of due time each job waits for all before it, and all become late. As long as a job
// would miss its soft deadline, the one that is worth least for its work among it and those before is deferred (the rule of Moore and Hodgson, by worth), so that
// the others are in time. A queue that the targets can do in time keeps its order.
func (pool *Pool) deferJobs(now time.Time) bool {
	callTime := pool.typicalCallTime()
	capacity := pool.capacity(now, callTime) * float64(pool.spec.MaxCalls)
	if capacity <= 0 {
		return false
	}
	// A call of usual size ends half of its time after its share of the work would.
	inTime := func(job *job, total time.Duration) bool {
		return !now.Add(callTime/2 + time.Duration(float64(total)/capacity)).After(job.SoftDeadline)
	}
	competition := false
	var total time.Duration
	for job, work := range pool.onTimeJobs {
		total += work
		competition = competition || !inTime(job, total)
	}
	if !competition {
		return false
	}
	var kept claims
	total = 0
	for job, work := range pool.onTimeJobs {
		density := math.Pow(priorityWorth, float64(job.Priority)) / max(work, 1).Seconds()
		if pool.belowFloor(job) {
			density = math.Inf(1)
		}
		heap.Push(&kept, claim{job, work, density})
		total += work
		for len(kept) > 0 && !inTime(job, total) {
			least := heap.Pop(&kept).(claim)
			least.job.deferred = true
			total -= least.work
			pool.countDeferred(least.job)
		}
	}
	return true
}

// onTimeJobs yields the jobs at the head of a sorted queue that are not late, with their queued work.
func (pool *Pool) onTimeJobs(yield func(*job, time.Duration) bool) {
	for i := 0; i < len(pool.queue) && pool.queue[i].job.lateSince.IsZero(); {
		job, work := pool.queue[i].job, time.Duration(0)
		for ; i < len(pool.queue) && pool.queue[i].job == job; i++ {
			work += pool.shareOfCall(job)
		}
		if !yield(job, work) {
			return
		}
	}
}

func (pool *Pool) countDeferred(job *job) {
	if !job.wasDeferred {
		job.wasDeferred = true
		pool.deferredJobs++
	}
}

// Deferred returns how many jobs have ever been deferred in favour of others.
func (pool *Pool) Deferred() int64 { return pool.deferredJobs }

// group is a class or a team of jobs.
type group struct {
	name string
	team bool
}

// groups returns the class and the team of a job; jobs without a team have no floor as one, or all of them would be below it in the worst overload.
func (job *job) groups() []group {
	if job.Team == "" {
		return []group{{job.Class, false}}
	}
	return []group{{job.Class, false}, {job.Team, true}}
}

// belowFloor reports whether too small a share of the jobs of the class or the team of a job is in time.
func (pool *Pool) belowFloor(job *job) bool {
	return slices.ContainsFunc(job.groups(), func(group group) bool { return 1+pool.inTimeOffset[group] < floorShare })
}

// recordInTime includes whether a job has met its soft deadline in the averages of its class and team.
func (pool *Pool) recordInTime(job *job, inTime bool) {
	if job.recorded {
		return
	}
	job.recorded = true
	outcome := -1.0
	if inTime {
		outcome = 0
	}
	for _, key := range job.groups() {
		offset, known := pool.inTimeOffset[key]
		if inTime && !known {
			continue
		}
		offset += (outcome - offset) * floorAlpha
		if offset > -floorAlpha*floorAlpha {
			delete(pool.inTimeOffset, key) // bounds the map to those that were late lately
		} else {
			pool.inTimeOffset[key] = offset
		}
	}
}

// aheadOf returns Forecast.AheadOf: no part of Ahead is deferred for the least urgent jobs of the queue, so that they need no forecast of their own.
func (pool *Pool) aheadOf(now time.Time) [][]time.Duration {
	leastUrgent := 0
	for _, waiting := range pool.queue {
		leastUrgent = max(leastUrgent, waiting.job.Priority)
	}
	levels := make([][]time.Duration, min(leastUrgent, maxForecastLevels))
	for priority := range levels {
		levels[priority] = pool.ahead(now, func(job *job) bool { return job.Priority <= priority })
	}
	return levels
}
