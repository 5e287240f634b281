package plain

import (
	"encoding/json"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"catkincove/stand/engine"
	"catkincove/stand/wire"
)

const defaultServiceTime = 2 * time.Millisecond

// Settings are the properties of a plain service; the zero value works.
type Settings struct {
	engine.Settings
	ServiceTime time.Duration // duration of a request; default 2 ms
}

// Service executes each request that it receives, repeated ones included; it is an http.Handler and safe for concurrent use.
type Service struct {
	*engine.Engine
	name     string
	settings Settings
	mutex    sync.Mutex
	byKey    map[string]int
	byBody   map[string]int
}

// New returns a service; the name appears in its responses and start IDs.
func New(name string, settings Settings) *Service {
	if settings.ServiceTime == 0 {
		settings.ServiceTime = defaultServiceTime
	}
	return &Service{
		Engine: engine.New(name, settings.Settings), name: name, settings: settings,
		byKey: map[string]int{}, byBody: map[string]int{},
	}
}

// ServeHTTP executes a posted JSON object on any path, and serves load reports and control calls.
func (service *Service) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case service.ServeCommon(writer, request, []string{}):
	case request.Method == http.MethodGet && request.URL.Path == "/control/executions":
		wire.Reply(writer, http.StatusOK, map[string]any{"ByKey": service.ByKey(), "ByBody": service.ByBody()})
	case request.Method == http.MethodPost:
		service.Serve(writer, request, service.execute)
	default:
		http.NotFound(writer, request)
	}
}

// ByKey returns the number of executions by value of the header Idempotency-Key.
func (service *Service) ByKey() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return maps.Clone(service.byKey)
}

// ByBody returns the number of executions by request body.
func (service *Service) ByBody() map[string]int {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return maps.Clone(service.byBody)
}

// execute counts the execution before the service time, so that a call that is disconnected counts as executed.
func (service *Service) execute(job *engine.Job) bool {
	var body map[string]any
	if err := json.Unmarshal(job.Body, &body); err != nil {
		wire.Reply(job.Writer, http.StatusBadRequest, wire.Object{"error": "body is not a JSON object"})
		return false
	}
	service.mutex.Lock()
	if key := job.Request.Header.Get("Idempotency-Key"); key != "" {
		service.byKey[key]++
	}
	service.byBody[string(job.Body)]++
	service.mutex.Unlock()
	job.SleepToFirstByte(service.settings.ServiceTime)
	wire.Reply(job.Writer, http.StatusOK, wire.Object{
		"service": service.name, "path": job.Request.URL.Path, "received": body,
		"reference": xxhash.Sum64(job.Body) >> 32, "available": xxhash.Sum64(job.Body) % 500,
	})
	return true
}
