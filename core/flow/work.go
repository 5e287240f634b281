package flow

import (
	"context"
	"encoding/json"

	"catkincove/core"
	"catkincove/core/config"
)

// prepare returns the function that calls a target of the stage's service, with inputs fixed when the stage starts.
func (stage *stage) prepare() callFunc {
	switch stage.service.Kind {
	case config.Encode:
		return stage.encode
	case config.Retrieve:
		return stage.retrieve
	case config.Rerank:
		return stage.rerank
	case config.Generate:
		return stage.generate()
	default:
		return stage.callService
	}
}

func (stage *stage) encode(ctx context.Context, call core.TargetCall, _ *attempt) (func(), core.TargetInfo, error) {
	run := stage.run
	vector, info, err := run.runner.Targets.Embed(ctx, call, stage.service.Model, run.request.Question)
	return func() { run.vector = vector }, info, err
}

func (stage *stage) retrieve(ctx context.Context, call core.TargetCall, _ *attempt) (func(), core.TargetInfo, error) {
	run := stage.run
	passages, info, err := run.runner.Targets.Search(ctx, call, run.request.Question, run.vector, stage.config.Top)
	return func() { run.result.Passages = passages }, info, err
}

func (stage *stage) rerank(ctx context.Context, call core.TargetCall, _ *attempt) (func(), core.TargetInfo, error) {
	run := stage.run
	passages, info, err := run.runner.Targets.Rerank(ctx, call, stage.service.Model, run.request.Question, run.result.Passages, stage.config.Top)
	return func() { run.result.Passages = passages }, info, err
}

// generate returns a function that streams the answer; a further attempt resumes after the tokens received so far.
func (stage *stage) generate() callFunc {
	run := stage.run
	prompt := Prompt(run.request.Question, run.result.Passages)
	stage.prefixHashes = PrefixHashes(prompt)
	stage.expectedWork = len(prompt)/charactersPerToken/promptTokensPerGeneratedToken + stage.config.MaxTokens
	return func(ctx context.Context, call core.TargetCall, attempt *attempt) (func(), core.TargetInfo, error) {
		info, err := run.runner.Targets.Generate(ctx, call, core.GenerateInput{
			Model:          stage.service.Model,
			Prompt:         prompt,
			MaxTokens:      stage.config.MaxTokens,
			ReceivedTokens: attempt.receivedTokens,
			ReceivedText:   attempt.receivedText,
		}, attempt.handleToken)
		return func() { run.result.Answer = stage.answer.String() }, info, err
	}
}

func (stage *stage) callService(ctx context.Context, call core.TargetCall, _ *attempt) (func(), core.TargetInfo, error) {
	run := stage.run
	response, info, err := run.runner.Targets.Call(ctx, call, stage.config.Path, stage.key, stage.callBody())
	return func() { run.result.CallResponses[stage.name] = response }, info, err
}

// callBody returns the caller's JSON body for the stage, or an object with the question if there is none.
func (stage *stage) callBody() []byte {
	if body, given := stage.run.request.CallBodies[stage.name]; given {
		return body
	}
	body, _ := json.Marshal(map[string]string{"Question": stage.run.request.Question}) // strings always encode
	return body
}
