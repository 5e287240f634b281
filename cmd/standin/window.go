package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"catkincove/stand/bench"
)

func measureWindow() *cli.Command {
	return &cli.Command{
		Name:  "measure-window",
		Usage: "compare ways to count each team's requests of 5 minutes over all daemons, in virtual time",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "daemons", Value: 390},
			&cli.IntFlag{Name: "teams", Value: 5800},
			&cli.FloatFlag{Name: "rate", Value: 1300, Usage: "requests a second over all daemons"},
			&cli.IntFlag{Name: "sticky", Value: 4, Usage: "daemons that each team keeps to in the second case"},
			&cli.IntFlag{Name: "seeds", Value: 3, Usage: "runs, with seeds from 1"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			shape := bench.WindowShape{
				Daemons: command.Int("daemons"), Teams: command.Int("teams"), Rate: command.Float("rate"),
			}
			for _, shape.Sites = range []int{shape.Daemons, command.Int("sticky")} {
				for _, result := range bench.MeasureWindow(shape, command.Int("seeds")) {
					if err := show(result); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}
