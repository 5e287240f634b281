package tool

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"catkincove/stand/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run two daemons with stand-ins for the platform in one process and demonstrate a pipeline",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "input", Usage: "text `FILE` to search, with passages separated by blank lines"},
			&cli.StringFlag{Name: "question", Usage: "the question to ask"},
			&cli.BoolFlag{Name: "verbose", Usage: "show the daemons' log"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			if command.Args().Present() {
				return fmt.Errorf("demo takes no arguments, but got %q", command.Args().First())
			}
			options := demo.Options{
				Input:    command.String("input"),
				Question: command.String("question"),
				Verbose:  command.Bool("verbose"),
			}
			return demo.Run(ctx, options, writer(command))
		},
	}
}
