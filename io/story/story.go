package story

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"
)

const (
	maxLine = 1 << 20         // bytes; longer lines are counted as unreadable
	around  = 2 * time.Second // before a request's first line in which the beliefs of its daemons may have decided it
)

// Line is one line of a daemon's log.
type Line struct {
	At     time.Time
	Daemon string
	Event  string
	Fields map[string]any // all fields of the line
	Own    bool           // the line names the request; the others tell what its daemons learned meanwhile
}

// Story is what the logs tell of one request.
type Story struct {
	Lines      []Line // in the order of their times
	Unreadable int    // lines that are no JSON objects with a time
}

// ErrUnknown reports that no line names the request.
var ErrUnknown = errors.New("no line names the request")

// beliefs are the events that tell what a daemon believes; lines without a request that are not among them, such as the end
// of a batch of others, say nothing about one request.
var beliefs = []string{
	"Start", "Drain", "DrainCut", "Stop", "Reload", "StoreLost", "StoreReturned", "HistoryLost", "RoutingChanged", "RoutingRejected",
	"PeerSilent", "PeerFailed", "PeerReturned", "PeerForgotten", "SenderStarts", "JobsHandedOver", "BatchFailed", "PiecesFailed",
}

// Find returns the lines of the request and the beliefs of the daemons that served it, from all logs; it returns ErrUnknown
// or an error of a reader.
func Find(id string, logs ...io.Reader) (Story, error) {
	var story Story
	var all []Line
	for _, log := range logs {
		lines, unreadable, err := read(log)
		if err != nil {
			return Story{}, err
		}
		all, story.Unreadable = append(all, lines...), story.Unreadable+unreadable
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.At.Compare(b.At) })
	var from, to time.Time
	daemons := map[string]bool{}
	for i, line := range all {
		if line.Fields["Request"] != id {
			continue
		}
		all[i].Own = true
		began := line.At.Add(-line.took())
		if from.IsZero() || began.Before(from) {
			from = began
		}
		to = line.At
		daemons[line.Daemon] = true
	}
	if to.IsZero() {
		return story, ErrUnknown
	}
	for _, line := range all {
		belief := daemons[line.Daemon] && slices.Contains(beliefs, line.Event) && !line.At.Before(from.Add(-around)) && !line.At.After(to)
		if line.Own || belief {
			story.Lines = append(story.Lines, line)
		}
	}
	return story, nil
}

// took is how long before the line its subject began.
func (line Line) took() time.Duration {
	milliseconds, _ := line.Fields["Took"].(float64)
	return time.Duration(milliseconds * float64(time.Millisecond))
}

func read(log io.Reader) (lines []Line, unreadable int, err error) {
	reader := bufio.NewReaderSize(log, maxLine)
	for {
		text, tooLong, err := reader.ReadLine()
		if err == io.EOF {
			return lines, unreadable, nil
		}
		if err != nil {
			return nil, 0, err
		}
		if tooLong {
			for tooLong && err == nil {
				_, tooLong, err = reader.ReadLine()
			}
			unreadable++
			continue
		}
		if len(text) == 0 {
			continue
		}
		line, ok := parse(text)
		if !ok {
			unreadable++
			continue
		}
		lines = append(lines, line)
	}
}

func parse(text []byte) (Line, bool) {
	var fields map[string]any
	if json.Unmarshal(text, &fields) != nil {
		return Line{}, false
	}
	moment, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, moment)
	if err != nil {
		return Line{}, false
	}
	daemon, _ := fields["Daemon"].(string)
	event, _ := fields["Event"].(string)
	return Line{At: at, Daemon: daemon, Event: event, Fields: fields}, true
}
