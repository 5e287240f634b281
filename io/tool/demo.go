package tool

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

// DemoOptions configures the demo.
type DemoOptions struct {
	Input    string // path of a text file with passages separated by blank lines; empty selects the sample documents
	Question string // question about the documents; required with Input
	Verbose  bool   // whether the output includes the log of the daemons
}

func demoCommand(parts Parts) *cli.Command {
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
			options := DemoOptions{
				Input:    command.String("input"),
				Question: command.String("question"),
				Verbose:  command.Bool("verbose"),
			}
			return parts.Demo(ctx, options, writer(command))
		},
	}
}
