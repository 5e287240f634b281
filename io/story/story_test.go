package story

import (
	"errors"
	"io"
	"strings"
	"testing"
)

const (
	first = `{"level":"info","Daemon":"d1","Event":"PeerSilent","Peer":"d2","time":"2026-12-04T08:00:00.9Z"}
no json
{"level":"warn","Daemon":"d1","Event":"AttemptFailed","Request":"a1","Target":"t","Took":200,"time":"2026-12-04T08:00:01.2Z"}
{"level":"info","Daemon":"d1","Event":"BatchFailed","time":"2026-12-04T07:59:50Z"}
{"level":"info","Daemon":"d1","Event":"FreeFailed","time":"2026-12-04T08:00:01.3Z"}
{"level":"info","Daemon":"d1","Event":"RequestEnded","Request":"a1","Took":500,"Outcome":"Served","time":"2026-12-04T08:00:01.5Z"}
{"level":"info","Daemon":"d1","Event":"RequestEnded","Request":"a2","time":"2026-12-04T08:00:01.4Z"}
`
	second = `{"level":"info","Daemon":"d2","Event":"SenderStarts","time":"2026-12-04T08:00:01.1Z"}
{"level":"warn","Daemon":"d3","Event":"SenderFailed","Request":"a1","time":"2026-12-04T08:00:01.25Z"}
`
)

// TestFind guards against a story that is out of order, mixes requests or drowns in the lines of others.
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
			story, err := Find(test.id, strings.NewReader(first), strings.NewReader(second))
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

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestReadErrors guards against a story that silently misses the lines of a log that cannot be read to its end, and against
// a line without an end that fills the memory.
func TestReadErrors(t *testing.T) {
	if _, err := Find("a1", strings.NewReader(first), broken{}); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error %v", err)
	}
	long := `{"Request":"` + strings.Repeat("x", 3*maxLine) + "\"}\n" + first
	if story, err := Find("a1", strings.NewReader(long)); err != nil || story.Unreadable != 2 {
		t.Errorf("%d unreadable, %v", story.Unreadable, err)
	}
}
