package tool

import (
	"context"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/edge"
	"catkincove/io/inifmt"
	"catkincove/io/xchg"
	plat "catkincove/platform"
)

const (
	storeDialTimeout = 600 * time.Millisecond
	watchDebounce    = 200 * time.Millisecond // merges changes that arrive in quick succession
)

func edgeCommand() *cli.Command {
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
				Settings: settings, SettingsFile: file, Dialect: plat.Dialect{}, Clock: clock, Log: writer(command),
				Store: &plat.Store{
					Address: settings.Store, Clock: clock, WatchInterval: watchDebounce,
					HTTP: storeClient(),
				},
			})
			// SIGINT cancels ctx, which ends the other commands; a daemon handles SIGINT itself and drains.
			return daemon.Run(context.WithoutCancel(ctx))
		},
	}
}

// storeClient returns the HTTP client for the platform's store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: xchg.Dialer(storeDialTimeout).DialContext, MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: xchg.MaxHeadBytes,
	}}
}
