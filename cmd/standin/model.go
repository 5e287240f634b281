package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"catkincove/core/config"
	"catkincove/stand/engine"
	"catkincove/stand/model"
	"catkincove/stand/text"
)

var serviceKinds = map[string]config.ServiceKind{
	"encode": config.Encode, "retrieve": config.Retrieve, "rerank": config.Rerank, "generate": config.Generate,
}

func engineFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "name", Value: "target", Usage: "name of the target; part of its start IDs"},
		&cli.IntFlag{Name: "capacity", Usage: "number of concurrent requests"},
		&cli.IntFlag{Name: "wait-limit", Usage: "length of the wait queue; further requests are rejected"},
		&cli.IntFlag{Name: "hard-limit", Usage: "running and waiting requests above which a warm target crashes"},
		&cli.IntFlag{Name: "cold-bearing", Usage: "running requests above which a cold target crashes"},
		&cli.IntFlag{Name: "warm-after", Usage: "completed requests after which the target is warm"},
		&cli.DurationFlag{Name: "restart", Usage: "downtime after a crash"},
		&cli.DurationFlag{Name: "load-lag", Usage: "age of load reports"},
	}
}

func engineSettings(command *cli.Command) engine.Settings {
	return engine.Settings{
		Capacity: command.Int("capacity"), WaitLimit: command.Int("wait-limit"), HardLimit: command.Int("hard-limit"),
		MaxColdRunning: command.Int("cold-bearing"), WarmAfter: command.Int("warm-after"),
		Restart: command.Duration("restart"), LoadLag: command.Duration("load-lag"),
	}
}

func modelCommand() *cli.Command {
	return &cli.Command{
		Name:  "model",
		Usage: "model engine",
		Flags: append(engineFlags(),
			&cli.StringFlag{Name: "kind", Value: "generate", Usage: "encode, retrieve, rerank or generate"},
			&cli.StringSliceFlag{Name: "model", Usage: "model loaded at the start; may be repeated"},
			&cli.StringFlag{Name: "text", Usage: "file that a retriever searches instead of the built-in sample"},
			&cli.DurationFlag{Name: "service-time"},
			&cli.DurationFlag{Name: "token-time"},
			&cli.IntFlag{Name: "event-tokens", Usage: "tokens per event"},
			&cli.IntFlag{Name: "answer-tokens", Usage: "minimum length of an answer in tokens, before truncation"},
			&cli.IntFlag{Name: "cache-blocks"},
			&cli.DurationFlag{Name: "cache-lag"},
			&cli.IntFlag{Name: "gap-every", Usage: "drop every n-th cache event"},
			&cli.BoolFlag{Name: "checks-fencing"},
		),
		Action: runModel,
	}
}

func runModel(ctx context.Context, command *cli.Command) error {
	kind, known := serviceKinds[command.String("kind")]
	if !known {
		return fmt.Errorf("kind %q is not encode, retrieve, rerank or generate", command.String("kind"))
	}
	settings := model.Settings{
		Settings: engineSettings(command), Kind: kind, Models: command.StringSlice("model"),
		ServiceTime: command.Duration("service-time"), TokenTime: command.Duration("token-time"),
		EventTokens: command.Int("event-tokens"), MinAnswerTokens: command.Int("answer-tokens"),
		CacheBlocks: command.Int("cache-blocks"), CacheLag: command.Duration("cache-lag"),
		EventLossInterval: command.Int("gap-every"), ChecksFencing: command.Bool("checks-fencing"),
	}
	if path := command.String("text"); path != "" {
		index, err := loadIndex(path)
		if err != nil {
			return err
		}
		settings.Index = index
	}
	return serve(ctx, command, model.New(command.String("name"), settings))
}

func loadIndex(path string) (*text.Index, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	passages, err := text.Load(file)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return text.NewIndex(passages), nil
}
