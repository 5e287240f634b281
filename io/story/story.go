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
	maxLine  = 1 << 20         // bytes; longer lines are counted as unreadable
	lookback = 2 * time.Second // state changes of a daemon within this time before a request may have affected it
)

// Line is one line of a daemon's log.
type Line struct {
	At           time.Time
	Daemon       string
	Event        string
	Fields       map[string]any // all fields of the line
	NamesRequest bool           // false for a state change of a daemon that served the request
}

// Story is the history of one request, collected from logs.
type Story struct {
	Lines      []Line // sorted by time
	Unreadable int    // number of lines that are too long or not JSON objects with a time
}

// ErrUnknown is returned when no log line names the request.
var ErrUnknown = errors.New("no line names the request")

// stateEvents are the events that change what a daemon knows about itself, its peers, the store or the routing. Other
// lines that do not name the request, such as the end of a batch of other requests, do not explain its outcome.
var stateEvents = []string{
	"Start", "Drain", "DrainCut", "Stop", "Reload", "StoreLost", "StoreReturned", "HistoryLost", "RoutingChanged", "RoutingRejected",
	"PeerSilent", "PeerFailed", "PeerReturned", "PeerForgotten", "SenderStarts", "JobsHandedOver", "BatchFailed", "PiecesFailed",
}

// Find returns the log lines that name the request and the state changes, shortly before and during it, of the daemons
// that served it; it returns ErrUnknown when no line names the request, or an error of a reader.
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
		all[i].NamesRequest = true
		startedAt := line.At.Add(-line.elapsed())
		if from.IsZero() || startedAt.Before(from) {
			from = startedAt
		}
		to = line.At
		daemons[line.Daemon] = true
	}
	if to.IsZero() {
		return story, ErrUnknown
	}
	for _, line := range all {
		isState := daemons[line.Daemon] && slices.Contains(stateEvents, line.Event) && !line.At.Before(from.Add(-lookback)) && !line.At.After(to)
		if line.NamesRequest || isState {
			story.Lines = append(story.Lines, line)
		}
	}
	return story, nil
}

// elapsed returns the duration of the logged operation, which ended when the line was written; 0 if it has none.
func (line Line) elapsed() time.Duration { return line.duration("Took") }

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
	timestamp, _ := fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, timestamp)
	if err != nil {
		return Line{}, false
	}
	daemon, _ := fields["Daemon"].(string)
	event, _ := fields["Event"].(string)
	return Line{At: at, Daemon: daemon, Event: event, Fields: fields}, true
}
