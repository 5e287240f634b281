package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Object is a JSON object with the lower-case names of a published protocol.
type Object map[string]any

// Reply writes a JSON response with the status.
func Reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// Unmarshal decodes JSON into a struct without tags; underscores in names are ignored, so that range_end matches RangeEnd.
//
// The fields named in durations may also be strings such as "250ms".
func Unmarshal(body []byte, value any, durations ...string) error {
	var tree any
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return err
	}
	normalized, err := json.Marshal(removeUnderscores(tree))
	if err != nil {
		return err
	}
	if len(durations) > 0 {
		if normalized, err = parseDurations(normalized, durations); err != nil {
			return err
		}
	}
	return json.Unmarshal(normalized, value)
}

// removeUnderscores removes the underscores from all object keys of a decoded JSON value.
func removeUnderscores(tree any) any {
	switch node := tree.(type) {
	case map[string]any:
		renamed := make(map[string]any, len(node))
		for name, value := range node {
			renamed[strings.ReplaceAll(name, "_", "")] = removeUnderscores(value)
		}
		return renamed
	case []any:
		for index := range node {
			node[index] = removeUnderscores(node[index])
		}
	}
	return tree
}

func parseDurations(body []byte, names []string) ([]byte, error) {
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	for _, name := range names {
		text, isText := fields[name].(string)
		if !isText {
			continue
		}
		duration, err := time.ParseDuration(text)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		fields[name] = int64(duration)
	}
	return json.Marshal(fields)
}
