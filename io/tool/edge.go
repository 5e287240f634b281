package tool

import (
	"context"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/edge"
	"catkincove/io/inifmt"
)

func edgeCommand(parts Parts) *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one daemon on the users' platform until SIGTERM, then drain and leave",
		Flags: []cli.Flag{&cli.StringFlag{
			Name: "config", Usage: "settings `FILE` (INI)", Required: true, Sources: cli.EnvVars("CATKINCOVE_CONFIG"),
		}},
		Action: func(ctx context.Context, command *cli.Command) error {
			file := command.String("config")
			settings, err := inifmt.LoadEdge(file)
			if err != nil {
				return core.Errorf(core.BadRequest, "%w", err)
			}
			clock := core.SystemClock{}
			daemon := edge.New(edge.Options{
				Settings: settings, SettingsFile: file, Dialect: parts.Dialect, Store: parts.Store(settings.Store, clock), Clock: clock, Log: writer(command),
			})
			// SIGINT cancels ctx, which ends the other commands; a daemon handles SIGINT itself and drains.
			return daemon.Run(context.WithoutCancel(ctx))
		},
	}
}
