package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/story"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name:      "losses",
		Usage:     "print from the logs of edge daemons how the requests of each route ended, and where those that were not served in time did",
		ArgsUsage: "[FILE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: outputText, Validator: validateOutput},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			logs, closeLogs, err := openLogs(command, command.Args().Slice())
			if err != nil {
				return err
			}
			defer closeLogs()
			summary, err := story.Summarise(logs...)
			if err != nil {
				return core.Errorf(core.BadRequest, "%w", err)
			}
			if command.String("output") == outputJSON {
				return json.NewEncoder(command.Root().Writer).Encode(summary)
			}
			return printSummary(command.Root().Writer, summary)
		},
	}
}

func printSummary(out io.Writer, summary story.Summary) error {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	for _, route := range summary.Routes {
		name := route.Route
		if name == "" {
			name = "(no route)"
		}
		_, _ = fmt.Fprintf(table, "%s\t%d ended\t%d in time\n", name, route.Ended, route.InTime)
		for _, loss := range route.Losses {
			_, _ = fmt.Fprintf(table, "\t%d\t%s\t%s\n", loss.Count, loss.Outcome, loss.Where)
		}
		for _, stage := range route.Stages {
			_, _ = fmt.Fprintf(table, "\t%s\tmedian %v\tp90 %v, p99 %v\n", stage.Stage, stage.Median.Round(time.Millisecond), stage.P90.Round(time.Millisecond), stage.P99.Round(time.Millisecond))
		}
	}
	if summary.Unreadable > 0 {
		_, _ = fmt.Fprintf(table, "%d lines could not be read\n", summary.Unreadable)
	}
	return table.Flush()
}
