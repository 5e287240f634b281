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

// Reply writes a JSON response.
func Reply(writer http.ResponseWriter, status int, value any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(value)
}

// Unmarshal decodes JSON into an untagged struct; underscores in names are ignored, so range_end matches RangeEnd.
//
// Fields named in durations may be given as text such as "250ms".
func Unmarshal(body []byte, value any, durations ...string) error {
	var tree any
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.UseNumber()
	if err := decoder.Decode(&tree); err != nil {
		return err
	}
	flat, err := json.Marshal(flatten(tree))
	if err != nil {
		return err
	}
	if len(durations) > 0 {
		if flat, err = parseDurations(flat, durations); err != nil {
			return err
		}
	}
	return json.Unmarshal(flat, value)
}

func flatten(tree any) any {
	switch node := tree.(type) {
	case map[string]any:
		renamed := make(map[string]any, len(node))
		for name, value := range node {
			renamed[strings.ReplaceAll(name, "_", "")] = flatten(value)
		}
		return renamed
	case []any:
		for index := range node {
			node[index] = flatten(node[index])
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
