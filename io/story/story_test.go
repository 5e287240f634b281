package story

import (
	"errors"
	"io"
	"slices"
	"strings"
	"testing"
)

const (
	firstLog = `{"level":"info","Daemon":"d1","Event":"PeerSilent","Peer":"d2","time":"2026-12-04T08:00:00.9Z"}
no json
{"level":"warn","Daemon":"d1","Event":"AttemptFailed","Request":"a1","Target":"t","Took":200,"time":"2026-12-04T08:00:01.2Z"}
{"level":"info","Daemon":"d1","Event":"BatchFailed","time":"2026-12-04T07:59:50Z"}
{"level":"info","Daemon":"d1","Event":"FreeFailed","time":"2026-12-04T08:00:01.3Z"}
{"level":"info","Daemon":"d1","Event":"RequestEnded","Request":"a1","Took":500,"Outcome":"Served","time":"2026-12-04T08:00:01.5Z"}
{"level":"info","Daemon":"d1","Event":"RequestEnded","Request":"a2","time":"2026-12-04T08:00:01.4Z"}
`
	secondLog = `{"level":"info","Daemon":"d2","Event":"SenderStarts","time":"2026-12-04T08:00:01.1Z"}
{"level":"warn","Daemon":"d3","Event":"SenderFailed","Request":"a1","time":"2026-12-04T08:00:01.25Z"}
`
)

// TestFind guards against a story that is out of order, contains lines of other requests or omits state changes.
func TestFind(t *testing.T) {
	for _, test := range []struct {
		name, id   string
		events     string
		unreadable int
		err        error
	}{
		{"over daemons", "a1", "PeerSilent AttemptFailed SenderFailed RequestEnded", 1, nil},
		{"short", "a2", "PeerSilent RequestEnded", 1, nil},
		{"unknown", "a3", "", 1, ErrUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			story, err := Find(test.id, strings.NewReader(firstLog), strings.NewReader(secondLog))
			var events []string
			for _, line := range story.Lines {
				events = append(events, line.Event)
			}
			if !errors.Is(err, test.err) || strings.Join(events, " ") != test.events || story.Unreadable != test.unreadable {
				t.Errorf("%v, %d unreadable, %v; expected %s", events, story.Unreadable, err, test.events)
			}
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestReadErrors guards against a story that silently omits lines after a read error, and against unbounded memory for a
// line that never ends.
func TestReadErrors(t *testing.T) {
	if _, err := Find("a1", strings.NewReader(firstLog), failingReader{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v", err)
	}
	tooLong := `{"Request":"` + strings.Repeat("x", 3*maxLine) + "\"}\n" + firstLog
	if story, err := Find("a1", strings.NewReader(tooLong)); err != nil || story.Unreadable != 2 {
		t.Errorf("%d unreadable, %v", story.Unreadable, err)
	}
}

// TestSummarise guards against a summary that counts late requests as served in time, blames the wrong part for them, or
// lists one cause once for each of its figures.
func TestSummarise(t *testing.T) {
	ended := func(fields string) string {
		return `{"Event":"RequestEnded","time":"2026-12-04T08:00:01Z","Route":"quote",` + fields + "}\n"
	}
	log := ended(`"Outcome":"Served","First":900,"Stages":700,"StageTimes":[300,400],"SoftLeft":1000`) +
		ended(`"Outcome":"Served","First":1500,"Stages":1300,"StageTimes":[300,1000],"SoftLeft":1000`) +
		ended(`"Outcome":"Served","First":1500,"Stages":300,"StageTimes":[300,0],"SoftLeft":1000`) +
		ended(`"Outcome":"Served","First":800,"Stages":700,"StageTimes":[300,400],"SoftLeft":-500`) +
		ended(`"Outcome":"Unavailable","Cause":"Unavailable: WouldBeLate: response expected in 1.1s, soft deadline in 1s"`) +
		ended(`"Outcome":"Unavailable","Cause":"Unavailable: WouldBeLate: response expected in 1.3s, soft deadline in 1s"`) +
		ended(`"Outcome":"TargetErred"`) +
		`{"Event":"AttemptFailed","time":"2026-12-04T08:00:01Z"}` + "\nno json\n"
	summary, err := Summarise(strings.NewReader(log))
	if err != nil || summary.Unreadable != 1 || len(summary.Routes) != 1 {
		t.Fatalf("%+v, %v", summary, err)
	}
	route := summary.Routes[0]
	want := []Loss{
		{"Unavailable", "Unavailable: WouldBeLate", 2}, {"Late", "first attempt", 1}, {"Late", "stage 1", 1}, {"Late", "target", 1}, {"TargetErred", "", 1},
	}
	if route.Route != "quote" || route.Ended != 7 || route.InTime != 1 || !slices.Equal(route.Losses, want) {
		t.Errorf("%+v", route)
	}
	var stages []string
	for _, stage := range route.Stages {
		stages = append(stages, stage.Stage+" "+stage.Median.String())
	}
	if got := strings.Join(stages, ", "); got != "stage 0 300ms, stage 1 400ms, target 200ms" {
		t.Errorf("stages: %s", got)
	}
}
