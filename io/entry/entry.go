package entry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"

	"catkincove/core"
	"catkincove/core/config"
	"catkincove/core/flow"
	"catkincove/io/answer"
	"catkincove/io/intake"
)

// Daemon is the daemon that the API exposes.
type Daemon interface {
	// InForce returns the configuration in force.
	InForce() config.Config
	// Request runs a request through its pipeline and passes its events to emit.
	Request(ctx context.Context, request flow.Request, emit func(flow.Event) error) (flow.Result, error)
	// Addresses returns the addresses of the daemons that the caller should use.
	Addresses(caller string) AddressBody
	// ApplyTicket applies the INI text of a ticket.
	ApplyTicket(ctx context.Context, text []byte) (TicketBody, error)
	// Ticket returns the INI text of a ticket.
	Ticket(ctx context.Context, number int64) ([]byte, error)
	// Tickets returns the numbers of all tickets.
	Tickets(ctx context.Context) ([]int64, error)
	// TicketStatus returns which daemons have a ticket in force.
	TicketStatus(ctx context.Context, number int64) (TicketBody, error)
	// Status returns the daemon's view of the fleet, to be encoded as JSON.
	Status(ctx context.Context) (any, error)
	// Report returns the daemon's service-level snapshot as JSON.
	Report() ([]byte, error)
	// Ready returns an error with the reason if the daemon takes no new work.
	Ready() error
}

const (
	maxTicketBytes    = 16 << 20
	memoryRetryAfter  = time.Second // Retry-After while bodies use up their memory
	keepAliveInterval = time.Second // lets a caller tell a stalled connection from a slow response
)

// API serves callers and operators.
type API struct {
	Daemon Daemon
	Clock  core.Clock
}

// Register adds the routes of the API to the mux.
func (api API) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/pipelines/{pipeline}", api.runPipeline)
	mux.HandleFunc("GET /v1/addresses", api.addresses)
	mux.HandleFunc("POST /v1/tickets", api.applyTicket)
	mux.HandleFunc("GET /v1/tickets", api.listTickets)
	mux.HandleFunc("GET /v1/tickets/{number}", api.showTicket)
	mux.HandleFunc("GET /v1/tickets/{number}/status", api.ticketStatus)
	mux.HandleFunc("GET /v1/status", api.status)
	mux.HandleFunc("GET /v1/report", api.report)
	mux.HandleFunc("GET /livez", func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, "ok\n") })
	mux.HandleFunc("GET /readyz", api.ready)
}

func (api API) addresses(writer http.ResponseWriter, request *http.Request) {
	answer.WriteJSON(writer, http.StatusOK, api.Daemon.Addresses(request.URL.Query().Get("caller")))
}

func (api API) ready(writer http.ResponseWriter, _ *http.Request) {
	if err := api.Daemon.Ready(); err != nil {
		answer.WriteError(writer, err)
		return
	}
	_, _ = io.WriteString(writer, "ok\n")
}

func (api API) runPipeline(writer http.ResponseWriter, request *http.Request) {
	flowRequest, body, err := api.parseRequest(writer, request)
	if err != nil {
		answer.WriteError(writer, err)
		return
	}
	writer.Header().Set(RequestHeader, string(flowRequest.ID))
	if strings.Contains(request.Header.Get("Accept"), "text/event-stream") {
		api.stream(writer, request, flowRequest, body.Trace)
		return
	}
	result, err := api.Daemon.Request(request.Context(), flowRequest, func(flow.Event) error { return nil })
	if err != nil {
		answer.WriteError(writer, withRequestID(err, flowRequest.ID))
		return
	}
	answer.WriteJSON(writer, http.StatusOK, encodeResult(flowRequest.ID, result, body.Trace))
}

func (api API) parseRequest(writer http.ResponseWriter, request *http.Request) (flow.Request, RequestBody, error) {
	var body RequestBody
	settings := api.Daemon.InForce()
	team, err := api.authorise(settings, request)
	if err != nil {
		return flow.Request{}, body, err
	}
	name := request.PathValue("pipeline")
	pipeline, found := settings.Pipeline(name)
	if !found {
		return flow.Request{}, body, core.Errorf(core.NotFound, "pipeline %q does not exist", name)
	}
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, int64(settings.Limits().BodyBytes)))
	decoder.DisallowUnknownFields()
	switch err := decoder.Decode(&body); {
	case errors.Is(err, intake.ErrMemory):
		return flow.Request{}, body, core.Errorf(core.Overloaded, "request body: %w", err).WithRetryAfter(memoryRetryAfter)
	case err != nil:
		return flow.Request{}, body, core.Errorf(core.BadRequest, "request body: %v", err)
	}
	deadline, err := parseDeadline(request.Header.Get(DeadlineHeader), pipeline.Deadline)
	if err != nil {
		return flow.Request{}, body, err
	}
	flowRequest := flow.Request{
		ID:             newRequestID(request),
		Pipeline:       name,
		Team:           team.Name,
		Question:       body.Question,
		CallBodies:     map[string][]byte{},
		IdempotencyKey: request.Header.Get(IdempotencyKeyHeader),
		Deadline:       api.Clock.Now().Add(deadline),
		Priority:       body.Priority,
	}
	for _, stage := range pipeline.Stages {
		if call, found := body.Calls[stage.Name]; found {
			flowRequest.CallBodies[stage.Name] = call
		}
	}
	body.Calls = nil // may name thousands of stages that the pipeline does not have
	return flowRequest, body, nil
}

// newRequestID returns a new ID for each request. An ID chosen by the caller is not used: two callers may choose the same
// one, and results are matched by it.
func newRequestID(_ *http.Request) core.RequestID { return core.RequestID(ulid.Make().String()) }

func (api API) authorise(settings config.Config, request *http.Request) (config.Team, error) {
	name := request.Header.Get(TeamHeader)
	if name == "" {
		return config.Team{}, core.Errorf(core.Unauthorized, "header %s is missing", TeamHeader)
	}
	team, found := settings.Team(core.TeamName(name))
	if !found {
		return config.Team{}, core.Errorf(core.Unauthorized, "team %q does not exist", name)
	}
	if team.TokenSHA256 == "" {
		return team, nil
	}
	token, _ := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	digest := sha256.Sum256([]byte(token))
	expected := []byte(strings.ToLower(team.TokenSHA256))
	if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(digest[:])), expected) != 1 {
		return config.Team{}, core.Errorf(core.Unauthorized, "bearer token of team %q is wrong or missing", name)
	}
	return team, nil
}

// parseDeadline returns the time until the caller's deadline, at most that of the pipeline.
func parseDeadline(text string, pipelineDeadline time.Duration) (time.Duration, error) {
	if text == "" {
		return pipelineDeadline, nil
	}
	deadline, err := time.ParseDuration(text)
	if err != nil || deadline <= 0 {
		return 0, core.Errorf(core.BadRequest, "header %s is %q, expected a positive duration such as 5s", DeadlineHeader, text)
	}
	return min(deadline, pipelineDeadline), nil
}

func withRequestID(err error, request core.RequestID) error {
	e := core.AsError(err)
	return e.WithStage(request, e.Stage)
}
