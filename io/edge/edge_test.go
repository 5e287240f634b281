package edge

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"catkincove/core"
	"catkincove/io/intake"
	"catkincove/io/stream"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestReadEvent guards against passing on partial events, against taking a truncated stream for a complete one, and against
// an event without end that fills the memory.
func TestReadEvent(t *testing.T) {
	for _, test := range []struct {
		name, stream string
		ids          string
		err          error
	}{
		{"whole", "id: 1\ndata: a\n\nid: 2\ndata: b\ndata: c\n\n", "1,2", io.EOF},
		{"carriage returns", "id: 1\r\ndata: a\r\n\r\n", "1", io.EOF},
		{"truncated inside an event", "id: 1\ndata: a\n\nid: 2\nda", "1", stream.ErrTruncated},
		{"truncated before the blank line", "id: 1\ndata: a\n", "", stream.ErrTruncated},
		{"long", "id: 1\ndata: " + strings.Repeat("x", 3*stream.BufferBytes) + "\n\n", "1", io.EOF},
		{"line that fills the buffer", "id: 1\ndata: " + strings.Repeat("x", stream.BufferBytes-len("data: ")) + "\nid: 2\ndata: a\n\n", "2", io.EOF},
		{"ID inside a long line", "id: 1\ndata: " + strings.Repeat("x", stream.BufferBytes-len("data: ")) + "id: 7\n\n", "1", io.EOF},
		{"empty", "", "", io.EOF},
		{"one line without end", strings.Repeat("x", 2*stream.MaxEventBytes), "", stream.ErrEventTooLong},
		{"short lines without end", strings.Repeat("data: x\n", 2*stream.MaxEventBytes/8), "", stream.ErrEventTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader := bufio.NewReaderSize(strings.NewReader(test.stream), stream.BufferBytes)
			var ids []string
			var size int
			for {
				event, id, err := stream.ReadEvent(reader, (&intake.Budget{Limit: 4 * stream.MaxEventBytes}).Memory().Reserve)
				if err != nil {
					if !errors.Is(err, test.err) {
						t.Errorf("stream ends with %v", err)
					}
					break
				}
				size += len(event)
				ids = append(ids, id)
			}
			if strings.Join(ids, ",") != test.ids || test.err == io.EOF && size != len(test.stream) {
				t.Errorf("ids %v, %d of %d bytes", ids, size, len(test.stream))
			}
		})
	}
}

// TestEventNumbering guards against a resumed stream that repeats or skips an event.
func TestEventNumbering(t *testing.T) {
	request := &request{progress: progress{resumeAfter: "4"}}
	if !request.isNext("5") || request.isNext("6") || request.isNext("4") || !request.isDuplicate("4") || request.isDuplicate("6") {
		t.Error("events after ID 4 are classified wrongly")
	}
}

// TestSoftDeadlineOfRetriedRequest guards against giving a retry the soft deadline of a new request, and against taking
// a first attempt for a retry: on a first attempt, callers state 0.85 to 1 of the time limit.
func TestSoftDeadlineOfRetriedRequest(t *testing.T) {
	route := core.Route{Timeout: 8 * time.Second, LatencyObjective: 2300 * time.Millisecond}
	for _, test := range []struct {
		timeLeft     time.Duration
		softTimeLeft time.Duration
	}{{8 * time.Second, 2300 * time.Millisecond}, {6800 * time.Millisecond, 2300 * time.Millisecond}, {5360 * time.Millisecond, 300 * time.Millisecond}, {0, 2300 * time.Millisecond}} {
		request := &request{route: route, caller: core.CallerRequest{TimeLeft: test.timeLeft}}
		request.setDeadlines(start)
		if softTimeLeft := request.softDeadline.Sub(start); softTimeLeft != test.softTimeLeft {
			t.Errorf("%v left: soft deadline in %v, want %v", test.timeLeft, softTimeLeft, test.softTimeLeft)
		}
	}
}

// TestErrorClassification guards against reporting a target's fault as an internal error, and against reporting that a
// request has not run although a target may have run it.
func TestErrorClassification(t *testing.T) {
	past, cancel := context.WithDeadline(context.Background(), time.Now().Add(-time.Second))
	defer cancel()
	for _, test := range []struct {
		name       string
		ctx        context.Context
		mayHaveRun bool
		err        error
		kind       core.Kind
	}{
		{"disconnected stream", context.Background(), true, &sendError{run: core.Unknown, cause: io.ErrUnexpectedEOF}, core.TargetFailed},
		{"rejection by targets", context.Background(), false, core.Errorf(core.Unavailable, "full: %w", &sendError{run: core.NotRun, cause: io.EOF}), core.Unavailable},
		{"time limit reached after sending", past, true, context.DeadlineExceeded, core.OutcomeUnknown},
		{"time limit reached before sending", past, false, context.DeadlineExceeded, core.Unavailable},
		{"fault of the daemon", context.Background(), false, io.ErrNoProgress, core.Internal},
	} {
		incoming := httptest.NewRequest(http.MethodGet, "/", nil)
		request := &request{incoming: incoming, progress: progress{mayHaveRun: test.mayHaveRun}}
		if kind := core.AsError((&Daemon{}).classify(test.ctx, request, test.err)).Kind; kind != test.kind {
			t.Errorf("%s: %s, expected %s", test.name, kind, test.kind)
		}
	}
}
