package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"catkincove/core"
	"catkincove/io/answer"
	"catkincove/io/callid"
	"catkincove/io/entry"
	"catkincove/stand/fault"
)

// TestRepeatedResponses guards against a response that is read as the one to another call, because a daemon, or what stands before it, sends it a second
// time when its connection is in use again: a ticket that was rejected would count as accepted, and a request that ran as rejected without having run.
func TestRepeatedResponses(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("call IDs %v", echoes), func(t *testing.T) { testRepeatedResponses(t, echoes) })
	}
}

func testRepeatedResponses(t *testing.T, echoes bool) {
	const rounds = 10
	var ran sync.Map
	address := ""
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", func(writer http.ResponseWriter, _ *http.Request) {
		answer.WriteJSON(writer, http.StatusOK, entry.AddressBody{Addresses: []string{address}})
	})
	mux.HandleFunc("POST /v1/tickets", func(writer http.ResponseWriter, _ *http.Request) {
		answer.WriteError(writer, core.Errorf(core.Conflict, "another ticket has this number"))
	})
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", func(writer http.ResponseWriter, request *http.Request) {
		var body entry.RequestBody
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		if request.PathValue("pipeline") == "full" {
			answer.WriteError(writer, core.Errorf(core.Overloaded, "queue is full").WithRun(core.NotRun))
			return
		}
		ran.Store(body.Question, true)
		data, _ := json.Marshal(entry.AnswerBody{Answer: body.Question})
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(writer, "event: %s\ndata: %s\n\n", entry.DoneEvent, data)
	})
	handler := http.Handler(mux)
	if echoes {
		handler = callid.Echo(mux)
	}
	server, err := fault.ListenRepeating(handler)
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	address = server.Address()
	operator := &Client{Seeds: []string{address}, HTTP: &http.Client{Transport: &http.Transport{}}}
	defer operator.HTTP.CloseIdleConnections()
	client := &Client{Seeds: []string{address}, SeedsOnly: true, MaxAttempts: 1, HTTP: &http.Client{Transport: &http.Transport{}}}
	defer client.HTTP.CloseIdleConnections()
	served := 0
	for i := range 2 * rounds {
		if body, err := operator.Post(t.Context(), "/v1/tickets", "ticket"); err == nil {
			t.Errorf("round %d: a ticket that was rejected counts as accepted: %s", i, body)
		}
		question := fmt.Sprint("question ", i)
		if i%2 == 0 { // the copy of this rejection costs one call
			_, _ = client.Do(t.Context(), Request{Pipeline: "full"}, func(Event) {})
		}
		body, err := client.Do(t.Context(), Request{Pipeline: "open", Body: entry.RequestBody{Question: question}}, func(Event) {})
		switch _, hasRun := ran.Load(question); {
		case err == nil && body.Answer != question:
			t.Errorf("round %d: %q was answered with %q", i, question, body.Answer)
		case err == nil:
			served++
		case hasRun && core.AsError(err).Run == core.NotRun:
			t.Errorf("round %d: %q ran and counts as not run: %v", i, question, err)
		}
	}
	if served < rounds {
		t.Errorf("%d of %d requests were served", served, 2*rounds)
	}
}
