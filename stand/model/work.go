package model

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"

	"catkincove/stand/engine"
	"catkincove/stand/text"
	"catkincove/stand/wire"
)

// input is the union of the fields of all request bodies.
type input struct {
	Model     string
	Input     string
	Query     string
	Limit     int
	Documents []string
	TopN      int
	Prompt    string
	MaxTokens int
	Stream    bool
	Received  string
}

// decodeInput decodes the body, and rejects a request for a model that is not loaded.
func (target *Target) decodeInput(job *engine.Job) (input, bool) {
	var input input
	if err := wire.Unmarshal(job.Body, &input); err != nil {
		return input, reject(job, err.Error())
	}
	models := target.Models()
	if input.Model != "" && len(models) > 0 && !slices.Contains(models, input.Model) {
		return input, reject(job, fmt.Sprintf("model %q is not loaded", input.Model))
	}
	return input, true
}

func reject(job *engine.Job, message string) bool {
	wire.Reply(job.Writer, http.StatusBadRequest, wire.Object{"error": message})
	return false
}

func (target *Target) embed(job *engine.Job) bool {
	input, valid := target.decodeInput(job)
	if !valid {
		return false
	}
	job.SleepToFirstByte(target.settings.ServiceTime)
	vector := Vector(text.Words(input.Input))
	wire.Reply(job.Writer, http.StatusOK, wire.Object{"data": []wire.Object{{"embedding": vector}}})
	return true
}

func (target *Target) search(job *engine.Job) bool {
	input, valid := target.decodeInput(job)
	if !valid {
		return false
	}
	job.SleepToFirstByte(target.settings.ServiceTime)
	hits := []wire.Object{}
	for _, hit := range target.settings.Index.Search(input.Query, max(input.Limit, 1)) {
		hits = append(hits, wire.Object{"id": hit.ID, "text": hit.Text, "score": hit.Score})
	}
	wire.Reply(job.Writer, http.StatusOK, wire.Object{"hits": hits})
	return true
}

func (target *Target) rerank(job *engine.Job) bool {
	input, valid := target.decodeInput(job)
	if !valid {
		return false
	}
	job.SleepToFirstByte(target.settings.ServiceTime)
	scores := text.Relevance(input.Query, input.Documents)
	order := make([]int, len(scores))
	for index := range order {
		order[index] = index
	}
	sort.SliceStable(order, func(i, j int) bool { return scores[order[i]] > scores[order[j]] })
	if input.TopN > 0 {
		order = order[:min(len(order), input.TopN)]
	}
	results := []wire.Object{}
	for _, index := range order {
		results = append(results, wire.Object{"index": index, "relevance_score": scores[index]})
	}
	wire.Reply(job.Writer, http.StatusOK, wire.Object{"results": results})
	return true
}

func (target *Target) complete(job *engine.Job) bool {
	input, valid := target.decodeInput(job)
	if !valid {
		return false
	}
	tokens, finish := Answer(input.Prompt, target.settings.MinAnswerTokens, input.MaxTokens)
	sent, err := resumeAt(job.Request.Header.Get("Last-Event-ID"), tokens, input.Received)
	if err != nil {
		return reject(job, err.Error())
	}
	blocks := Blocks(input.Prompt + input.Received)
	uncached := len(blocks) - target.cache.use(blocks)
	job.SleepToFirstByte(time.Duration(uncached+1) * target.settings.BlockTime)
	job.Writer.Header().Set("Content-Type", "text/event-stream")
	for {
		count := min(target.settings.EventTokens, len(tokens)-sent)
		job.Sleep(time.Duration(count) * target.tokenTime(job))
		tokenText := strings.Join(tokens[sent:sent+count], "")
		sent += count
		target.AddTokens(count)
		var reason any
		if sent == len(tokens) {
			reason = finish
		}
		sendEvent(job, sent, tokenText, reason)
		if reason != nil {
			break
		}
	}
	_, _ = fmt.Fprint(job.Writer, "data: [DONE]\n\n")
	_ = http.NewResponseController(job.Writer).Flush()
	return true
}

// resumeAt returns the number of tokens that the caller has received, or an error when the received text differs from them.
func resumeAt(lastEventID string, tokens []string, received string) (int, error) {
	if lastEventID == "" {
		return 0, nil
	}
	count, err := strconv.Atoi(lastEventID)
	if err != nil || count < 0 || count > len(tokens) {
		return 0, fmt.Errorf("Last-Event-ID %q is not a token count from 0 to %d, the length of the answer", lastEventID, len(tokens))
	}
	if received != strings.Join(tokens[:count], "") {
		return 0, fmt.Errorf("received text is not the first %d tokens of the answer", count)
	}
	return count, nil
}

// tokenTime returns the duration of a token, which grows with the number of running requests.
func (target *Target) tokenTime(job *engine.Job) time.Duration {
	others := float64(max(job.Running()-1, 0))
	return time.Duration(float64(target.settings.TokenTime) * (1 + target.settings.BatchSlope*others))
}

func sendEvent(job *engine.Job, sent int, tokenText string, reason any) {
	choice := wire.Object{"index": 0, "text": tokenText, "finish_reason": reason}
	data, _ := json.Marshal(wire.Object{"choices": []wire.Object{choice}})
	_, _ = fmt.Fprintf(job.Writer, "id: %d\ndata: %s\n\n", sent, data)
	_ = http.NewResponseController(job.Writer).Flush()
}
