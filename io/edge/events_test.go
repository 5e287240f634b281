package edge

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// TestEventsAreDocumented guards against log events that operators cannot look up: events that are missing in events.go
// or docs/OPERATIONS.md, and events that the explain tool looks for although no daemon logs them.
func TestEventsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	list, err := os.ReadFile("events.go")
	if err != nil {
		t.Fatal(err)
	}
	rollouts, err := os.ReadFile("../shift/events.go")
	if err != nil {
		t.Fatal(err)
	}
	list = append(list, rollouts...)
	events := regexp.MustCompile(`event\w+ += "(\w+)"`).FindAllSubmatch(list, -1)
	if len(events) < 20 {
		t.Fatalf("events.go lists %d events, want at least 20", len(events))
	}
	for _, event := range events {
		if name := string(event[1]); !regexp.MustCompile("`"+name+"`").Match(page) && name != "Event" {
			t.Errorf("docs/OPERATIONS.md does not name %s", name)
		}
	}
	story, err := os.ReadFile("../story/story.go")
	if err != nil {
		t.Fatal(err)
	}
	_, stateEvents, _ := strings.Cut(string(story), "var stateEvents = ")
	stateEvents, _, _ = strings.Cut(stateEvents, "}\n")
	named := regexp.MustCompile(`"(\w+)"`).FindAllStringSubmatch(stateEvents, -1)
	if len(named) < 10 {
		t.Fatalf("story.go lists %d events, want at least 10", len(named))
	}
	for _, stateEvent := range named {
		if !regexp.MustCompile(`= "` + stateEvent[1] + `"`).Match(list) {
			t.Errorf("the explain tool looks for event %s, which no daemon logs", stateEvent[1])
		}
	}
	files, _ := filepath.Glob("*.go")
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if found := regexp.MustCompile(`Str\((eventField|"Event"), "\w+"`).Find(text); found != nil {
			t.Errorf("%s logs an event that events.go does not name: %s", file, found)
		}
	}
}
