package member

import (
	"encoding/json"
	"fmt"
	"strings"

	"catkincove/core"
)

// Record is the member record that a daemon publishes in the store.
type Record struct {
	ID         core.MemberID
	Address    string // host:port for callers and peers
	DataCentre string
	Leaving    bool
}

// Key returns the store key of the record.
func (record Record) Key() string { return core.MemberPrefix + string(record.ID) }

// WithLeaving returns a copy with the given Leaving flag.
func (record Record) WithLeaving(leaving bool) Record {
	record.Leaving = leaving
	return record
}

// wireRecord is the stored form of a Record; its field names are the JSON keys.
type wireRecord struct {
	ID         string
	Address    string
	DataCentre string
	Leaving    bool
}

// Encode returns the record as JSON, as it is stored.
func (record Record) Encode() []byte {
	wire := wireRecord{string(record.ID), record.Address, record.DataCentre, record.Leaving}
	content, _ := json.Marshal(wire) // encoding strings and a boolean cannot fail
	return content
}

// Decode decodes a member record of the store; it returns an error if the value is invalid or its ID does not match the key.
func Decode(entry core.Entry) (Record, error) {
	var wire wireRecord
	if err := json.Unmarshal(entry.Value, &wire); err != nil {
		return Record{}, fmt.Errorf("member record %q: %w", entry.Key, err)
	}
	if wire.ID == "" || strings.TrimPrefix(entry.Key, core.MemberPrefix) != wire.ID {
		return Record{}, fmt.Errorf("member record %q: ID %q does not match the key", entry.Key, wire.ID)
	}
	return Record{core.MemberID(wire.ID), wire.Address, wire.DataCentre, wire.Leaving}, nil
}
