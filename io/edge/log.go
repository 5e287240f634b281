package edge

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
)

const (
	maxQueuedLines    = 1024 // further lines are dropped and counted while the reader is slow
	maxLinesPerSecond = 400  // further lines are dropped and counted; a daemon serves some dozens of requests a second
)

// logWriter queues log lines for one writing goroutine and never blocks.
type logWriter struct {
	clock           core.Clock
	lines           chan []byte
	dropped         atomic.Int64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

func newLogWriter(clock core.Clock) *logWriter {
	return &logWriter{clock: clock, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of one line, or counts it as dropped, and returns no error.
func (writer *logWriter) Write(line []byte) (int, error) {
	if second := writer.clock.Now().Unix(); writer.currentSecond.Swap(second) != second {
		writer.linesThisSecond.Store(0)
	}
	if writer.linesThisSecond.Add(1) > maxLinesPerSecond {
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// run writes the queued lines until stop is closed and the queue is empty.
func (writer *logWriter) run(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-writer.lines:
			_, _ = out.Write(line)
		case <-stop:
			for {
				select {
				case line := <-writer.lines:
					_, _ = out.Write(line)
				default:
					return
				}
			}
		}
	}
}

// setTimeFormat sets the format of the times in log lines, which the logging library holds for the whole process.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

func (writer *logWriter) logger(name string) zerolog.Logger {
	setTimeFormat()
	return zerolog.New(writer).With().Timestamp().Str("Daemon", name).Logger()
}
