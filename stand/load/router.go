package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"catkincove/core"
	"catkincove/core/flow"
	"catkincove/io/target"
	"catkincove/stand/world"
)

const (
	plainRetries = 3
	plainTimeout = 2 * time.Second // timeout of one attempt
)

// Router is the baseline: it sends each stage round robin to all targets, with a timeout and retries but no concurrency limits.
type Router struct {
	client   target.Client
	targets  map[string][]string // addresses by service
	next     atomic.Uint64
	requests atomic.Uint64
	prefix   string
}

// NewRouter returns a router for the targets of the platform; its request IDs start with the prefix.
func NewRouter(prefix string, platform *world.World) *Router {
	router := &Router{prefix: prefix, targets: map[string][]string{}}
	for _, target := range platform.Targets {
		router.targets[target.Service] = append(router.targets[target.Service], target.Address)
	}
	return router
}

// plainRun is one request in a baseline router.
type plainRun struct {
	router  *Router
	id      core.RequestID
	arrival Arrival
	answer  Answer
	vector  []float32
	emit    func(count int)
}

// Run executes the stages of a request in order and returns the answer, or the error of the stage that failed.
func (router *Router) Run(ctx context.Context, arrival Arrival, emit func(count int)) (Answer, error) {
	run := &plainRun{router: router, arrival: arrival, emit: emit}
	run.id = core.RequestID(fmt.Sprintf("%s-%d", router.prefix, router.requests.Add(1)))
	for _, stage := range arrival.Kind.Stages {
		if err := run.stage(ctx, stage); err != nil {
			return run.answer, core.AsError(err).WithStage(run.id, stage)
		}
	}
	return run.answer, nil
}

func (run *plainRun) stage(ctx context.Context, stage string) (err error) {
	addresses := run.router.targets[stage]
	for attempt := range plainRetries + 1 {
		attemptCtx, cancel := context.WithTimeout(ctx, plainTimeout)
		call := core.TargetCall{
			Address:  addresses[run.router.next.Add(1)%uint64(len(addresses))],
			Request:  run.id,
			Stage:    stage,
			Attempt:  attempt + 1,
			Deadline: time.Now().Add(plainTimeout),
		}
		err = run.call(attemptCtx, call)
		cancel()
		if err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (run *plainRun) call(ctx context.Context, call core.TargetCall) (err error) {
	client, question, kind := &run.router.client, run.arrival.Question.Text, run.arrival.Kind
	switch call.Stage {
	case "encode":
		run.vector, _, err = client.Embed(ctx, call, "encoder", question)
	case "retrieve":
		err = run.storePassages(client.Search(ctx, call, question, run.vector, kind.Top))
	case "rerank":
		err = run.storePassages(client.Rerank(ctx, call, "reranker", question, run.answer.Passages, kind.Keep))
	case generate:
		err = run.generate(ctx, call)
	default:
		body, _ := json.Marshal(map[string]string{"Question": question})
		run.answer.Stock, _, err = client.Call(ctx, call, "/stock", "", body)
	}
	return err
}

// storePassages replaces the passages unless the attempt failed, because the retry needs the previous ones.
func (run *plainRun) storePassages(passages []core.Passage, _ core.TargetInfo, err error) error {
	if err == nil {
		run.answer.Passages = passages
	}
	return err
}

func (run *plainRun) generate(ctx context.Context, call core.TargetCall) error {
	run.answer.Text = ""
	input := core.GenerateInput{
		Model:     "generator",
		Prompt:    flow.Prompt(run.arrival.Question.Text, run.answer.Passages),
		MaxTokens: run.arrival.Kind.Tokens,
	}
	_, err := run.router.client.Generate(ctx, call, input, func(token core.Token) error {
		run.answer.Text += token.Text
		run.emit(token.Count)
		return nil
	})
	return err
}
