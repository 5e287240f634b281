package tool

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/daemon"
	"catkincove/io/inifmt"
	"catkincove/io/intake"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one daemon until SIGTERM or SIGINT, then drain and leave",
		Description: "The first signal starts the drain: requests in progress are completed and callers that still cache this\n" +
			"address are served for KeepFor. Further signals are ignored; only SIGKILL ends the daemon at once.",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Usage: "settings `FILE` (INI)", Required: true}},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings, err := inifmt.LoadSettings(command.String("config"))
			if err != nil {
				return core.Errorf(core.BadRequest, "%w", err)
			}
			// SIGINT cancels ctx, which ends the other commands; a daemon handles SIGINT itself and drains.
			return serve(context.WithoutCancel(ctx), settings, command.Root().ErrWriter)
		},
	}
}

func serve(ctx context.Context, settings inifmt.Settings, log io.Writer) error {
	logger, err := newLogger(settings.Daemon, log)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(intake.Limits{MemoryBytes: int64(settings.Daemon.MemoryMB) << 20}.RuntimeBytes())
	instance, err := daemon.New(daemon.Options{
		Name:         settings.Daemon.Name,
		Listen:       settings.Daemon.Listen,
		Advertise:    settings.Daemon.Advertise,
		DataCentre:   settings.Daemon.DataCentre,
		KeepFor:      settings.Daemon.KeepFor,
		Endpoints:    settings.Store.Endpoints,
		StoreTimeout: settings.Store.Timeout,
		Seeds:        settings.Peers.Seeds,
		VMList:       settings.VMList.URL,
		MemoryMB:     settings.Daemon.MemoryMB,
		Descriptors:  settings.Daemon.Descriptors,
		Log:          logger,
	})
	if err != nil {
		return core.Errorf(core.Unavailable, "%w", err)
	}
	signals, stop := drainSignals()
	defer stop()
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-signals:
				instance.Drain()
			case <-done:
				return
			}
		}
	}()
	return instance.Run(ctx)
}

func newLogger(settings inifmt.DaemonSettings, out io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(settings.LogLevel)
	if err != nil {
		return zerolog.Nop(), core.Errorf(core.BadRequest, "LogLevel: %w", err)
	}
	if settings.LogFormat == "console" {
		out = zerolog.ConsoleWriter{Out: out}
	}
	return zerolog.New(out).Level(level).With().Timestamp().Logger(), nil
}
