package tool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/caller"
	"catkincove/io/inifmt"
)

const (
	exitFindings = 1  // check has found something in a routing that it could read
	exitUsage    = 64 // sysexits EX_USAGE
	outputText   = "text"
	outputJSON   = "json"
)

// Parts are the implementations that the main program plugs into the commands, which import neither a platform nor stand-ins.
type Parts struct {
	// Dialect is what the daemons of edge speak.
	Dialect core.Dialect
	// Store returns the store of edge at an address (IP:port).
	Store func(address string, clock core.Clock) core.Store
	// Format reads routings as operators write them for the daemons of edge.
	Format core.RoutingFormat
	// Demo runs the demo and writes what it shows to the output.
	Demo func(ctx context.Context, options DemoOptions, output io.Writer) error
}

// Main runs the command line and returns the exit code: 0, 1 for findings of check, 64 for wrong usage, or the code of the error's kind.
func Main(ctx context.Context, parts Parts, arguments []string, stdout, stderr io.Writer) int {
	command := App(parts, stdout, stderr)
	err := command.Run(ctx, arguments)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintf(stderr, "catkincove: %v\n", err)
	if errors.Is(err, errFindings) {
		return exitFindings
	}
	var e *core.Error
	if errors.As(err, &e) {
		return e.Kind.Answer().ExitCode
	}
	return exitUsage
}

// App returns the root command with all subcommands, writing to stdout and stderr.
func App(parts Parts, stdout, stderr io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "catkincove",
		Usage:       "serve multi-stage model pipelines",
		Description: "Exit codes: 0 done, 1 findings of check, 64 wrong usage or bad input, 65 conflict, 66 not found, 69 target failed,\n70 internal error, 75 try again later, 76 outcome unknown, 77 not authorised.",
		Writer:      stdout,
		ErrWriter:   stderr,
		Commands: []*cli.Command{
			serveCommand(),
			edgeCommand(parts),
			demoCommand(parts),
			addressCommand(),
			requestCommand(),
			ticketCommand(),
			checkCommand(parts),
			explainCommand(),
			lossesCommand(),
			statusCommand(),
			reportCommand(),
			versionCommand(),
		},
		// Main prints the error and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// SignalContext returns a context that is cancelled on SIGINT; SIGTERM is handled by the daemons, which drain on it.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt)
}

func connectionFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{
			Name:    "daemon",
			Usage:   "address (IP:port) of a daemon; may be repeated",
			Value:   []string{inifmt.DefaultListen},
			Sources: cli.EnvVars("CATKINCOVE_DAEMONS"),
		},
		&cli.StringFlag{Name: "output", Usage: "text or json", Value: outputText, Validator: validateOutput},
	}
}

func validateOutput(text string) error {
	if text != outputText && text != outputJSON {
		return fmt.Errorf("output is %q, expected %s or %s", text, outputText, outputJSON)
	}
	return nil
}

func newClient(command *cli.Command) *caller.Client {
	host, err := os.Hostname()
	if err != nil {
		host = "caller"
	}
	return &caller.Client{
		Seeds: command.StringSlice("daemon"),
		Name:  fmt.Sprintf("%s/%d", host, os.Getpid()),
	}
}

func wantsJSON(command *cli.Command) bool { return command.String("output") == outputJSON }

func writer(command *cli.Command) io.Writer { return command.Root().Writer }

func printf(command *cli.Command, format string, arguments ...any) {
	_, _ = fmt.Fprintf(writer(command), format, arguments...)
}

func printJSON(command *cli.Command, value any) error {
	encoder := json.NewEncoder(writer(command))
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func oneArgument(command *cli.Command, argument string) (string, error) {
	if command.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one argument, %s, but got %d", command.FullName(), argument, command.Args().Len())
	}
	return command.Args().First(), nil
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version, revision and Go version",
		Action: func(_ context.Context, command *cli.Command) error {
			info, found := debug.ReadBuildInfo()
			if !found {
				return core.Errorf(core.Internal, "the program has no build information")
			}
			printf(command, "catkincove %s %s\n", info.Main.Version, info.GoVersion)
			return nil
		},
	}
}

// drainSignals returns a channel of SIGTERM and SIGINT and a function that stops the notification; as these signals no
// longer end the process, a second one cannot cut off requests.
func drainSignals() (<-chan os.Signal, func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals, func() { signal.Stop(signals) }
}
