package entry

import (
	"encoding/json"
	"time"

	"catkincove/core"
	"catkincove/core/flow"
)

// Header names of the API for callers; Idempotency-Key, and Authorization for the token, are the standard ones.
const (
	TeamHeader           = "Catkincove-Team"
	DeadlineHeader       = "Catkincove-Deadline" // Go duration text, such as 5s
	RequestHeader        = "Catkincove-Request"
	IdempotencyKeyHeader = "Idempotency-Key"
)

// Event names of a streamed response.
const (
	StageEvent = "stage"
	TokenEvent = "token"
	DoneEvent  = "done"
	ErrorEvent = "error"
)

// RequestBody is the JSON body of a request to a pipeline.
type RequestBody struct {
	Question string
	Calls    map[string]json.RawMessage // bodies of plain-service stages, by stage name
	Priority int
	Trace    bool
}

// AnswerBody is the JSON body of a pipeline's response, and the data of the done event of a stream.
type AnswerBody struct {
	Request  string
	Answer   string
	Passages []PassageBody
	Calls    map[string]json.RawMessage
	Trace    []TraceBody
}

// PassageBody is one passage that the answer is based on.
type PassageBody struct {
	ID    string
	Text  string
	Score float64
}

// TraceBody is the trace of one stage, with all times in milliseconds.
type TraceBody struct {
	Stage      string
	Target     string
	DataCentre string
	Attempts   int
	QueuedMs   float64
	TookMs     float64
	TimeLeftMs float64
}

// StageBody is the data of a stage event; State is Started or Done.
type StageBody struct {
	Stage string
	State string
}

// TokenBody is the data of a token event.
type TokenBody struct {
	Offset int
	Count  int
	Text   string
}

// AddressBody lists the addresses of the daemons to use, best first, and how long they may be used.
type AddressBody struct {
	Addresses []string
	KeepForMs int64
}

// TicketBody is the response to a ticket; State is InForce, Accepted or Written.
type TicketBody struct {
	Number      int64
	State       string
	Revision    int64
	Repeated    bool
	Applied     []string
	Superseded  []string
	Unchanged   []string
	Confirmed   []string // daemons that have the ticket in force
	Unconfirmed []string // daemons that have not confirmed it; they grant no new work under an older configuration after 2 s
}

func encodeResult(request core.RequestID, result flow.Result, trace bool) AnswerBody {
	body := AnswerBody{Request: string(request), Answer: result.Answer}
	for _, passage := range result.Passages {
		body.Passages = append(body.Passages, PassageBody{ID: passage.ID, Text: passage.Text, Score: passage.Score})
	}
	if len(result.CallResponses) > 0 {
		body.Calls = map[string]json.RawMessage{}
	}
	for stage, response := range result.CallResponses {
		body.Calls[stage] = json.RawMessage(response)
	}
	if !trace {
		return body
	}
	for _, stage := range result.Trace {
		body.Trace = append(body.Trace, TraceBody{
			Stage:      stage.Stage,
			Target:     string(stage.Target),
			DataCentre: stage.DataCentre,
			Attempts:   stage.Attempts,
			QueuedMs:   milliseconds(stage.QueueTime),
			TookMs:     milliseconds(stage.Took),
			TimeLeftMs: milliseconds(stage.TimeLeft),
		})
	}
	return body
}

func milliseconds(duration time.Duration) float64 {
	return float64(duration.Microseconds()) / 1000
}
