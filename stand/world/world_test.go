package world

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"

	"catkincove/core/config"
)

func post(client *http.Client, address, path, body string) string {
	response, err := client.Post("http://"+address+path, "application/json", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	answer, _ := io.ReadAll(response.Body)
	return string(bytes.TrimSpace(answer)) + " " + response.Proto
}

// TestWorld guards against declarations that do not match the running platform, servers without HTTP/2, and goroutines
// that outlive the platform.
func TestWorld(t *testing.T) {
	defer goleak.VerifyNone(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	world, err := Start(ctx, Options{})
	if err != nil {
		t.Fatal(err)
	}
	defer world.Close()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	requests := map[string][]string{
		"encode":   {"/v1/embeddings", `{"model":"encoder","input":"fan"}`, `"embedding"`},
		"retrieve": {"/search", `{"query":"coat rack","limit":1}`, `"id":"rental-`},
		"rerank":   {"/v1/rerank", `{"query":"fan","documents":["rack","fan"],"top_n":1}`, `"index":1`},
		"generate": {"/v1/completions", `{"model":"generator","prompt":"p","stream":true}`, `[DONE]`},
		"booking":  {"/booking", `{"Hall":3}`, `"reference"`},
		"ledger":   {"/ledger", `{"Account":3}`, `"reference"`},
		"stock":    {"/stock", `{"Part":"FB-1"}`, `"available"`},
	}
	targets := 0
	for _, object := range world.Config() {
		if object.Target == nil {
			continue
		}
		targets++
		want := requests[object.Target.Service]
		answer := post(client, object.Target.Address, want[0], want[1])
		if !strings.Contains(answer, want[2]) || !strings.HasSuffix(answer, "HTTP/2.0") {
			t.Errorf("%s: %s", object.Ref.Name, answer)
		}
	}
	if targets != len(requests)*2*2 {
		t.Errorf("%d targets declared", targets)
	}
	world.Lose("north")
	transport.CloseIdleConnections() // a broken connection fails in another way than a refused one
	stock := world.Of("stock", "north")[0]
	if answer := post(client, stock.Address, "/stock", "{}"); !strings.Contains(answer, "refused") {
		t.Errorf("lost target: %s", answer)
	}
	world.Regain("north")
	if answer := post(client, stock.Address, "/stock", "{}"); !strings.Contains(answer, "available") {
		t.Errorf("regained target: %s", answer)
	}
}

// TestConfigNamesExist guards against stages whose service is not declared.
func TestConfigNamesExist(t *testing.T) {
	world := &World{}
	refs := map[config.Ref]bool{}
	for _, object := range world.Config() {
		refs[object.Ref] = true
	}
	for _, object := range world.Config() {
		if object.Pipeline == nil {
			continue
		}
		for _, stage := range object.Pipeline.Stages {
			if !refs[config.Ref{Kind: config.KindService, Name: stage.Service}] {
				t.Errorf("%s: service %s is not declared", object.Ref.Name, stage.Service)
			}
		}
	}
}
