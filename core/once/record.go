package once

import (
	"encoding/json"
	"fmt"

	"catkincove/core"
)

// wireRecord is the stored form of a record; its field names are the keys of the JSON object.
type wireRecord struct {
	State    string
	BodyHash string
	Attempt  string
	Member   string
	Answer   []byte
}

// The states of a stored record.
const (
	stateStarted = "Started"
	stateDone    = "Done"
)

func encode(record core.OnceRecord) []byte {
	wire := wireRecord{stateStarted, record.BodyHash, record.Attempt, string(record.Member), record.Response}
	if record.Done {
		wire.State = stateDone
	}
	content, _ := json.Marshal(wire) // strings and bytes always encode
	return content
}

func decode(content []byte) (core.OnceRecord, error) {
	var wire wireRecord
	if err := json.Unmarshal(content, &wire); err != nil {
		return core.OnceRecord{}, fmt.Errorf("at-most-once record: %w", err)
	}
	if wire.State != stateStarted && wire.State != stateDone {
		return core.OnceRecord{}, fmt.Errorf("at-most-once record: unknown state %q", wire.State)
	}
	return core.OnceRecord{
		Done:     wire.State == stateDone,
		BodyHash: wire.BodyHash,
		Attempt:  wire.Attempt,
		Member:   core.MemberID(wire.Member),
		Response: wire.Answer,
	}, nil
}

func recordKey(team core.TeamName, key string) string {
	return core.OncePrefix + string(team) + "/" + key
}
