package story

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// Summary says how the requests in the logs of edge daemons ended, and where those that were not served well did.
type Summary struct {
	Routes     []RouteSummary // sorted by name
	Unreadable int            // number of lines that are too long or not JSON objects with a time
}

// RouteSummary is the summary of the requests of one route.
type RouteSummary struct {
	Route  string
	Ended  int           // requests that ended in any way
	InTime int           // served within the latency objective
	Losses []Loss        // the others, most frequent first
	Stages []StageTiming // time of each stage, and last that of the target, of the requests that were served
}

// Loss is a number of requests that ended in the same way for the same reason.
type Loss struct {
	Outcome string // outcome of the log, or Late for requests that were served late
	Where   string // the part that took the longest of a late request, or the cause
	Count   int
}

// StageTiming is the distribution of the time of one stage.
type StageTiming struct {
	Stage            string
	Median, P90, P99 time.Duration
}

const requestEnded = "RequestEnded" // event of the line that ends a request

// Summarise reads logs and returns their summary; it returns an error of a reader.
func Summarise(logs ...io.Reader) (Summary, error) {
	var summary Summary
	routes := map[string]*routeTally{}
	for _, log := range logs {
		lines, unreadable, err := read(log)
		if err != nil {
			return Summary{}, err
		}
		summary.Unreadable += unreadable
		for _, line := range lines {
			if line.Event != requestEnded {
				continue
			}
			name := line.text("Route")
			if routes[name] == nil {
				routes[name] = &routeTally{losses: map[Loss]int{}, stages: map[string][]time.Duration{}}
			}
			routes[name].add(line)
		}
	}
	for name, tally := range routes {
		summary.Routes = append(summary.Routes, tally.summary(name))
	}
	slices.SortFunc(summary.Routes, func(a, b RouteSummary) int { return cmp.Compare(a.Route, b.Route) })
	return summary, nil
}

type routeTally struct {
	ended, inTime int
	losses        map[Loss]int // by loss without its count
	stages        map[string][]time.Duration
}

func (tally *routeTally) add(line Line) {
	tally.ended++
	outcome := line.text("Outcome")
	if outcome != "Served" {
		tally.losses[Loss{Outcome: outcome, Where: reason(line.text("Cause"))}]++
		return
	}
	parts := line.parts()
	longest := ""
	for _, part := range slices.Sorted(maps.Keys(parts)) {
		tally.stages[part] = append(tally.stages[part], parts[part])
		if longest == "" || parts[part] > parts[longest] {
			longest = part
		}
	}
	if line.duration("First") <= line.duration("SoftLeft") {
		tally.inTime++
		return
	}
	if line.duration("SoftLeft") <= 0 {
		longest = "first attempt" // the caller was rejected before, and its objective has passed meanwhile
	}
	tally.losses[Loss{Outcome: "Late", Where: longest}]++
}

// parts returns the time of each stage and of the target, by name.
func (line Line) parts() map[string]time.Duration {
	parts := map[string]time.Duration{"target": line.duration("First") - line.duration("Stages")}
	times, _ := line.Fields["StageTimes"].([]any)
	for i, value := range times {
		if milliseconds, ok := value.(float64); ok && milliseconds > 0 {
			parts[fmt.Sprint("stage ", i)] = time.Duration(milliseconds * float64(time.Millisecond))
		}
	}
	return parts
}

// reason shortens a cause to what requests have in common: its kind and its first words, without figures.
func reason(cause string) string {
	kind, rest, found := strings.Cut(cause, ": ")
	if !found {
		return cause
	}
	rest, _, _ = strings.Cut(rest, "; ")
	if name, figures, found := strings.Cut(rest, ": "); found && strings.ContainsAny(figures, "0123456789") {
		rest = name
	}
	return kind + ": " + rest
}

func (tally *routeTally) summary(name string) RouteSummary {
	summary := RouteSummary{Route: name, Ended: tally.ended, InTime: tally.inTime}
	for loss, count := range tally.losses {
		loss.Count = count
		summary.Losses = append(summary.Losses, loss)
	}
	slices.SortFunc(summary.Losses, func(a, b Loss) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Where, b.Where))
	})
	for stage, times := range tally.stages {
		slices.Sort(times)
		at := func(share float64) time.Duration { return times[min(int(float64(len(times))*share), len(times)-1)] }
		summary.Stages = append(summary.Stages, StageTiming{Stage: stage, Median: at(0.5), P90: at(0.9), P99: at(0.99)})
	}
	slices.SortFunc(summary.Stages, func(a, b StageTiming) int { return cmp.Compare(a.Stage, b.Stage) })
	return summary
}

func (line Line) text(field string) string {
	text, _ := line.Fields[field].(string)
	return text
}

func (line Line) duration(field string) time.Duration {
	milliseconds, _ := line.Fields[field].(float64)
	return time.Duration(milliseconds * float64(time.Millisecond))
}
