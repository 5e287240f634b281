package edge

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"catkincove/core"
)

const (
	logQueue     = 1024 // lines that wait for a slow reader; further ones are dropped and counted
	logPerSecond = 400  // lines; a daemon serves some dozens of requests a second
)

// lineWriter hands lines to one writing goroutine and never blocks.
type lineWriter struct {
	clock   core.Clock
	lines   chan []byte
	dropped atomic.Int64
	second  atomic.Int64
	written atomic.Int64
}

func newLineWriter(clock core.Clock) *lineWriter {
	return &lineWriter{clock: clock, lines: make(chan []byte, logQueue)}
}

// Write queues one line, or counts it as dropped.
func (writer *lineWriter) Write(line []byte) (int, error) {
	if second := writer.clock.Now().Unix(); writer.second.Swap(second) != second {
		writer.written.Store(0)
	}
	if writer.written.Add(1) > logPerSecond {
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
func (writer *lineWriter) run(out io.Writer, stop <-chan struct{}) {
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

func (writer *lineWriter) logger(name string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(writer).With().Timestamp().Str("Daemon", name).Logger()
}
