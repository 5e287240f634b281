package load

import (
	"fmt"
	"strings"
)

// String returns the report as one line.
func (report Report) String() string {
	var line strings.Builder
	add := func(format string, arguments ...any) { _, _ = fmt.Fprintf(&line, format, arguments...) }
	add("%-10s %-9s %-8s seed %d: offered %d (%.0f/s), attained %.2f%%, first token %.2f%%, token gap %.2f%%,",
		report.System, report.Mix, report.Scenario, report.Seed, report.Offered, report.Rate,
		100*report.Attainment, 100*report.FirstToken, 100*report.TokenGap)
	add(" goodput %.1f/s, work %.2f, cost %.3f, amplification %.3f, falls %d (%d unscripted), wrong %d, P50 %.0f ms, P99 %.0f ms, load %s, lag P99 %.0f ms;",
		report.Goodput, report.Work, report.CostRatio, report.Amplification, report.Falls, report.QuietFalls, report.Wrong,
		report.P50Ms, report.P99Ms, report.LoadAverage, report.LagP99Ms)
	for _, row := range report.Refusals {
		add(" [%s %d: P50 %.0f P99 %.0f max %.0f ms]", row.Kind, row.Count, row.P50Ms, row.P99Ms, row.MaxMs)
	}
	return line.String()
}
