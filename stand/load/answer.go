package load

import (
	"bytes"
	"slices"
	"strings"

	"catkincove/core"
	"catkincove/core/flow"
	"catkincove/stand/model"
)

// Answer holds the results of one request, from either system.
type Answer struct {
	Text     string
	Passages []core.Passage
	Stock    []byte
}

// isCorrect reports whether the answer is complete and matches the request.
func (answer Answer) isCorrect(arrival Arrival) bool {
	kind := arrival.Kind
	if slices.Contains(kind.Stages, "stock") && !bytes.Contains(answer.Stock, []byte(arrival.Question.Text)) {
		return false
	}
	if slices.Contains(kind.Stages, "retrieve") && len(answer.Passages) == 0 {
		return false
	}
	if kind.Tokens == 0 {
		return true
	}
	tokens, _ := model.Answer(flow.Prompt(arrival.Question.Text, answer.Passages), fullAnswerTokens, kind.Tokens)
	return answer.Text == strings.Join(tokens, "")
}
