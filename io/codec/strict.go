package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"catkincove/core/config"
)

// decodeStrict decodes exactly one JSON value and refuses unknown fields.
func decodeStrict(value []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("decode JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("decode JSON: data after the value")
	}
	return nil
}

// reader parses texts of wire structs and keeps the first error.
type reader struct {
	err error
}

func (reader *reader) fail(key, found, expected string) {
	if reader.err == nil {
		reader.err = fmt.Errorf("key %s: found %q, expected %s", key, found, expected)
	}
}

func (reader *reader) duration(key, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		reader.fail(key, text, `a duration such as "1.5s"`)
	}
	return duration
}

func (reader *reader) placement(text string) config.Placement {
	placement, known := config.ParsePlacement(text)
	if !known {
		reader.fail("State", text, "In or Out")
	}
	return placement
}

func (reader *reader) serviceKind(text string) config.ServiceKind {
	kind, known := config.ParseServiceKind(text)
	if !known {
		reader.fail("Kind", text, "the name of a service kind")
	}
	return kind
}
