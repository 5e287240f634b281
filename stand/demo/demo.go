package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/rs/zerolog"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/io/caller"
	"catkincove/io/daemon"
	"catkincove/io/entry"
	"catkincove/io/inifmt"
	"catkincove/stand/model"
	"catkincove/stand/text"
	"catkincove/stand/world"
)

// Options selects the documents and the question; the zero value uses the sample documents and a sample question.
type Options struct {
	Input    string // path of a text file with passages separated by blank lines; empty selects the sample documents
	Question string // question about the documents; required with Input
	Verbose  bool   // whether the output includes the log of the daemons
}

const (
	keepFor        = time.Second
	readyTimeout   = 20 * time.Second
	stopTimeout    = 20 * time.Second
	loadInterval   = 25 * time.Millisecond
	settleTime     = 3 * time.Second // time after which a data centre that was taken out receives no new calls
	observeTime    = 2 * time.Second
	requestTimeout = 30 * time.Second
)

type demo struct {
	options      Options
	out          io.Writer
	world        *world.World
	client       *caller.Client
	localClients []*caller.Client // clients that know only the daemon of one data centre
	daemons      []*daemon.Daemon
}

// Run runs the demo and prints its progress; it returns an error when a step fails or has an unexpected result.
func Run(ctx context.Context, options Options, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	demo := &demo{options: options, out: out}
	index, question, err := demo.loadDocuments()
	if err != nil {
		return err
	}
	demo.world, err = world.Start(ctx, world.Options{
		Model: func(service string, settings *model.Settings) {
			if service == "retrieve" {
				settings.Index = index
			}
		},
	})
	if err != nil {
		return fmt.Errorf("start simulated platform: %w", err)
	}
	defer demo.world.Close()
	stop, err := demo.startDaemons(ctx)
	if err != nil {
		return err
	}
	steps := []func(context.Context) error{
		demo.applyFirstTicket,
		func(ctx context.Context) error { return demo.ask(ctx, question) },
		demo.bookTwice,
		demo.moveDataCentre,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if err := stop(); err != nil {
		return err
	}
	demo.printLine("done: the daemons drained and left")
	return nil
}

func (demo *demo) printLine(format string, arguments ...any) {
	_, _ = fmt.Fprintf(demo.out, format+"\n", arguments...)
}

// loadDocuments returns the index to search and the question to ask.
func (demo *demo) loadDocuments() (*text.Index, text.Question, error) {
	if demo.options.Input == "" {
		question := text.Questions(1)[0]
		if demo.options.Question != "" {
			question = text.Question{Text: demo.options.Question}
		}
		return text.Sample(), question, nil
	}
	if demo.options.Question == "" {
		return nil, text.Question{}, core.Errorf(core.BadRequest, "--input needs --question")
	}
	file, err := os.Open(demo.options.Input)
	if err != nil {
		return nil, text.Question{}, core.Errorf(core.BadRequest, "read input: %w", err)
	}
	defer func() { _ = file.Close() }()
	passages, err := text.Load(file)
	if err != nil {
		return nil, text.Question{}, core.Errorf(core.BadRequest, "read input %s: %w", demo.options.Input, err)
	}
	if len(passages) == 0 {
		return nil, text.Question{}, core.Errorf(core.BadRequest, "input %s has no text", demo.options.Input)
	}
	return text.NewIndex(passages), text.Question{Text: demo.options.Question}, nil
}

// startDaemons starts one daemon in each data centre and waits until they are ready; stop drains them.
func (demo *demo) startDaemons(ctx context.Context) (stop func() error, err error) {
	log := zerolog.Nop()
	if demo.options.Verbose {
		log = zerolog.New(zerolog.ConsoleWriter{Out: demo.out}).With().Timestamp().Logger()
	}
	done := make(chan error, 2)
	var seeds []string
	for _, dataCentre := range []string{"north", "south"} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		started, err := daemon.New(daemon.Options{
			Name:       "daemon-" + dataCentre,
			Listener:   listener,
			DataCentre: dataCentre,
			KeepFor:    keepFor,
			Endpoints:  []string{"http://" + demo.world.StoreServer.Address()},
			Log:        log,
		})
		if err != nil {
			return nil, err
		}
		demo.daemons = append(demo.daemons, started)
		seeds = append(seeds, started.Address())
		localClient := &caller.Client{Seeds: []string{started.Address()}, Team: "fans", Name: "caller-" + dataCentre}
		demo.localClients = append(demo.localClients, localClient)
		go func() { done <- started.Run(ctx) }()
	}
	demo.client = &caller.Client{Seeds: seeds, Team: "fans", Name: "demo"}
	demo.printLine("started 2 daemons (%v), %d targets in 2 data centres, and the store", seeds, len(demo.world.Targets))
	return func() error { return demo.stop(done) }, demo.waitReady(ctx)
}

func (demo *demo) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, daemon := range demo.daemons {
		for daemon.Ready() != nil {
			select {
			case <-time.After(loadInterval):
			case <-ctx.Done():
				return fmt.Errorf("daemon %s is not ready: %w", daemon.Address(), daemon.Ready())
			}
		}
	}
	return nil
}

func (demo *demo) stop(done chan error) error {
	for _, daemon := range demo.daemons {
		daemon.Drain()
	}
	timeout := time.After(stopTimeout)
	for range demo.daemons {
		select {
		case err := <-done:
			if err != nil {
				return fmt.Errorf("daemon ended: %w", err)
			}
		case <-timeout:
			return fmt.Errorf("daemons did not drain within %v", stopTimeout)
		}
	}
	return nil
}

func (demo *demo) apply(ctx context.Context, ticket config.Ticket) (entry.TicketBody, error) {
	var body entry.TicketBody
	data, err := demo.client.Post(ctx, "/v1/tickets", inifmt.FormatTicket(ticket))
	if err != nil {
		return body, fmt.Errorf("ticket %d: %w", ticket.Number, err)
	}
	return body, json.Unmarshal(data, &body)
}

func (demo *demo) applyFirstTicket(ctx context.Context) error {
	startedAt := time.Now()
	ticket := config.Ticket{Number: 1, Operator: "demo", Note: "first state", Objects: demo.world.Config()}
	body, err := demo.apply(ctx, ticket)
	if err != nil {
		return err
	}
	demo.printLine("ticket 1: %d objects, %s at %d daemons after %v",
		len(body.Applied), body.State, len(body.Confirmed), time.Since(startedAt).Round(time.Millisecond))
	return nil
}

func (demo *demo) ask(ctx context.Context, question text.Question) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	demo.printLine("question: %s", question.Text)
	request := caller.Request{Pipeline: "assistant", Body: entry.RequestBody{Question: question.Text, Trace: true}}
	tokens := 0
	body, err := demo.doWithRetry(ctx, request, func(event caller.Event) {
		if event.Token != nil {
			tokens += event.Token.Count
		}
	})
	if err != nil {
		return fmt.Errorf("question: %w", err)
	}
	demo.printLine("answer (%d tokens): %s", tokens, body.Answer)
	for _, stage := range body.Trace {
		demo.printLine("  stage %-9s on %-18s %6.1f ms, %d attempt(s)", stage.Stage, stage.Target, stage.TookMs, stage.Attempts)
	}
	if len(body.Passages) > 0 {
		demo.printLine("  first source [%s]", body.Passages[0].ID)
	}
	if question.Passage != "" && (len(body.Passages) == 0 || body.Passages[0].ID != question.Passage) {
		return fmt.Errorf("passage %s is not the first source of the answer", question.Passage)
	}
	return nil
}

// doWithRetry retries a request while the error says that it was not run, because pools have no owner in the first seconds.
func (demo *demo) doWithRetry(ctx context.Context, request caller.Request, emit func(caller.Event)) (entry.AnswerBody, error) {
	for {
		body, err := demo.client.Do(ctx, request, emit)
		if err == nil || core.AsError(err).Run != core.NotRun || ctx.Err() != nil {
			return body, err
		}
		select {
		case <-time.After(loadInterval):
		case <-ctx.Done():
		}
	}
}

// bookTwice sends a booking twice with one idempotency key and checks that it is executed once.
func (demo *demo) bookTwice(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	key := ulid.Make().String()
	call := json.RawMessage(`{"Item":"120 coat racks","Venue":"Ballroom","Day":"2026-12-31"}`)
	request := caller.Request{
		Pipeline: "booking",
		Key:      key,
		Body:     entry.RequestBody{Calls: map[string]json.RawMessage{"booking": call}},
	}
	var responses []string
	for range 2 {
		body, err := demo.doWithRetry(ctx, request, func(caller.Event) {})
		if err != nil {
			return fmt.Errorf("booking: %w", err)
		}
		responses = append(responses, string(body.Calls["booking"]))
	}
	executed := 0
	for _, target := range demo.world.TargetsOf("booking", "") {
		executed += target.Plain.ByKey()[key]
	}
	demo.printLine("booking with key %s sent twice: executed %d time(s), same answer: %v", key, executed, responses[0] == responses[1])
	if executed != 1 || responses[0] != responses[1] {
		return fmt.Errorf("booking was executed %d times", executed)
	}
	return nil
}
