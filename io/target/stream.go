package target

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"strconv"
	"time"

	"catkincove/core"
)

const (
	maxEventLine   = 1 << 20 // bytes
	maxIdleBytes   = 2 << 20 // bytes without a token after which a stream ends; comments that keep it alive take a few
	maxEventTokens = 4096    // tokens of one event
	drainTimeout   = 50 * time.Millisecond
	drainBytes     = 4 << 10
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	endMarker = []byte("[DONE]")
)

// stream reads the token events of one response.
type stream struct {
	exchange  *exchange
	reader    *bufio.Reader
	received  int
	maxTokens int // tokens of the whole answer; 0 means unbounded
	finished  bool
	id        int
	hasID     bool
	data      []byte
	hasData   bool
	idleBytes int // bytes since the last token
}

// relay passes tokens to emit until the end marker; it returns nil only after the marker.
func (stream *stream) relay(emit func(core.Token) error) error {
	for {
		line, err := stream.readLine()
		if err != nil {
			return stream.exchange.transportError(err)
		}
		if stream.idleBytes += len(line) + 1; stream.idleBytes > maxIdleBytes {
			return stream.exchange.responseError("%d bytes without a token", stream.idleBytes)
		}
		if len(line) > 0 {
			if err := stream.parseField(line); err != nil {
				return err
			}
			continue
		}
		done, err := stream.dispatch(emit)
		if err != nil || done {
			return err
		}
	}
}

// readLine returns a line without its line break; the slice is valid until the next call.
func (stream *stream) readLine() ([]byte, error) {
	line, err := stream.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return stream.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (stream *stream) readLongLine(start []byte) ([]byte, error) {
	long := bytes.Clone(start)
	for len(long) <= maxEventLine {
		part, err := stream.reader.ReadSlice('\n')
		long = append(long, part...)
		if err == nil {
			return bytes.TrimRight(long, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return nil, bufio.ErrTooLong
}

func (stream *stream) parseField(line []byte) error {
	if value, isID := bytes.CutPrefix(line, fieldID); isID {
		id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
		if err != nil {
			return stream.exchange.responseError("event id %q is not a number", value)
		}
		stream.id, stream.hasID = id, true
		return nil
	}
	if value, isData := bytes.CutPrefix(line, fieldData); isData {
		if len(stream.data)+len(value) > maxEventLine {
			return stream.exchange.responseError("token event is longer than %d bytes", maxEventLine)
		}
		stream.data = append(stream.data, bytes.TrimSpace(value)...)
		stream.hasData = true
	}
	return nil // comments and unknown fields are ignored
}

// dispatch handles the event that an empty line completes.
func (stream *stream) dispatch(emit func(core.Token) error) (done bool, err error) {
	data, id, hasID, hasData := stream.data, stream.id, stream.hasID, stream.hasData
	stream.data, stream.hasID, stream.hasData = stream.data[:0], false, false
	if !hasData {
		return false, nil // a comment shows that the connection is alive, but is no progress
	}
	if bytes.Equal(data, endMarker) {
		return true, stream.finish()
	}
	if stream.finished {
		return false, stream.exchange.responseError("tokens after the finish reason")
	}
	text, finished, err := parseChoice(data)
	if err != nil {
		return false, stream.exchange.responseError("token event: %w", err)
	}
	stream.finished = finished
	if text == "" && (!hasID || id == stream.received) {
		return false, nil
	}
	return false, stream.emitToken(text, id, hasID, emit)
}

func (stream *stream) emitToken(text string, id int, hasID bool, emit func(core.Token) error) error {
	count := id - stream.received
	if !hasID || count < 1 || count > maxEventTokens {
		return stream.exchange.responseError("event id %d after %d tokens", id, stream.received)
	}
	if stream.maxTokens > 0 && id > stream.maxTokens {
		return stream.exchange.responseError("event id %d exceeds the limit of %d tokens", id, stream.maxTokens)
	}
	token := core.Token{Offset: stream.received, Count: count, Text: text}
	stream.received, stream.idleBytes = id, 0
	stream.exchange.recordToken()
	if err := emit(token); err != nil {
		stream.exchange.outcome = core.OutcomeCancelled
		return err
	}
	return nil
}

func (stream *stream) finish() error {
	if !stream.finished {
		return stream.exchange.responseError("end marker without a finish reason")
	}
	stream.exchange.drain(stream.reader)
	return nil
}

func parseChoice(data []byte) (text string, finished bool, err error) {
	var event struct{ Choices []map[string]any }
	if err := json.Unmarshal(data, &event); err != nil {
		return "", false, err
	}
	if len(event.Choices) != 1 {
		return "", false, errors.New("event does not have exactly one choice")
	}
	choice := event.Choices[0]
	text, isText := choice["text"].(string)
	if !isText {
		return "", false, errors.New("choice has no text")
	}
	reason, _ := choice["finish_reason"].(string)
	return text, reason == "stop" || reason == "length", nil
}

// recordToken records the time of the first token and restarts the timer of the token gap.
func (exchange *exchange) recordToken() {
	if exchange.firstToken == 0 {
		exchange.firstToken = exchange.client.Clock.Now().Sub(exchange.started)
	}
	exchange.setStallTimeout(exchange.client.TokenGap)
}

// drain reads the rest of a finished response, so that the connection can be reused.
func (exchange *exchange) drain(reader io.Reader) {
	exchange.setStallTimeout(drainTimeout)
	_, _ = io.CopyN(io.Discard, reader, drainBytes)
}
