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

	maxQueuedBytes = 1 << 20 // the same for the bytes of queued lines, which may hold text of callers
	maxText        = 128     // bytes of a text of a caller in a line
)

// Short returns a text of a caller as logs show it, whose size they bound.
func Short(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText] + "..."
}

// Writer queues log lines for one writing goroutine and never blocks.
type Writer struct {
	clock           core.Clock
	lines           chan []byte
	queuedBytes     atomic.Int64
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
	size := int64(len(line))
	if writer.queuedBytes.Add(size) > maxQueuedBytes {
		writer.queuedBytes.Add(-size)
		writer.dropped.Add(1)
		return len(line), nil
	}
	select {
	case writer.lines <- append([]byte(nil), line...):
	default:
		writer.queuedBytes.Add(-size)
		writer.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes the queued lines until stop is closed and the queue is empty.
func (writer *Writer) Run(out io.Writer, stop <-chan struct{}) {
	for {
		select {
		case line := <-writer.lines:
			writer.write(out, line)
		case <-stop:
			for {
				select {
				case line := <-writer.lines:
					writer.write(out, line)
				default:
					return
				}
			}
		}
	}
}

func (writer *Writer) write(out io.Writer, line []byte) {
	_, _ = out.Write(line)
	writer.queuedBytes.Add(-int64(len(line)))
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
