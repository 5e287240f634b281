package report

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"catkincove/core/burn"
	"catkincove/core/config"
)

const maxNames = 10 // maximum number of teams, and of data centres, shown in text and HTML

// row is one pipeline with the burn of its service level, if it has one.
type row struct {
	pipeline burn.PipelineReport
	hasLevel bool
	burn     burn.Burn
}

// joinLevels returns one row per pipeline with the burn of its service level, in the order of the snapshot.
func joinLevels(snapshot burn.Snapshot, levels []config.ServiceLevel) []row {
	rows := make([]row, 0, len(snapshot.Pipelines))
	for _, pipeline := range snapshot.Pipelines {
		row := row{pipeline: pipeline}
		for _, level := range levels {
			if level.Pipeline == pipeline.Name {
				row.hasLevel, row.burn = true, burn.BurnOf(pipeline.Counts, snapshot.Up, level)
			}
		}
		rows = append(rows, row)
	}
	return rows
}

// lowestGoodRatios returns at most maxNames names with the lowest ratio of good requests in the last hour.
func lowestGoodRatios(names []burn.NamedCounts) []burn.NamedCounts {
	sorted := slices.Clone(names)
	slices.SortStableFunc(sorted, func(a, b burn.NamedCounts) int {
		return cmp.Compare(a.Counts[1].GoodRatio(), b.Counts[1].GoodRatio())
	})
	return sorted[:min(maxNames, len(sorted))]
}

// roundDuration returns a duration rounded for display.
func roundDuration(duration time.Duration) string {
	switch {
	case duration >= time.Hour:
		return duration.Round(time.Minute).String()
	case duration >= time.Second:
		return duration.Round(10 * time.Millisecond).String()
	default:
		return duration.Round(100 * time.Microsecond).String()
	}
}

// windowName returns a window's length in its largest whole unit, such as "3 d".
func windowName(length time.Duration) string {
	const day = 24 * time.Hour
	switch {
	case length%day == 0:
		return fmt.Sprintf("%d d", length/day)
	case length%time.Hour == 0:
		return fmt.Sprintf("%d h", length/time.Hour)
	default:
		return fmt.Sprintf("%d min", length/time.Minute)
	}
}
