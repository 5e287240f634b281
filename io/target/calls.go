package target

import (
	"bufio"
	"context"
	"encoding/json"

	"catkincove/core"
)

var _ core.Targets = (*Client)(nil)

// post sends a JSON object and passes the body of the response to decode.
func (client *Client) post(ctx context.Context, call core.TargetCall, path string, body any, decode func(*exchange, []byte) error) (core.TargetInfo, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return core.TargetInfo{}, core.Errorf(core.Internal, "encoding the body for %s: %w", path, err)
	}
	return client.postRaw(ctx, call, requestSpec{path: path, body: encoded}, decode)
}

func (client *Client) postRaw(ctx context.Context, call core.TargetCall, spec requestSpec, decode func(*exchange, []byte) error) (core.TargetInfo, error) {
	exchange, err := client.open(ctx, call, spec)
	if err != nil {
		return exchange.close(), err
	}
	body, err := exchange.read()
	if err == nil {
		err = decode(exchange, body)
	}
	return exchange.close(), err
}

// Embed returns the vector of a text.
func (client *Client) Embed(ctx context.Context, call core.TargetCall, model, text string) ([]float32, core.TargetInfo, error) {
	var response struct {
		Data []struct{ Embedding []float32 }
	}
	body := map[string]any{"model": model, "input": text}
	info, err := client.post(ctx, call, "/v1/embeddings", body, func(exchange *exchange, data []byte) error {
		if err := json.Unmarshal(data, &response); err != nil {
			return exchange.responseError("embedding: %w", err)
		}
		if len(response.Data) != 1 || len(response.Data[0].Embedding) == 0 {
			return exchange.responseError("response does not have exactly one embedding")
		}
		return nil
	})
	if err != nil {
		return nil, info, err
	}
	return response.Data[0].Embedding, info, nil
}

// Search returns the best passages for a query.
func (client *Client) Search(ctx context.Context, call core.TargetCall, query string, vector []float32, top int) ([]core.Passage, core.TargetInfo, error) {
	var response struct{ Hits *[]core.Passage }
	if vector == nil {
		vector = []float32{}
	}
	body := map[string]any{"query": query, "vector": vector, "limit": top}
	info, err := client.post(ctx, call, "/search", body, func(exchange *exchange, data []byte) error {
		if err := json.Unmarshal(data, &response); err != nil {
			return exchange.responseError("search: %w", err)
		}
		if response.Hits == nil {
			return exchange.responseError("response has no hits")
		}
		return nil
	})
	if err != nil {
		return nil, info, err
	}
	hits := *response.Hits
	if top > 0 && len(hits) > top {
		hits = hits[:top]
	}
	return hits, info, nil
}

// Rerank returns the passages in order of relevance, at most top of them.
func (client *Client) Rerank(ctx context.Context, call core.TargetCall, model, query string, passages []core.Passage, top int) ([]core.Passage, core.TargetInfo, error) {
	texts := make([]string, len(passages))
	for i, passage := range passages {
		texts[i] = passage.Text
	}
	if top <= 0 {
		top = len(passages)
	}
	var ranked []core.Passage
	body := map[string]any{"model": model, "query": query, "documents": texts, "top_n": top}
	info, err := client.post(ctx, call, "/v1/rerank", body, func(exchange *exchange, data []byte) error {
		var err error
		ranked, err = exchange.parseRanking(data, passages, top)
		return err
	})
	return ranked, info, err
}

func (exchange *exchange) parseRanking(data []byte, passages []core.Passage, top int) ([]core.Passage, error) {
	var response struct{ Results []map[string]float64 }
	if err := json.Unmarshal(data, &response); err != nil {
		return nil, exchange.responseError("rerank: %w", err)
	}
	if len(response.Results) < min(top, len(passages)) {
		return nil, exchange.responseError("response ranks %d of %d passages", len(response.Results), len(passages))
	}
	ranked := make([]core.Passage, 0, top)
	seen := make(map[int]bool, top)
	for _, result := range response.Results {
		index := int(result["index"])
		if index < 0 || index >= len(passages) || seen[index] {
			return nil, exchange.responseError("response ranks passage %d, which does not exist or is ranked twice", index)
		}
		seen[index] = true
		passage := passages[index]
		passage.Score = result["relevance_score"]
		ranked = append(ranked, passage)
	}
	return ranked[:min(top, len(ranked))], nil
}

// Generate calls emit for each token in order; it returns nil only after the target's end marker.
func (client *Client) Generate(ctx context.Context, call core.TargetCall, input core.GenerateInput, emit func(core.Token) error) (core.TargetInfo, error) {
	body, err := json.Marshal(map[string]any{
		"model":      input.Model,
		"prompt":     input.Prompt,
		"max_tokens": input.MaxTokens,
		"stream":     true,
		"received":   input.ReceivedText,
	})
	if err != nil {
		return core.TargetInfo{}, core.Errorf(core.Internal, "encoding the prompt: %w", err)
	}
	exchange, err := client.open(ctx, call, requestSpec{path: "/v1/completions", body: body, resume: input.ReceivedTokens})
	if err != nil {
		return exchange.close(), err
	}
	stream := stream{
		exchange:  exchange,
		reader:    bufio.NewReaderSize(exchange.response.Body, readBufferSize),
		received:  input.ReceivedTokens,
		maxTokens: input.MaxTokens,
	}
	err = stream.relay(emit)
	return exchange.close(), err
}

// Call posts a JSON body to a plain service (kind Call) and returns its JSON response.
func (client *Client) Call(ctx context.Context, call core.TargetCall, path, key string, body []byte) ([]byte, core.TargetInfo, error) {
	var response []byte
	info, err := client.postRaw(ctx, call, requestSpec{path: path, key: key, body: body}, func(exchange *exchange, data []byte) error {
		if !json.Valid(data) {
			return exchange.responseError("response is not JSON")
		}
		response = data
		return nil
	})
	return response, info, err
}
