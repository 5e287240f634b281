package lines

import (
	"io"
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
