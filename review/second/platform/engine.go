package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// engine is a replica that answers with streams, whose events name the software version of the process that wrote them. It may start again under its id, at its
// address, with another version.
type engine struct {
	id, service, zone, address string
	events                     int
	gap                        time.Duration
	record                     *record

	mutex    sync.Mutex
	version  string
	born     time.Time
	sequence int
	server   *http.Server // nil while it is down
}

func newEngine(record *record, id, service, zone, version string, events int, gap time.Duration) (*engine, error) {
	engine := &engine{id: id, service: service, zone: zone, events: events, gap: gap, record: record}
	return engine, engine.start(version)
}

// start starts a process of the replica with a software version.
func (engine *engine) start(version string) error {
	address := engine.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.address, engine.version, engine.born, engine.sequence = listener.Addr().String(), version, time.Now(), 0
	engine.server = &http.Server{Handler: http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) { engine.serve(writer, request, version) })}
	go func(server *http.Server) { _ = server.Serve(listener) }(engine.server)
	return nil
}

// crash ends the process: its channels are closed, and new ones are refused.
func (engine *engine) crash() {
	engine.mutex.Lock()
	server := engine.server
	engine.server = nil
	engine.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// registration returns the replica's entry for the store; false while it is down.
func (engine *engine) registration() (map[string]any, bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.sequence++
	return map[string]any{
		"service": engine.service, "address": engine.address, "zone": engine.zone, "version": engine.version, "slots": 64, "phase": "ready", "cold-left-ms": 0, "sequence": engine.sequence,
		"born": engine.born.UnixMilli(),
	}, engine.server != nil
}

func (engine *engine) serve(writer http.ResponseWriter, request *http.Request, version string) {
	attempt := request.Header.Get("X-Attempt-Id")
	writer.Header().Set("X-Attempt-Id", attempt)
	if expected := request.Header.Get("X-Expect-Replica"); expected != "" && expected != engine.id {
		writer.Header().Set("X-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	engine.record.printf("replica %s (%s) runs %s after event %d", engine.id, version, attempt, last)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("X-Response-Seal", "seal-"+attempt)
	for event := last + 1; event <= engine.events; event++ {
		if !wait(request.Context(), engine.gap) {
			return
		}
		if _, err := fmt.Fprintf(writer, "id: %d\ndata: %s %s\n\n", event, engine.id, version); err != nil {
			return
		}
		_ = http.NewResponseController(writer).Flush()
	}
}

func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-time.After(duration):
		return true
	case <-ctx.Done():
		return false
	}
}

// events returns the ids of the events of a stream, and the versions that wrote them.
func events(body string) (last int, versions []string) {
	for block := range strings.SplitSeq(body, "\n\n") {
		id, data, whole := strings.Cut(block, "\ndata: ")
		number, err := strconv.Atoi(strings.TrimPrefix(id, "id: "))
		if !whole || err != nil {
			continue
		}
		last = number
		if _, version, found := strings.Cut(data, " "); found && (len(versions) == 0 || versions[len(versions)-1] != version) {
			versions = append(versions, version)
		}
	}
	return last, versions
}
