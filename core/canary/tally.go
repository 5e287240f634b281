package canary

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	timeBuckets     = 64      // of the time histograms: 1 ms to 80 s
	bucketRatio     = 1.2     // of the bounds of a bucket; a version that is several times slower moves several buckets
	maxRoutes       = 32      // routes that are counted apart, which bounds a report to about 40 KB; all others share one tally
	maxTracked      = 1 << 15 // requests in progress whose age is known, about 2 MB
	maxAnswered     = 1 << 14 // answered requests that may still fail, about 1 MB
	firstTimeBucket = time.Millisecond
)

// Request identifies a request that a Recorder counts.
type Request int64

// Tally holds sums of one route and one arm.
type Tally struct {
	Sent       int64
	Good       int64
	Bad        int64
	Times      []int64 // good responses by the time that they took, in geometric buckets from 1 ms
	Censored   []int64 // requests that failed or were abandoned by that time; they would have taken longer
	InProgress []int64 // requests without an end, by their age at the time of the report
	Held       []int64 // requests that Finish has ended, by the time for which they kept their target
}

// RouteTally holds the sums of one route.
type RouteTally struct {
	Route string // empty for all routes beyond those that are counted apart
	Old   Tally
	New   Tally
}

// Report holds the sums of one daemon; its fields are those of JSON messages between daemons.
type Report struct {
	Sequence int64 // rises with each report
	Routes   []RouteTally
}

// Recorder counts the requests of one daemon since an order; Report returns sums that only grow, so that a report that is
// lost, late or repeated changes nothing. The zero value is ready to use; it is not safe for concurrent use.
type Recorder struct {
	routes   map[string]*RouteTally
	requests map[Request]tracked // in progress
	answered map[Request]tracked // with a good response; a stream may still fail
	order    []Request           // answered ones, oldest first
	last     Request
	sequence int64
}

type tracked struct {
	tally   *Tally
	beganAt time.Time
}

// Begin counts a request that is sent to a target of an arm.
func (recorder *Recorder) Begin(now time.Time, route string, arm Arm) Request {
	tally := recorder.tally(route, arm)
	tally.Sent++
	recorder.last++
	if recorder.requests == nil {
		recorder.requests = map[Request]tracked{}
	}
	if len(recorder.requests) < maxTracked {
		recorder.requests[recorder.last] = tracked{tally: tally, beganAt: now}
	}
	return recorder.last
}

func (recorder *Recorder) tally(route string, arm Arm) *Tally {
	if recorder.routes == nil {
		recorder.routes = map[string]*RouteTally{}
	}
	known := recorder.routes[route]
	if known == nil && len(recorder.routes) >= maxRoutes {
		route = ""
		known = recorder.routes[route]
	}
	if known == nil {
		known = &RouteTally{Route: route}
		recorder.routes[route] = known
	}
	return known.arm(arm)
}

func (tally *RouteTally) arm(arm Arm) *Tally {
	if arm == New {
		return &tally.New
	}
	return &tally.Old
}

// End counts the end of a request; for a stream that is its first event, or its failure at any time. A stream that fails after its first
// event has a good and a bad response.
func (recorder *Recorder) End(now time.Time, request Request, outcome Outcome) {
	known, found := recorder.requests[request]
	if !found {
		if stream, answered := recorder.answered[request]; answered && outcome == Bad {
			stream.tally.Bad++
			delete(recorder.answered, request)
		}
		return
	}
	delete(recorder.requests, request)
	bucket := bucketOf(now.Sub(known.beganAt))
	switch outcome {
	case Good:
		known.tally.Good++
		known.tally.Times = count(known.tally.Times, bucket)
		recorder.setAnswered(request, known)
		return
	case Bad:
		known.tally.Bad++
	}
	known.tally.Censored = count(known.tally.Censored, bucket)
}

// Finish counts that a request no longer keeps its target, which for a stream is its last event; it counts nothing else. The judge learns by it how
// long before success a route has to move, and takes the time until End for routes without it.
func (recorder *Recorder) Finish(now time.Time, request Request) {
	if known, answered := recorder.answered[request]; answered {
		known.tally.Held = count(known.tally.Held, bucketOf(now.Sub(known.beganAt)))
		delete(recorder.answered, request)
	}
}

// setAnswered remembers a request for a later failure; the oldest ones are forgotten.
func (recorder *Recorder) setAnswered(request Request, known tracked) {
	if recorder.answered == nil {
		recorder.answered = map[Request]tracked{}
	}
	if len(recorder.order) >= maxAnswered {
		half := len(recorder.order) / 2
		for _, oldest := range recorder.order[:half] {
			delete(recorder.answered, oldest)
		}
		recorder.order = slices.Delete(recorder.order, 0, half)
	}
	recorder.answered[request] = known
	recorder.order = append(recorder.order, request)
}

// Report returns the sums at a time.
func (recorder *Recorder) Report(now time.Time) Report {
	recorder.sequence++
	report := Report{Sequence: recorder.sequence}
	for _, known := range recorder.routes {
		known.Old.InProgress, known.New.InProgress = nil, nil
	}
	for _, known := range recorder.requests {
		known.tally.InProgress = count(known.tally.InProgress, bucketOf(now.Sub(known.beganAt)))
	}
	for _, known := range recorder.routes {
		report.Routes = append(report.Routes, RouteTally{Route: known.Route, Old: known.Old.clone(), New: known.New.clone()})
	}
	slices.SortFunc(report.Routes, func(a, b RouteTally) int { return cmp.Compare(a.Route, b.Route) })
	return report
}

func (tally Tally) clone() Tally {
	tally.Times, tally.Censored = slices.Clone(tally.Times), slices.Clone(tally.Censored)
	tally.InProgress, tally.Held = slices.Clone(tally.InProgress), slices.Clone(tally.Held)
	return tally
}

// add adds a multiple of the sums of another tally.
func (tally *Tally) add(other Tally, multiple int64) {
	tally.Sent += multiple * other.Sent
	tally.Good += multiple * other.Good
	tally.Bad += multiple * other.Bad
	tally.Times = sum(tally.Times, other.Times, multiple)
	tally.Censored = sum(tally.Censored, other.Censored, multiple)
	tally.InProgress = sum(tally.InProgress, other.InProgress, multiple)
	tally.Held = sum(tally.Held, other.Held, multiple)
}

// minus returns the sums that were added since another tally.
func (tally Tally) minus(other Tally) Tally {
	tally = tally.clone()
	tally.add(other, -1)
	return tally
}

// add adds the sums of another tally.
func (tally *RouteTally) add(other RouteTally) {
	tally.Old.add(other.Old, 1)
	tally.New.add(other.New, 1)
}

// slow returns the requests that took, or have taken so far, at least the lower bound of a bucket.
func (tally Tally) slow(bucket int) int64 {
	return total(tally.Times, bucket) + total(tally.Censored, bucket) + total(tally.InProgress, bucket)
}

// fast returns the good responses within the lower bound of a bucket.
func (tally Tally) fast(bucket int) int64 { return total(tally.Times, 0) - total(tally.Times, bucket) }

// logarithms returns the sum of the natural logarithms of the times in milliseconds, and their number. Requests without a good response count once they are slow.
func (tally Tally) logarithms(slow int) (sum float64, number int64) {
	add := func(buckets []int64, from int) {
		for i := from; i < len(buckets); i++ {
			sum += float64(buckets[i]) * float64(i) * math.Log(bucketRatio)
			number += buckets[i]
		}
	}
	add(tally.Times, 0)
	add(tally.Censored, slow)
	add(tally.InProgress, slow)
	return sum, number
}

// spread returns the standard deviation of the natural logarithms of the times of good responses.
func (tally Tally) spread() float64 {
	var sum, squares, number float64
	for i, times := range tally.Times {
		sum += float64(times) * float64(i)
		squares += float64(times) * float64(i*i)
		number += float64(times)
	}
	if number == 0 {
		return 0
	}
	return math.Log(bucketRatio) * math.Sqrt(max(squares/number-sum*sum/number/number, 0))
}

// bucketOf returns the bucket of a duration: 0 below 1 ms, and the last one for all beyond its lower bound.
func bucketOf(duration time.Duration) int {
	if duration < firstTimeBucket {
		return 0
	}
	return min(1+int(math.Log(float64(duration)/float64(firstTimeBucket))/math.Log(bucketRatio)), timeBuckets-1)
}

// lowerBound returns the least duration in a bucket.
func lowerBound(bucket int) time.Duration {
	if bucket == 0 {
		return 0
	}
	return time.Duration(float64(firstTimeBucket) * math.Pow(bucketRatio, float64(bucket-1)))
}

func count(buckets []int64, bucket int) []int64 {
	for len(buckets) <= bucket {
		buckets = append(buckets, 0)
	}
	buckets[bucket]++
	return buckets
}

func sum(buckets, others []int64, multiple int64) []int64 {
	others = others[:min(len(others), timeBuckets)]
	for len(buckets) < len(others) {
		buckets = append(buckets, 0)
	}
	for i, other := range others {
		buckets[i] += multiple * other
	}
	return buckets
}

func total(buckets []int64, from int) int64 {
	var sum int64
	for i := from; i < len(buckets); i++ {
		sum += buckets[i]
	}
	return sum
}
