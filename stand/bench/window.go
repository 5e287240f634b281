package bench

import (
	"bytes"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"catkincove/core"
	"catkincove/core/burn"
	"catkincove/io/report"
)

const (
	windowWarm  = 2 * window // before the first sample
	windowRun   = 2 * window // holds two cuts of the tracker
	sampleEvery = 10 * time.Second
	largeTeams  = 20
	fewRequests = 50 // teams with fewer are left out of the tail error
)

// counter is one way to know the counts of all teams at one place.
type counter interface {
	add(call call) // after advance to its time
	advance(now time.Duration)
	estimate(team int, now time.Duration) float64
	state() (daemons, asker int)
	sent() *traffic
}

// way is a counter and what its samples showed.
type way struct {
	counter
	name                                      string
	large, bias, median, tail, daemons, asker []float64
}

func newWays(shape WindowShape) []*way {
	ways := []*way{{name: "pull", counter: newSums(shape, 0, false)}}
	for _, period := range []time.Duration{1, 5, 10, 30} {
		ways = append(ways, &way{name: fmt.Sprintf("sums %ds", period), counter: newSums(shape, period*time.Second, false)})
	}
	ways = append(ways, &way{name: "sums 1s, weighted", counter: newSums(shape, time.Second, true)})
	for _, epsilon := range []float64{0.05, 0.1, 0.2} {
		ways = append(ways, &way{name: fmt.Sprintf("tracker %g", epsilon), counter: newTracker(shape, epsilon)})
	}
	return ways
}

// WindowResult is what one way to count teams costs and how well it counts; a Spread runs over the seeds. Messages and
// bytes are a second and daemon, payload only, but AnswerBytes, which is one answer to GET /v1/report of a daemon that
// ran for days. States are bytes beyond core/burn. Errors are relative to the count of the last 5 minutes.
type WindowResult struct {
	WindowShape
	Counter string
	Figures map[string]Spread
}

// String returns the result as one line for people.
func (result WindowResult) String() string {
	text := fmt.Sprintf("%s, %d sites:", result.Counter, result.Sites)
	for _, name := range slices.Sorted(maps.Keys(result.Figures)) {
		text += fmt.Sprintf(" %s %.4g", name, result.Figures[name])
	}
	return text + " (min, median, max)"
}

// MeasureWindow runs all ways to count teams on the same load, once for each of the seeds from 1.
func MeasureWindow(shape WindowShape, seeds int) (results []WindowResult) {
	values := map[string][]float64{}
	for seed := range seeds {
		for number, way := range runWindow(shape, uint64(seed+1)) {
			if seed == 0 {
				results = append(results, WindowResult{shape, way.name, map[string]Spread{}})
			}
			for name, figure := range way.figures() {
				key := way.name + name
				values[key] = append(values[key], figure)
				results[number].Figures[name] = SpreadOf(values[key])
			}
		}
	}
	results[0].Figures["AnswerBytes"] = SpreadOf([]float64{answerBytes(shape.Teams * shape.Sites / shape.Daemons)})
	return results
}

func runWindow(shape WindowShape, seed uint64) []*way {
	load, ways := newLoad(shape, seed), newWays(shape)
	var calls []call // of the window that ends at the sample
	counts := make([]int, shape.Teams)
	call := load.next()
	for sample := windowWarm; sample <= windowWarm+windowRun; sample += sampleEvery {
		for ; call.at < sample; call = load.next() {
			calls = append(calls, call)
			counts[call.team]++
			for _, way := range ways {
				way.advance(call.at)
				way.add(call)
			}
		}
		for ; calls[0].at+window <= sample; calls = calls[1:] {
			counts[calls[0].team]--
		}
		for _, way := range ways {
			way.advance(sample)
			if sample > windowWarm {
				way.sample(counts, sample)
			} else {
				*way.sent() = newTraffic(shape.Daemons)
			}
		}
	}
	return ways
}

// sample compares the estimates with the counts; teams are numbered by their expected rank.
func (way *way) sample(counts []int, now time.Duration) {
	middle := (len(counts) - largeTeams) / 2
	for team, count := range counts {
		if count == 0 {
			continue
		}
		bias := way.estimate(team, now)/float64(count) - 1
		if team < largeTeams {
			way.large, way.bias = append(way.large, math.Abs(bias)), append(way.bias, bias)
		}
		if team >= middle && team < middle+largeTeams {
			way.median = append(way.median, math.Abs(bias))
		}
		if count >= fewRequests {
			way.tail = append(way.tail, math.Abs(bias))
		}
	}
	daemons, asker := way.state()
	way.daemons, way.asker = append(way.daemons, float64(daemons)), append(way.asker, float64(asker))
}

// figures returns means over daemons; LargeError, LargeBias and MedianError are means of 20 teams, TailError is the 95th
// percentile, and states are the largest of the samples.
func (way *way) figures() map[string]float64 {
	sent, seconds := way.sent(), windowRun.Seconds()
	slices.Sort(way.tail)
	return map[string]float64{
		"Messages":     mean(sent.messages) / seconds,
		"Bytes":        mean(sent.compact) / seconds,
		"BusiestBytes": float64(slices.Max(sent.compact)) / seconds,
		"JSONBytes":    mean(sent.json) / seconds,
		"State":        slices.Max(way.daemons) / float64(len(sent.messages)),
		"AskerState":   slices.Max(way.asker),
		"LargeError":   mean(way.large),
		"LargeBias":    mean(way.bias),
		"MedianError":  mean(way.median),
		"TailError":    way.tail[len(way.tail)*95/100],
	}
}

func mean[V int | float64](values []V) float64 {
	sum := 0.0
	for _, value := range values {
		sum += float64(value)
	}
	return sum / float64(max(len(values), 1))
}

// answerBytes returns the size of the answer to GET /v1/report of a daemon that has met the teams, in one pipeline.
func answerBytes(teams int) float64 {
	recorder := &burn.Recorder{}
	for team := range teams {
		recorder.Record(core.RequestRecord{Pipeline: "ask", Team: core.TeamName(teamName(team)), Deadline: time.Second})
	}
	var answer bytes.Buffer
	_ = report.JSON(&answer, recorder.Report(time.Now()), nil) // a buffer takes all writes
	return float64(answer.Len())
}
