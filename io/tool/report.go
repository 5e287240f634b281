package tool

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"catkincove/core/burn"
	"catkincove/core/config"
	"catkincove/io/report"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the burn rates of the service levels, merged over all reachable daemons",
		Flags: append(connectionFlags(),
			&cli.StringFlag{Name: "html", Usage: "also write the report as one HTML `FILE`"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			snapshot, levels, err := fetchReport(ctx, command)
			if err != nil {
				return err
			}
			if file := command.String("html"); file != "" {
				if err := writeHTML(file, snapshot, levels); err != nil {
					return err
				}
			}
			if wantsJSON(command) {
				return report.JSON(writer(command), snapshot, levels)
			}
			return report.Text(writer(command), snapshot, levels)
		},
	}
}

func fetchReport(ctx context.Context, command *cli.Command) (burn.Snapshot, []config.ServiceLevel, error) {
	client := newClient(command)
	responses, missing, err := callAllDaemons(ctx, client, "/v1/report")
	if err != nil {
		return burn.Snapshot{}, nil, err
	}
	var snapshots []burn.Snapshot
	for _, response := range responses {
		snapshot, err := report.Decode(bytes.NewReader(response))
		if err != nil {
			return burn.Snapshot{}, nil, fmt.Errorf("decode report: %w", err)
		}
		snapshots = append(snapshots, snapshot)
	}
	statuses, _, err := fetchStatuses(ctx, client)
	if err != nil || len(statuses) == 0 {
		return burn.Snapshot{}, nil, err
	}
	var levels []config.ServiceLevel
	for _, level := range statuses[0].ServiceLevels {
		period := time.Duration(level.PeriodMs) * time.Millisecond
		levels = append(levels, config.ServiceLevel{Pipeline: level.Pipeline, Objective: level.Objective, Period: period})
	}
	return burn.Merge(snapshots...).WithMissing(missing...), levels, nil
}

func writeHTML(file string, snapshot burn.Snapshot, levels []config.ServiceLevel) error {
	var buffer bytes.Buffer
	if err := report.HTML(&buffer, snapshot, levels); err != nil {
		return err
	}
	if err := os.WriteFile(file, buffer.Bytes(), 0o644); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
