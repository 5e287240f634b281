package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"catkincove/io/answer"
	"catkincove/io/entry"
)

const maxLineBytes = 16 << 20

var errTruncated = errors.New("event stream ended without a done or error event")

// readEvents reads an event stream up to its done or error event; a stream that ends without one is an error.
func readEvents(reader io.Reader, feed func(), emit func(Event)) (entry.AnswerBody, error) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	name := ""
	for scanner.Scan() {
		feed()
		line := scanner.Text()
		if value, found := strings.CutPrefix(line, "event: "); found {
			name = value
			continue
		}
		data, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		body, done, err := handleEvent(name, []byte(data), emit)
		if done || err != nil {
			return body, err
		}
	}
	if err := scanner.Err(); err != nil {
		return entry.AnswerBody{}, fmt.Errorf("read event stream: %w", err)
	}
	return entry.AnswerBody{}, errTruncated
}

func handleEvent(name string, data []byte, emit func(Event)) (body entry.AnswerBody, done bool, err error) {
	switch name {
	case entry.TokenEvent:
		token := new(entry.TokenBody)
		if err := json.Unmarshal(data, token); err != nil {
			return body, false, fmt.Errorf("decode token event: %w", err)
		}
		emit(Event{Token: token})
	case entry.StageEvent:
		stage := new(entry.StageBody)
		if err := json.Unmarshal(data, stage); err != nil {
			return body, false, fmt.Errorf("decode stage event: %w", err)
		}
		emit(Event{Stage: stage})
	case entry.DoneEvent:
		if err := json.Unmarshal(data, &body); err != nil {
			return body, false, fmt.Errorf("decode done event: %w", err)
		}
		return body, true, nil
	case entry.ErrorEvent:
		return body, true, answer.DecodeResponse(0, data)
	}
	return body, false, nil
}

// watchdog cancels a connection on which no data has arrived for idleTimeout.
type watchdog struct {
	cancel context.CancelFunc
	mutex  sync.Mutex
	timer  *time.Timer
}

func (watchdog *watchdog) feed() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.timer == nil {
		watchdog.timer = time.AfterFunc(idleTimeout, watchdog.cancel)
		return
	}
	watchdog.timer.Reset(idleTimeout)
}

func (watchdog *watchdog) stop() {
	watchdog.mutex.Lock()
	defer watchdog.mutex.Unlock()
	if watchdog.timer != nil {
		watchdog.timer.Stop()
	}
}
