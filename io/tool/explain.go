package tool

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"catkincove/core"
	"catkincove/io/story"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the log lines of all daemons that concern one request, in time order",
		ArgsUsage: "ID [FILE...]",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "output", Usage: "text or json", Value: outputText, Validator: validateOutput},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			id := command.Args().First()
			if id == "" {
				return core.Errorf(core.BadRequest, "the request ID is missing")
			}
			logs, closeLogs, err := openLogs(command, command.Args().Tail())
			if err != nil {
				return err
			}
			defer closeLogs()
			found, err := story.Find(id, logs...)
			if errors.Is(err, story.ErrUnknown) {
				return core.Errorf(core.NotFound, "%w; %d lines could not be read", err, found.Unreadable)
			}
			if err != nil {
				return core.Errorf(core.BadRequest, "%w", err)
			}
			if command.String("output") == outputJSON {
				return json.NewEncoder(command.Root().Writer).Encode(storyAsJSON(found))
			}
			return printStory(command.Root().Writer, found)
		},
	}
}

// openLogs opens the files, or returns standard input if there are none.
func openLogs(command *cli.Command, names []string) (logs []io.Reader, closeLogs func(), err error) {
	if len(names) == 0 {
		return []io.Reader{command.Root().Reader}, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			_ = file.Close()
		}
	}
	for _, name := range names {
		file, err := os.Open(name)
		if err != nil {
			closeLogs()
			return nil, nil, core.Errorf(core.BadRequest, "%w", err)
		}
		files, logs = append(files, file), append(logs, file)
	}
	return logs, closeLogs, nil
}

func storyAsJSON(found story.Story) map[string]any {
	lines := []map[string]any{}
	for _, line := range found.Lines {
		lines = append(lines, line.Fields)
	}
	return map[string]any{"Lines": lines, "Unreadable": found.Unreadable}
}

// columnFields are the fields that are printed in their own column, or that repeat a column.
var columnFields = []string{"time", "level", "Daemon", "Event", "Request", "message"}

func printStory(out io.Writer, found story.Story) error {
	for _, line := range found.Lines {
		mark := " "
		if line.NamesRequest {
			mark = "*"
		}
		var fields []string
		for name, value := range line.Fields {
			if text := fmt.Sprint(value); !slices.Contains(columnFields, name) && text != "" {
				fields = append(fields, name+"="+text)
			}
		}
		slices.Sort(fields)
		if text, _ := line.Fields["message"].(string); text != "" {
			fields = append([]string{text + ":"}, fields...)
		}
		if _, err := fmt.Fprintf(out, "%s %s %-16s %-16s %s\n", mark, line.At.Format("15:04:05.000"), line.Daemon, line.Event, strings.Join(fields, " ")); err != nil {
			return err
		}
	}
	if found.Unreadable > 0 {
		_, err := fmt.Fprintf(out, "%d lines could not be read\n", found.Unreadable)
		return err
	}
	return nil
}
