package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"catkincove/stand/bench"
)

// stickySites is the number of daemons that receive a team's requests while its callers keep their daemon addresses.
const stickySites = 4

func measureWindow() *cli.Command {
	return &cli.Command{
		Name:  "measure-window",
		Usage: "compare methods to count each team's requests of the last 5 minutes over all daemons, in virtual time",
		Flags: []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of runs, with seeds from 1"}},
		Action: func(_ context.Context, command *cli.Command) error {
			shape := bench.WindowShape{Daemons: 390, Teams: 5800, Rate: 1300} // the design scale
			for _, shape.Sites = range []int{shape.Daemons, stickySites} {
				for _, result := range bench.MeasureWindow(shape, command.Int("seeds")) {
					if err := printResult(result); err != nil {
						return err
					}
				}
			}
			return nil
		},
	}
}
