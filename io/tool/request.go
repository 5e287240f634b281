package tool

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"catkincove/io/caller"
	"catkincove/io/entry"
)

func addressCommand() *cli.Command {
	return &cli.Command{
		Name:  "address",
		Usage: "print the daemons that a caller should use, best first",
		Flags: connectionFlags(),
		Action: func(ctx context.Context, command *cli.Command) error {
			addresses, err := newClient(command).Addresses(ctx)
			if err != nil {
				return err
			}
			if wantsJSON(command) {
				return printJSON(command, addresses)
			}
			for _, address := range addresses {
				printf(command, "%s\n", address)
			}
			return nil
		},
	}
}

func requestCommand() *cli.Command {
	return &cli.Command{
		Name:      "request",
		Usage:     "send a request to a pipeline and print the answer as it arrives",
		ArgsUsage: "PIPELINE",
		Flags: append(connectionFlags(),
			&cli.StringFlag{Name: "team", Usage: "team of the caller", Required: true, Sources: cli.EnvVars("CATKINCOVE_TEAM")},
			&cli.StringFlag{Name: "token", Usage: "bearer token of the team", Sources: cli.EnvVars("CATKINCOVE_TOKEN")},
			&cli.StringFlag{Name: "question", Usage: "the question"},
			&cli.StringSliceFlag{Name: "call", Usage: "STAGE=JSON, the body of a plain-service stage; @FILE reads a file"},
			&cli.StringFlag{Name: "key", Usage: "idempotency key (a ULID); 'new' generates one and prints it"},
			&cli.DurationFlag{Name: "deadline", Usage: "such as 5s; default is the deadline of the pipeline"},
			&cli.IntFlag{Name: "priority", Usage: "requests with a larger value are served first within the team"},
			&cli.BoolFlag{Name: "trace", Usage: "show the time spent in each stage"},
		),
		Action: runRequest,
	}
}

func runRequest(ctx context.Context, command *cli.Command) error {
	pipeline, err := oneArgument(command, "the pipeline")
	if err != nil {
		return err
	}
	calls, err := parseCalls(command.StringSlice("call"))
	if err != nil {
		return err
	}
	client := newClient(command)
	client.Team = command.String("team")
	client.Token = command.String("token")
	request := caller.Request{
		Pipeline: pipeline,
		Key:      idempotencyKey(command),
		Deadline: command.Duration("deadline"),
		Body: entry.RequestBody{
			Question: command.String("question"),
			Calls:    calls,
			Priority: command.Int("priority"),
			Trace:    command.Bool("trace"),
		},
	}
	emit := func(caller.Event) {}
	if !wantsJSON(command) {
		emit = func(event caller.Event) { printEvent(command, event) }
	}
	body, err := client.Do(ctx, request, emit)
	if err != nil {
		return err
	}
	if wantsJSON(command) {
		return printJSON(command, body)
	}
	printAnswer(command, body)
	return nil
}

func idempotencyKey(command *cli.Command) string {
	key := command.String("key")
	if key != "new" {
		return key
	}
	key = ulid.Make().String()
	_, _ = fmt.Fprintf(command.Root().ErrWriter, "key %s\n", key)
	return key
}

func parseCalls(texts []string) (map[string]json.RawMessage, error) {
	calls := map[string]json.RawMessage{}
	for _, text := range texts {
		stage, body, found := strings.Cut(text, "=")
		if !found || stage == "" {
			return nil, fmt.Errorf("call is %q, expected STAGE=JSON or STAGE=@FILE", text)
		}
		if file, isFile := strings.CutPrefix(body, "@"); isFile {
			data, err := os.ReadFile(file)
			if err != nil {
				return nil, fmt.Errorf("call of stage %q: %w", stage, err)
			}
			body = string(data)
		}
		if !json.Valid([]byte(body)) {
			return nil, fmt.Errorf("call of stage %q: %q is not JSON", stage, body)
		}
		calls[stage] = json.RawMessage(body)
	}
	return calls, nil
}

func printEvent(command *cli.Command, event caller.Event) {
	switch {
	case event.Restart:
		printf(command, "\n[answer restarts on another daemon]\n")
	case event.Token != nil:
		printf(command, "%s", event.Token.Text)
	case event.Stage != nil && event.Stage.State == "Started":
		_, _ = fmt.Fprintf(command.Root().ErrWriter, "stage %s\n", event.Stage.Stage)
	}
}

func printAnswer(command *cli.Command, body entry.AnswerBody) {
	printf(command, "\n")
	for stage, answer := range body.Calls {
		printf(command, "%s: %s\n", stage, answer)
	}
	for _, passage := range body.Passages {
		printf(command, "source [%s] %.2f\n", passage.ID, passage.Score)
	}
	for _, stage := range body.Trace {
		printf(command, "%-12s %-16s queued %7.1f ms, took %7.1f ms, attempts %d, time left %7.1f ms\n",
			stage.Stage, stage.Target, stage.QueuedMs, stage.TookMs, stage.Attempts, stage.TimeLeftMs)
	}
}
