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
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// TestRegistrationsOutOfOrder guards against using a draining target again because a registration from before the drain
// arrives late, and against ignoring a target after it has restarted.
func TestRegistrationsOutOfOrder(t *testing.T) {
	startedAt := time.UnixMilli(1000)
	entry := func(startedAt time.Time, sequence int64, draining bool) core.TargetEntry {
		return core.TargetEntry{ID: "i", Address: "10.0.0.1:80", StartedAt: startedAt, Sequence: sequence, Draining: draining}
	}
	var registry registry
	for _, test := range []struct {
		name     string
		entry    core.TargetEntry
		current  bool
		draining bool
	}{
		{"ready", entry(startedAt, 1, false), true, false},
		{"leaving", entry(startedAt, 3, true), true, true},
		{"late entry from before the drain", entry(startedAt, 2, false), true, true},
		{"entry after a restart", entry(startedAt.Add(time.Second), 1, false), true, false},
		{"entry of the earlier run", entry(startedAt, 9, true), false, false},
	} {
		run, current := registry.merge(start, test.entry)
		if current != test.current || current && run.draining != test.draining {
			t.Errorf("%s: current %v, draining %v", test.name, current, run.draining)
		}
	}
}

// TestRereadEntryKeepsColdDeadline guards against a target that stays cold because each read of the same registration
// extends its cold period.
func TestRereadEntryKeepsColdDeadline(t *testing.T) {
	var registry registry
	cold := core.TargetEntry{ID: "i", ColdTimeLeft: 3 * time.Second, Sequence: 1}
	registry.merge(start, cold)
	run, _ := registry.merge(start.Add(2*time.Second), cold)
	if want := start.Add(3 * time.Second); !run.coldUntil.Equal(want) {
		t.Errorf("cold until %v, want %v", run.coldUntil, want)
	}
}

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
		{"truncated inside an event", "id: 1\ndata: a\n\nid: 2\nda", "1", errTruncated},
		{"truncated before the blank line", "id: 1\ndata: a\n", "", errTruncated},
		{"long", "id: 1\ndata: " + strings.Repeat("x", 3*eventBufferBytes) + "\n\n", "1", io.EOF},
		{"line that fills the buffer", "id: 1\ndata: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "\nid: 2\ndata: a\n\n", "2", io.EOF},
		{"ID inside a long line", "id: 1\ndata: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + "id: 7\n\n", "1", io.EOF},
		{"empty", "", "", io.EOF},
		{"one line without end", strings.Repeat("x", 2*maxEventBytes), "", errEventTooLong},
		{"short lines without end", strings.Repeat("data: x\n", 2*maxEventBytes/8), "", errEventTooLong},
	} {
		t.Run(test.name, func(t *testing.T) {
			reader := bufio.NewReaderSize(strings.NewReader(test.stream), eventBufferBytes)
			var ids []string
			var size int
			for {
				event, id, err := readEvent(reader, (&intake.Budget{Limit: 4 * maxEventBytes}).Memory())
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

// TestLogNeverBlocks guards against requests that block because the reader of the log has stopped reading.
func TestLogNeverBlocks(t *testing.T) {
	writer := newLogWriter(core.SystemClock{})
	began := time.Now()
	for range 5 * maxQueuedLines {
		_, _ = writer.Write([]byte("line\n"))
	}
	if duration := time.Since(began); duration > time.Second {
		t.Errorf("writing blocked for %v", duration)
	}
	if dropped := writer.dropped.Load(); dropped == 0 {
		t.Error("dropped lines were not counted")
	}
}

// BenchmarkLogLine measures the log line that ends each request.
func BenchmarkLogLine(b *testing.B) {
	writer := newLogWriter(core.SystemClock{})
	stop := make(chan struct{})
	defer close(stop)
	go writer.run(io.Discard, stop)
	log := writer.logger("d")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str(eventField, eventRequestEnded).Str("Request", "9c41d07be2a35f68").Str("Route", "r-8nmsu7a").Int("Status", 200).Dur("Took", time.Second).Send()
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

// TestRegistrationFromBackup guards against requests to a target that was gone before the store was restored from a backup which
// still holds its registration.
func TestRegistrationFromBackup(t *testing.T) {
	entry := func(startedAt, sequence int64) core.TargetEntry {
		return core.TargetEntry{ID: "i", StartedAt: time.UnixMilli(startedAt), Sequence: sequence}
	}
	tests := []struct {
		name  string
		after time.Duration
		entry core.TargetEntry
		known bool
	}{
		{"from the backup", time.Second, entry(5, 7), false},
		{"the last one", time.Second, entry(5, 9), false},
		{"registered again", time.Second, entry(5, 10), true},
		{"next run", time.Second, entry(6, 1), true},
		{"long after", 2 * time.Minute, entry(5, 7), true},
	}
	for _, test := range tests {
		var registry registry
		registry.merge(start, entry(5, 9))
		registry.removeAbsent(start, map[string]bool{})
		registry.removeAbsent(start.Add(test.after), map[string]bool{})
		if _, known := registry.merge(start.Add(test.after), test.entry); known != test.known || registry.has("i") != test.known {
			t.Errorf("%s: used %v", test.name, known)
		}
	}
}
