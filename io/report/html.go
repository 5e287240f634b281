package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"
	"time"

	"catkincove/core/burn"
	"catkincove/core/config"
)

//go:embed report.html
var pageText string

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent":  percent,
	"short":    roundDuration,
	"latency":  latencyPlot,
	"burnPlot": burnPlot,
	"costs":    costPlot,
	"share":    func(share float64) string { return fmt.Sprintf("%.2f%%", 100*share) },
	"window":   func(i int) string { return windowName(burn.Windows[i]) },
	"quantile": func(latency burn.Histogram, share float64) string { return roundDuration(latency.Quantile(share)) },
}).Parse(pageText))

// pageRow is a row with exported fields, which the template reads.
type pageRow struct {
	Pipeline burn.PipelineReport
	HasLevel bool
	Burn     burn.Burn
}

// HTML writes the snapshot and the burn of its service levels as one self-contained page; it returns errors of writer.
func HTML(writer io.Writer, snapshot burn.Snapshot, levels []config.ServiceLevel) error {
	var rows []pageRow
	for _, row := range joinLevels(snapshot, levels) {
		rows = append(rows, pageRow{Pipeline: row.pipeline, HasLevel: row.hasLevel, Burn: row.burn})
	}
	err := page.Execute(writer, map[string]any{
		"Snapshot":    snapshot,
		"Missing":     strings.Join(snapshot.Missing, ", "),
		"Rows":        rows,
		"Teams":       lowestGoodRatios(snapshot.Teams),
		"DataCentres": lowestGoodRatios(snapshot.DataCentres),
	})
	if err != nil {
		return fmt.Errorf("write report as HTML: %w", err)
	}
	return nil
}

// Size of the plots in SVG units.
const (
	plotWidth  = 420
	plotHeight = 140
	plotMargin = 30
)

// svg builds the elements of one plot; texts are escaped with template.HTMLEscapeString.
type svg struct{ strings.Builder }

func newSVG(title string) *svg {
	plot := &svg{}
	fmt.Fprintf(plot, `<svg viewBox="0 0 %d %d" width="%d" role="img"><title>%s</title>`,
		plotWidth+2*plotMargin, plotHeight+2*plotMargin, plotWidth+2*plotMargin, template.HTMLEscapeString(title))
	plot.text(plotMargin, plotMargin-12, title)
	plot.line(0, plotHeight, plotWidth, plotHeight, "axis")
	return plot
}

func (plot *svg) text(x, y float64, text string) {
	fmt.Fprintf(plot, `<text x="%.1f" y="%.1f">%s</text>`, x, y, template.HTMLEscapeString(text))
}

func (plot *svg) line(x1, y1, x2, y2 float64, class string) {
	fmt.Fprintf(plot, `<line x1="%.1f" y1="%.1f" x2="%.1f" y2="%.1f" class="%s"/>`,
		x1+plotMargin, y1+plotMargin, x2+plotMargin, y2+plotMargin, class)
}

func (plot *svg) box(x, y, width, height float64, class string) {
	fmt.Fprintf(plot, `<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" class="%s"/>`,
		x+plotMargin, y+plotMargin, width, height, class)
}

// html closes the plot and returns its markup.
func (plot *svg) html() template.HTML {
	plot.WriteString("</svg>")
	return template.HTML(plot.String())
}

// latencyPlot returns the cumulative distribution of latencies, with a logarithmic time axis from 1 ms to 1 min.
func latencyPlot(latency burn.Histogram) template.HTML {
	plot := newSVG("Share of requests by latency")
	if len(latency) == 0 {
		return plot.html()
	}
	low := math.Log(float64(time.Millisecond))
	high := math.Log(float64(time.Minute))
	xOf := func(duration time.Duration) float64 {
		return plotWidth * min(max((math.Log(float64(max(duration, 1)))-low)/(high-low), 0), 1)
	}
	for _, tick := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second} {
		plot.line(xOf(tick), 0, xOf(tick), plotHeight, "grid")
		plot.text(xOf(tick)+plotMargin-8, plotHeight+plotMargin+14, tick.String())
	}
	plot.WriteString(`<polyline class="curve" points="`)
	total, sum := float64(latency.Total()), 0.0
	for _, bin := range latency {
		sum += float64(bin.Count)
		fmt.Fprintf(plot, "%.1f,%.1f ", xOf(bin.Duration)+plotMargin, plotHeight*(1-sum/total)+plotMargin)
	}
	plot.WriteString(`"/>`)
	return plot.html()
}

// burnPlot returns one bar per window with its burn rate; the line marks rate 1, which uses up the budget exactly.
func burnPlot(level burn.Burn) template.HTML {
	plot := newSVG("Burn rate by window")
	const maxRate, width = 20.0, plotWidth / 4.0
	for i, rate := range level.Rates {
		height := plotHeight * min(rate, maxRate) / maxRate
		class := "good"
		if rate > 1 {
			class = "bad"
		}
		plot.box(float64(i)*width+10, plotHeight-height, width-20, height, class)
		plot.text(float64(i)*width+plotMargin+10, plotHeight+plotMargin+14, fmt.Sprintf("%s: %.1f", windowName(burn.Windows[i]), rate))
	}
	plot.line(0, plotHeight*(1-1/maxRate), plotWidth, plotHeight*(1-1/maxRate), "limit")
	return plot.html()
}

// costPlot returns one stacked bar per stage with useful target time, wasted target time and queueing time.
func costPlot(stages []burn.StageReport) template.HTML {
	plot := newSVG("Time by stage: useful (blue), wasted (red), waiting for a target (grey)")
	longest := time.Duration(1)
	for _, stage := range stages {
		longest = max(longest, stage.Target+stage.Wasted+stage.Queued)
	}
	height := plotHeight / float64(max(len(stages), 1))
	for i, stage := range stages {
		x, y := 100.0, float64(i)*height
		plot.text(plotMargin, y+plotMargin+height/2+4, stage.Name)
		for _, part := range []struct {
			duration time.Duration
			class    string
		}{{stage.Target, "good"}, {stage.Wasted, "bad"}, {stage.Queued, "wait"}} {
			width := (plotWidth - 100) * float64(part.duration) / float64(longest)
			plot.box(x, y+2, width, height-4, part.class)
			x += width
		}
	}
	return plot.html()
}
