package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	// Importing runtime/cgo links the program to the C library even when no other package needs it.
	_ "runtime/cgo"

	"github.com/urfave/cli/v3"

	"catkincove/stand/fault"
	"catkincove/stand/kvsrv"
	"catkincove/stand/plain"
	"catkincove/stand/vmlist"
	"catkincove/stand/wire"
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
		Name:  "standin",
		Usage: "run one stand-in of the platform until SIGTERM; prints a JSON line with its Address once it is ready",
		Flags: []cli.Flag{&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "listening IP:port"}},
		Commands: []*cli.Command{
			storeCommand(), vmlistCommand(), modelCommand(), plainCommand(), proxyCommand(), measureCommand(), loadCommand(),
			measureWindow(),
		},
	}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "configuration store",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "progress", Usage: "time between progress notifications of watches"},
			&cli.IntFlag{Name: "history", Usage: "number of events kept for watches"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := kvsrv.Settings{Progress: command.Duration("progress"), History: command.Int("history")}
			return serve(ctx, command, kvsrv.New(settings))
		},
	}
}

func vmlistCommand() *cli.Command {
	return &cli.Command{
		Name:  "vmlist",
		Usage: "list of live and leaving VMs",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "lag", Usage: "delay until a change appears in the list"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			return serve(ctx, command, vmlist.New(command.Duration("lag")))
		},
	}
}

func plainCommand() *cli.Command {
	return &cli.Command{
		Name:  "plain",
		Usage: "plain service",
		Flags: append(engineFlags(), &cli.DurationFlag{Name: "service-time"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			settings := plain.Settings{Settings: engineSettings(command), ServiceTime: command.Duration("service-time")}
			return serve(ctx, command, plain.New(command.String("name"), settings))
		},
	}
}

func proxyCommand() *cli.Command {
	return &cli.Command{
		Name:  "proxy",
		Usage: "TCP proxy with scripted faults; its control endpoint has a separate address",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "target", Required: true, Usage: "IP:port to connect to"},
			&cli.StringFlag{Name: "control", Value: "127.0.0.1:0", Usage: "listening IP:port of the control endpoint"},
		},
		Action: func(ctx context.Context, command *cli.Command) error {
			proxy, err := fault.Listen(command.String("address"), command.String("target"))
			if err != nil {
				return err
			}
			defer proxy.Close()
			control, err := wire.Listen(command.String("control"), proxy)
			if err != nil {
				return err
			}
			defer control.Close()
			return printReady(ctx, map[string]string{"Address": proxy.Address(), "Control": control.Address()})
		},
	}
}

func serve(ctx context.Context, command *cli.Command, handler http.Handler) error {
	server, err := wire.Listen(command.String("address"), handler)
	if err != nil {
		return err
	}
	defer server.Close()
	return printReady(ctx, map[string]string{"Address": server.Address()})
}

// printReady prints the addresses as a JSON line and waits until ctx is done.
func printReady(ctx context.Context, addresses map[string]string) error {
	if err := json.NewEncoder(os.Stdout).Encode(addresses); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
