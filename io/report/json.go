package report

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"catkincove/core"
	"catkincove/core/burn"
	"catkincove/core/config"
)

// The wire types are the JSON form of a snapshot; durations are strings such as "1.5s".
type (
	wireSnapshot struct {
		Daemons     []string
		Missing     []string
		Up          string
		Excluded    int64
		Pipelines   []wirePipeline
		Teams       []wireName
		DataCentres []wireName
		Levels      []wireLevel
	}
	wirePipeline struct {
		Name       string
		Counts     []wireCount
		FirstToken []wireCount
		TokenGap   []wireCount
		Latency    []wireBar
		Stages     []wireStage
	}
	wireStage struct {
		Name     string
		Requests int64
		Attempts int64
		Queued   string
		Target   string
		Wasted   string
		Blamed   int64
		Latency  []wireBar
	}
	wireName struct {
		Name   string
		Counts []wireCount
	}
	wireCount struct {
		Window string
		Good   int64
		Bad    int64
	}
	wireBar struct {
		Took  string
		Count int64
	}
	wireLevel struct {
		Pipeline  string
		Objective float64
		BurnRates []float64
		Left      float64
		Alert     string
	}
)

// JSON writes the snapshot and the burn of its service levels as JSON; it returns errors of writer.
func JSON(writer io.Writer, snapshot burn.Snapshot, levels []config.ServiceLevel) error {
	wire := wireSnapshot{
		Missing:     snapshot.Missing,
		Up:          snapshot.Up.String(),
		Excluded:    snapshot.Excluded,
		Teams:       encodeNames(snapshot.Teams),
		DataCentres: encodeNames(snapshot.DataCentres),
	}
	for _, daemon := range snapshot.Daemons {
		wire.Daemons = append(wire.Daemons, string(daemon))
	}
	for _, pipeline := range snapshot.Pipelines {
		wire.Pipelines = append(wire.Pipelines, encodePipeline(pipeline))
	}
	for _, row := range joinLevels(snapshot, levels) {
		wire.Levels = append(wire.Levels, wireLevel{
			Pipeline:  row.pipeline.Name,
			Objective: row.burn.Objective,
			BurnRates: row.burn.Rates[:],
			Left:      row.burn.Left,
			Alert:     row.burn.Alert.String(),
		})
	}
	if err := json.NewEncoder(writer).Encode(wire); err != nil {
		return fmt.Errorf("write report as JSON: %w", err)
	}
	return nil
}

func encodePipeline(pipeline burn.PipelineReport) wirePipeline {
	wire := wirePipeline{
		Name:       pipeline.Name,
		Counts:     encodeCounts(pipeline.Counts),
		FirstToken: encodeCounts(pipeline.FirstToken),
		TokenGap:   encodeCounts(pipeline.TokenGap),
		Latency:    encodeHistogram(pipeline.Latency),
	}
	for _, stage := range pipeline.Stages {
		wire.Stages = append(wire.Stages, wireStage{
			Name:     stage.Name,
			Requests: stage.Requests,
			Attempts: stage.Attempts,
			Queued:   stage.Queued.String(),
			Target:   stage.Target.String(),
			Wasted:   stage.Wasted.String(),
			Blamed:   stage.Blamed,
			Latency:  encodeHistogram(stage.Latency),
		})
	}
	return wire
}

func encodeNames(namedCounts []burn.NamedCounts) []wireName {
	var names []wireName
	for _, entry := range namedCounts {
		names = append(names, wireName{Name: entry.Name, Counts: encodeCounts(entry.Counts)})
	}
	return names
}

func encodeCounts(counts burn.Counts) []wireCount {
	var wire []wireCount
	for i, count := range counts {
		wire = append(wire, wireCount{Window: burn.Windows[i].String(), Good: count.Good, Bad: count.Bad})
	}
	return wire
}

func encodeHistogram(histogram burn.Histogram) []wireBar {
	var bars []wireBar
	for _, bin := range histogram {
		bars = append(bars, wireBar{Took: bin.Duration.String(), Count: bin.Count})
	}
	return bars
}

// decoder converts the JSON form to a snapshot and keeps the first error.
type decoder struct{ err error }

// Decode reads a snapshot written by JSON; it ignores service levels, which can be computed again from the counts.
func Decode(reader io.Reader) (burn.Snapshot, error) {
	var wire wireSnapshot
	if err := json.NewDecoder(reader).Decode(&wire); err != nil {
		return burn.Snapshot{}, fmt.Errorf("read report: %w", err)
	}
	var decoder decoder
	snapshot := burn.Snapshot{
		Missing:     wire.Missing,
		Up:          decoder.duration(wire.Up),
		Excluded:    wire.Excluded,
		Teams:       decoder.names(wire.Teams),
		DataCentres: decoder.names(wire.DataCentres),
	}
	for _, daemon := range wire.Daemons {
		snapshot.Daemons = append(snapshot.Daemons, core.MemberID(daemon))
	}
	for _, pipeline := range wire.Pipelines {
		snapshot.Pipelines = append(snapshot.Pipelines, decoder.pipeline(pipeline))
	}
	if decoder.err != nil {
		return burn.Snapshot{}, fmt.Errorf("read report: %w", decoder.err)
	}
	return snapshot, nil
}

func (decoder *decoder) duration(text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil && decoder.err == nil {
		decoder.err = err
	}
	return duration
}

func (decoder *decoder) pipeline(wire wirePipeline) burn.PipelineReport {
	pipeline := burn.PipelineReport{
		Name:       wire.Name,
		Counts:     decoder.counts(wire.Counts),
		FirstToken: decoder.counts(wire.FirstToken),
		TokenGap:   decoder.counts(wire.TokenGap),
		Latency:    decoder.histogram(wire.Latency),
	}
	for _, stage := range wire.Stages {
		pipeline.Stages = append(pipeline.Stages, burn.StageReport{
			Name:     stage.Name,
			Requests: stage.Requests,
			Attempts: stage.Attempts,
			Queued:   decoder.duration(stage.Queued),
			Target:   decoder.duration(stage.Target),
			Wasted:   decoder.duration(stage.Wasted),
			Blamed:   stage.Blamed,
			Latency:  decoder.histogram(stage.Latency),
		})
	}
	return pipeline
}

func (decoder *decoder) names(wire []wireName) []burn.NamedCounts {
	var namedCounts []burn.NamedCounts
	for _, name := range wire {
		namedCounts = append(namedCounts, burn.NamedCounts{Name: name.Name, Counts: decoder.counts(name.Counts)})
	}
	return namedCounts
}

// counts matches counts to burn.Windows by the length of their window; an unknown length is an error.
func (decoder *decoder) counts(wire []wireCount) (counts burn.Counts) {
	for _, count := range wire {
		window, found := decoder.duration(count.Window), false
		for i, length := range burn.Windows {
			if length == window {
				counts[i], found = burn.Count{Good: count.Good, Bad: count.Bad}, true
			}
		}
		if !found && decoder.err == nil {
			decoder.err = fmt.Errorf("window %q is not one of the report's windows", count.Window)
		}
	}
	return counts
}

func (decoder *decoder) histogram(wire []wireBar) burn.Histogram {
	var histogram burn.Histogram
	for _, bar := range wire {
		histogram = append(histogram, burn.Bin{Duration: decoder.duration(bar.Took), Count: bar.Count})
	}
	return histogram
}
