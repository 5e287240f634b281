package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"catkincove/stand/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "run one load against the daemons and against a baseline router; prints one JSON line and one text line for each",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "mix", Value: "fans", Usage: "fans or cloakroom"},
			&cli.StringFlag{Name: "scenario", Value: "steady", Usage: "steady, double, leave, failing, crashing, calm, flood, cold or burst"},
			&cli.StringFlag{Name: "system", Usage: "catkincove or baseline; both if empty"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.FloatFlag{Name: "load", Usage: "offered rate as a fraction of the capacity; 0 uses the load of the scenario"},
			&cli.FloatFlag{Name: "capacity", Usage: "requests per second; 0 uses the nominal capacity of the mix"},
			&cli.DurationFlag{Name: "warmup", Value: 4 * time.Second},
			&cli.DurationFlag{Name: "window", Value: 8 * time.Second},
			&cli.BoolFlag{Name: "watch", Usage: "print the state of the pools to standard error"},
			&cli.StringFlag{Name: "log", Value: "disabled", Usage: "level of the daemons' log, which goes to standard error"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, command *cli.Command) error {
	level, err := zerolog.ParseLevel(command.String("log"))
	if err != nil {
		return err
	}
	settings := load.Settings{
		Mix: command.String("mix"), Scenario: command.String("scenario"), Seed: command.Uint64("seed"),
		Load: command.Float("load"), Capacity: command.Float("capacity"),
		Warmup: command.Duration("warmup"), Window: command.Duration("window"),
		Log: zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(),
	}
	if command.Bool("watch") {
		settings.Watch = func(line string) { _, _ = fmt.Fprintln(os.Stderr, line) }
	}
	systems := []string{load.Catkincove, load.Baseline}
	if only := command.String("system"); only != "" {
		systems = []string{only}
	}
	for _, system := range systems {
		report, err := load.Run(ctx, system, settings)
		if err != nil {
			return fmt.Errorf("%s: %w", system, err)
		}
		encoded, err := json.Marshal(report)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(command.Root().Writer, "%s\n%s\n", encoded, report)
	}
	return nil
}
