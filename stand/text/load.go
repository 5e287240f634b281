package text

import (
	"bufio"
	"fmt"
	"io"
	"strings"

	"catkincove/core"
)

const (
	maxPassage = 800     // maximum bytes of a passage; a longer paragraph is split at line ends
	maxLine    = 1 << 20 // maximum bytes of a line
)

// Load splits a text into passages at blank lines, with the IDs passage-1, passage-2 and so on.
func Load(reader io.Reader) ([]core.Passage, error) {
	var passages []core.Passage
	var lines []string
	size := 0
	flush := func() {
		if len(lines) == 0 {
			return
		}
		id := fmt.Sprintf("passage-%d", len(passages)+1)
		passages = append(passages, core.Passage{ID: id, Text: strings.Join(lines, " ")})
		lines, size = nil, 0
	}
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line := strings.TrimSpace(scanner.Text())
		if line == "" || size+len(line) > maxPassage {
			flush()
		}
		if line != "" {
			lines = append(lines, line)
			size += len(line)
		}
	}
	flush()
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("reading passages after passage %d: %w", len(passages), err)
	}
	return passages, nil
}
