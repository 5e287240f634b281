package lines

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

// Writer queues log lines for one writing goroutine and never blocks.
type Writer struct {
	clock           core.Clock
	lines           chan []byte
	dropped         atomic.Int64
	currentSecond   atomic.Int64
	linesThisSecond atomic.Int64
}

// New returns a writer without lines.
func New(clock core.Clock) *Writer {
	return &Writer{clock: clock, lines: make(chan []byte, maxQueuedLines)}
}

// Write queues a copy of one line, or counts it as dropped, and returns no error.
func (writer *Writer) Write(line []byte) (int, error) {
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

// Run writes the queued lines until stop is closed and the queue is empty.
func (writer *Writer) Run(out io.Writer, stop <-chan struct{}) {
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

// Dropped returns the number of lines that were dropped.
func (writer *Writer) Dropped() int64 { return writer.dropped.Load() }

// Logger returns a logger that writes to the queue and names the daemon in each line.
func (writer *Writer) Logger(name string) zerolog.Logger {
	setTimeFormat()
	return zerolog.New(writer).With().Timestamp().Str("Daemon", name).Logger()
}
