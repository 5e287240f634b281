package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	// Importing runtime/cgo links the program to the C library even when no other package needs it.
	_ "runtime/cgo"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins of the platform and measurements against them",
		Commands: []*cli.Command{measureCommand()},
	}
}
