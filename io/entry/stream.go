package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"catkincove/core"
	"catkincove/core/flow"
	"catkincove/io/answer"
)

// eventWriter writes server-sent events; a background goroutine adds a keep-alive comment at each interval.
type eventWriter struct {
	mutex      sync.Mutex
	writer     http.ResponseWriter
	controller *http.ResponseController
}

func (events *eventWriter) send(name, id string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode event %s: %w", name, err)
	}
	text := "event: " + name + "\n"
	if id != "" {
		text += "id: " + id + "\n"
	}
	return events.write(text + "data: " + string(data) + "\n\n")
}

func (events *eventWriter) write(text string) error {
	events.mutex.Lock()
	defer events.mutex.Unlock()
	if _, err := events.writer.Write([]byte(text)); err != nil {
		return err
	}
	return events.controller.Flush()
}

func (events *eventWriter) keepAlive(clock core.Clock, interval time.Duration, done <-chan struct{}) {
	for {
		select {
		case <-clock.After(interval):
			if events.write(": alive\n\n") != nil {
				return
			}
		case <-done:
			return
		}
	}
}

func (api API) stream(writer http.ResponseWriter, request *http.Request, flowRequest flow.Request, trace bool) {
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Cache-Control", "no-cache")
	writer.WriteHeader(http.StatusOK)
	events := &eventWriter{writer: writer, controller: http.NewResponseController(writer)}
	done := make(chan struct{})
	var keepAlives sync.WaitGroup
	keepAlives.Go(func() { events.keepAlive(api.Clock, keepAliveInterval, done) })
	result, err := api.Daemon.Request(request.Context(), flowRequest, func(event flow.Event) error {
		return sendEvent(events, event)
	})
	// The writer must not be used after the handler returns.
	close(done)
	keepAlives.Wait()
	if err != nil {
		_ = events.send(ErrorEvent, "", answer.Encode(core.AsError(withRequestID(err, flowRequest.ID))))
		return
	}
	_ = events.send(DoneEvent, "", encodeResult(flowRequest.ID, result, trace))
}

func sendEvent(events *eventWriter, event flow.Event) error {
	switch event.Kind {
	case flow.TokensReceived:
		token := event.Token
		id := fmt.Sprint(token.Offset + token.Count)
		return events.send(TokenEvent, id, TokenBody{Offset: token.Offset, Count: token.Count, Text: token.Text})
	case flow.StageStarted:
		return events.send(StageEvent, "", StageBody{Stage: event.Stage, State: "Started"})
	default:
		return events.send(StageEvent, "", StageBody{Stage: event.Stage, State: "Done"})
	}
}
