package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	// Importing runtime/cgo links the program to the C library even when no other package needs it.
	_ "runtime/cgo"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt)
	app := &cli.Command{
		Name:  "standin",
		Usage: "run stand-ins of the platform",
		Commands: []*cli.Command{
			loadCommand(),
		},
	}
	err := app.Run(ctx, os.Args)
	cancel()
	if err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}
