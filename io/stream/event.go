package stream

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// Sizes of events.
const (
	MaxEventBytes = 1 << 20 // limit on one event
	BufferBytes   = 4 << 10 // an event of some tokens has about 250 bytes
)

// Errors of ReadEvent.
var (
	ErrTruncated    = errors.New("the stream ended inside an event")
	ErrEventTooLong = errors.New("an event is too long")
)

// IsComment reports whether an event holds only comments and empty lines.
func IsComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line[0] != ':' && len(bytes.TrimRight(line, "\r\n")) > 0 {
			return false
		}
	}
	return true
}

// ReadEvent returns one whole event with its ID, and with the empty lines and comments before it, which are no sign that the
// target works; those at the end of the stream are returned alone. io.EOF means that the stream ended between events and
// ErrTruncated inside one. It calls reserve for the memory of an event longer than BufferBytes, and returns its error.
func ReadEvent(reader *bufio.Reader, reserve func(bytes int64) error) (event []byte, id string, err error) {
	hasContent := false
	for lineStart := 0; ; {
		part, err := reader.ReadSlice('\n')
		if len(event)+len(part) > BufferBytes {
			if err := reserve(2 * int64(len(event)+len(part))); err != nil { // append doubles the buffer
				return nil, "", err
			}
		}
		event = append(event, part...)
		switch {
		case len(event) > MaxEventBytes:
			return nil, "", ErrEventTooLong
		case err == bufio.ErrBufferFull:
			continue // the line goes on
		case err == io.EOF && len(event) == 0:
			return nil, "", io.EOF
		case err == io.EOF && len(event) == lineStart && !hasContent:
			return event, "", nil
		case err == io.EOF:
			return nil, "", ErrTruncated
		case err != nil:
			return nil, "", fmt.Errorf("stream: %w", err)
		}
		line := event[lineStart:]
		if text, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = string(bytes.TrimSpace(text))
		}
		switch empty := len(bytes.TrimRight(line, "\r\n")) == 0; {
		case empty && hasContent:
			return event, id, nil
		case !empty && line[0] != ':':
			hasContent = true
		}
		lineStart = len(event)
	}
}
