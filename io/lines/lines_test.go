package lines

import (
	"io"
	"strings"
	"testing"
	"time"

	"catkincove/core"
)

// TestLogNeverBlocks guards against requests that block because the reader of the log has stopped reading.
func TestLogNeverBlocks(t *testing.T) {
	writer := New(core.SystemClock{})
	began := time.Now()
	for range 5 * maxQueuedLines {
		_, _ = writer.Write([]byte("line\n"))
	}
	if duration := time.Since(began); duration > time.Second {
		t.Errorf("writing blocked for %v", duration)
	}
	if dropped := writer.Dropped(); dropped == 0 {
		t.Error("dropped lines were not counted")
	}
}

// TestLogQueueIsBounded guards against a process that runs out of memory because its log holds long texts of callers and is not read.
func TestLogQueueIsBounded(t *testing.T) {
	writer := New(core.SystemClock{})
	const lineBytes, count = 64 << 10, 100
	for range count {
		_, _ = writer.Write(make([]byte, lineBytes))
	}
	if queued := len(writer.lines); queued == 0 || queued*lineBytes > maxQueuedBytes || writer.Dropped() != int64(count-queued) {
		t.Errorf("%d lines of 64 KB are queued, %d dropped", queued, writer.Dropped())
	}
	stop := make(chan struct{})
	close(stop)
	writer.Run(io.Discard, stop)
	if _, _ = writer.Write(make([]byte, lineBytes)); len(writer.lines) != 1 {
		t.Error("a line is dropped although the queue was written")
	}
	if long := Short(strings.Repeat("a", 5000)); len(long) > 2*maxText || Short("a") != "a" {
		t.Errorf("a text of 5,000 bytes has %d in a line", len(long))
	}
}

// BenchmarkLogLine measures the log line that ends each request.
func BenchmarkLogLine(b *testing.B) {
	writer := New(core.SystemClock{})
	stop := make(chan struct{})
	defer close(stop)
	go writer.Run(io.Discard, stop)
	log := writer.Logger("d")
	b.ReportAllocs()
	for b.Loop() {
		log.Info().Str("Event", "RequestEnded").Str("Request", "9c41d07be2a35f68").Str("Route", "r-8nmsu7a").Int("Status", 200).Dur("Took", time.Second).Send()
	}
}
