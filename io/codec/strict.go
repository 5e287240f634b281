package codec

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"catkincove/core/config"
)

// decodeStrict decodes exactly one JSON value and rejects unknown fields and trailing data.
func decodeStrict(value []byte, destination any) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(destination); err != nil {
		return fmt.Errorf("decode JSON: %w", err)
	}
	if _, err := decoder.Token(); err != io.EOF {
		return fmt.Errorf("decode JSON: data after the value")
	}
	return nil
}

// parser converts the text fields of the wire structs and keeps the first error.
type parser struct {
	err error
}

func (parser *parser) fail(key, found, expected string) {
	if parser.err == nil {
		parser.err = fmt.Errorf("key %s: found %q, expected %s", key, found, expected)
	}
}

func (parser *parser) duration(key, text string) time.Duration {
	duration, err := time.ParseDuration(text)
	if err != nil {
		parser.fail(key, text, `a duration such as "1.5s"`)
	}
	return duration
}

func (parser *parser) placement(text string) config.Placement {
	placement, known := config.ParsePlacement(text)
	if !known {
		parser.fail("State", text, "In or Out")
	}
	return placement
}

func (parser *parser) serviceKind(text string) config.ServiceKind {
	kind, known := config.ParseServiceKind(text)
	if !known {
		parser.fail("Kind", text, "the name of a service kind")
	}
	return kind
}
