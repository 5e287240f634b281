package report

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"catkincove/core/burn"
	"catkincove/core/config"
)

const barWidth = 20 // characters

// Text writes the snapshot and the burn of its service levels for a terminal; it returns errors of writer.
func Text(writer io.Writer, snapshot burn.Snapshot, levels []config.ServiceLevel) error {
	var text bytes.Buffer
	fmt.Fprintf(&text, "%d daemons, counting for at most %s, %d requests excluded as caller errors\n",
		len(snapshot.Daemons), roundDuration(snapshot.Up), snapshot.Excluded)
	if len(snapshot.Missing) > 0 {
		fmt.Fprintf(&text, "MISSING: no report from %s; the figures below exclude them\n", strings.Join(snapshot.Missing, ", "))
	}
	for _, row := range joinLevels(snapshot, levels) {
		textPipeline(&text, row)
	}
	textNames(&text, "Data centres", snapshot.DataCentres)
	textNames(&text, "Teams", snapshot.Teams)
	if _, err := writer.Write(text.Bytes()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

func textPipeline(text *bytes.Buffer, row row) {
	pipeline := row.pipeline
	fmt.Fprintf(text, "\nPipeline %s", pipeline.Name)
	if row.hasLevel {
		fmt.Fprintf(text, ": objective %.2f%%, budget left %.1f%%, alert %s", 100*row.burn.Objective, 100*row.burn.Left, row.burn.Alert)
	}
	text.WriteString("\n  Window      In time                          Requests   Burn  First token  Token gap\n")
	for i, count := range pipeline.Counts {
		rate := "-"
		if row.hasLevel {
			rate = fmt.Sprintf("%.1f", row.burn.Rates[i])
		}
		fmt.Fprintf(text, "  %-9s %s %8d %6s %12s %10s\n", windowName(burn.Windows[i]), goodRatioBar(count), count.Total(), rate,
			percent(pipeline.FirstToken[i]), percent(pipeline.TokenGap[i]))
	}
	fmt.Fprintf(text, "  Latency: median %s, 95%% %s, 99%% %s\n", roundDuration(pipeline.Latency.Quantile(0.5)),
		roundDuration(pipeline.Latency.Quantile(0.95)), roundDuration(pipeline.Latency.Quantile(0.99)))
	text.WriteString("  Stage          Requests  Attempts  Target      Wasted      Queued      99%         Late requests\n")
	for _, stage := range pipeline.Stages {
		fmt.Fprintf(text, "  %-14s %8d %9d  %-10s  %-10s  %-10s  %-10s  %d\n", stage.Name, stage.Requests, stage.Attempts,
			roundDuration(stage.Target), roundDuration(stage.Wasted), roundDuration(stage.Queued), roundDuration(stage.Latency.Quantile(0.99)), stage.Blamed)
	}
}

func textNames(text *bytes.Buffer, title string, namedCounts []burn.NamedCounts) {
	fmt.Fprintf(text, "\n%s with the lowest share of requests in time in the last hour (%d of %d)\n", title, min(maxNames, len(namedCounts)), len(namedCounts))
	for _, entry := range lowestGoodRatios(namedCounts) {
		fmt.Fprintf(text, "  %-24s %s %8d\n", entry.Name, goodRatioBar(entry.Counts[1]), entry.Counts[1].Total())
	}
}

func goodRatioBar(count burn.Count) string {
	filled := int(count.GoodRatio() * barWidth)
	if count.Total() == 0 {
		filled = 0
	}
	return fmt.Sprintf("[%s%s] %8s", strings.Repeat("#", filled), strings.Repeat(".", barWidth-filled), percent(count))
}

func percent(count burn.Count) string {
	if count.Total() == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f%%", 100*count.GoodRatio())
}
