package xchg

import (
	"errors"
	"io"
)

// errTooLong reports that a target has sent more bytes than a response may have at this point.
var errTooLong = errors.New("target sends more bytes than the header of a response may have")

// boundedReader reads from source and fails after a limit; the zero limit is none.
//
// A target in trouble may send bytes that are no response until the connection is closed.
type boundedReader struct {
	source  io.Reader
	limited bool
	left    int // bytes until the limit
}

// limit fails the reads after that many further bytes.
func (reader *boundedReader) limit(bytes int) { reader.limited, reader.left = true, bytes }

// unlimit removes the limit.
func (reader *boundedReader) unlimit() { reader.limited = false }

// Read reads at most up to the limit.
func (reader *boundedReader) Read(data []byte) (int, error) {
	if !reader.limited {
		return reader.source.Read(data)
	}
	if reader.left <= 0 {
		return 0, errTooLong
	}
	count, err := reader.source.Read(data[:min(len(data), reader.left)])
	reader.left -= count
	return count, err
}
