package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"catkincove/stand/bench"
)

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:     "measure",
		Usage:    "measure the cost of the control plane with daemon processes; prints one JSON line and one text line for each run",
		Commands: []*cli.Command{measureControl(), measureFailure(), measureFit()},
	}
}

func shapeFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "program", Usage: "path of the catkincove program", Required: true},
		&cli.IntFlag{Name: "daemons", Value: 8},
		&cli.IntFlag{Name: "targets", Value: 50},
		&cli.IntFlag{Name: "teams", Value: 50},
		&cli.IntFlag{Name: "services", Value: 25, Usage: "the number of pools is services x data centres, at most one per target"},
		&cli.IntFlag{Name: "centres", Value: 21},
		&cli.IntFlag{Name: "runs", Value: 3},
		&cli.DurationFlag{Name: "settle", Value: 4 * time.Second},
	}, extra...)
}

func shapeOf(command *cli.Command) bench.Shape {
	return bench.Shape{
		Daemons: command.Int("daemons"), Targets: command.Int("targets"), Teams: command.Int("teams"),
		Services: command.Int("services"), DataCentres: command.Int("centres"), Rate: command.Float("rate"),
	}
}

func measureControl() *cli.Command {
	return &cli.Command{
		Name:  "control",
		Usage: "measure daemons without traffic; each run is a window of the same fleet",
		Flags: shapeFlags(
			&cli.DurationFlag{Name: "window", Value: 5 * time.Second},
			&cli.FloatFlag{Name: "rate", Usage: "tickets per second"},
		),
		Action: func(ctx context.Context, command *cli.Command) error {
			fleet, err := bench.Start(ctx, command.String("program"), shapeOf(command))
			if err != nil {
				return err
			}
			defer fleet.Close()
			time.Sleep(command.Duration("settle"))
			for run := range command.Int("runs") {
				result, err := fleet.Window(command.Duration("window"), run+1)
				if err != nil {
					return err
				}
				if err := printResult(result); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func measureFailure() *cli.Command {
	return &cli.Command{
		Name:  "failure",
		Usage: "measure the time from killing daemons until all pools have owners with free slots; each run starts a new fleet",
		Flags: shapeFlags(&cli.IntFlag{Name: "kill", Value: 1, Usage: "number of daemons killed at once"}),
		Action: func(ctx context.Context, command *cli.Command) error {
			for range command.Int("runs") {
				if err := measureRecovery(ctx, command); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func measureRecovery(ctx context.Context, command *cli.Command) error {
	fleet, err := bench.Start(ctx, command.String("program"), shapeOf(command))
	if err != nil {
		return err
	}
	defer fleet.Close()
	time.Sleep(command.Duration("settle"))
	result, err := fleet.Kill(ctx, command.Int("kill"))
	return errors.Join(printResult(result), err)
}

// printResult prints the JSON line to standard output and the text line to standard error.
func printResult(result fmt.Stringer) error {
	line, err := json.Marshal(result)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	fmt.Fprintln(os.Stderr, result)
	return nil
}

func measureFit() *cli.Command {
	return &cli.Command{
		Name:  "fit",
		Usage: "fit a line to the JSON lines on standard input",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "x", Value: "Daemons", Usage: "numeric `FIELD`"},
			&cli.StringSliceFlag{Name: "y", Value: []string{"CPUPercent.Median"}, Usage: "numeric `FIELD`, such as CPUPercent.Median"},
			&cli.FloatFlag{Name: "at", Usage: "size at which the line is evaluated"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			rows, err := readRows(os.Stdin)
			if err != nil {
				return err
			}
			for _, field := range command.StringSlice("y") {
				if err := fitField(rows, command.String("x"), field, command.Float("at")); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func fitField(rows []map[string]any, x, y string, at float64) error {
	var points []bench.Point
	for _, row := range rows {
		points = append(points, bench.Point{X: fieldValue(row, x), Y: fieldValue(row, y)})
	}
	line, err := bench.Fit(points)
	if err != nil {
		return err
	}
	fmt.Printf("%s = %.5g + %.5g x %s, residual %.3g, %d points, at %g: %.5g\n",
		y, line.Intercept, line.Slope, x, line.Residual, line.Points, at, line.At(at))
	return nil
}

func readRows(reader io.Reader) ([]map[string]any, error) {
	var rows []map[string]any
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var row map[string]any
		if err := json.Unmarshal(scanner.Bytes(), &row); err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, scanner.Err()
}

// fieldValue returns the number at a dotted path, or 0 if there is none.
func fieldValue(row map[string]any, path string) float64 {
	name, rest, nested := strings.Cut(path, ".")
	if inner, isObject := row[name].(map[string]any); nested && isObject {
		return fieldValue(inner, rest)
	}
	number, _ := row[name].(float64)
	return number
}
