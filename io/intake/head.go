package intake

import (
	"bytes"
	"errors"
	"time"
)

const (
	DefaultHeadBytes = 64 << 10 // limit on the head of a request, and the largest that a port can state

	headFactor   = 4   // memory of a head per byte: lines are assembled, values are copied, and a path is kept escaped and unescaped
	elementBytes = 256 // memory of a header line or of an entry in a list: entries of the maps of the server and of a forwarded copy, and their slices
)

var (
	errHeadTooLong = errors.New("head of a request exceeds its limit")
	errEvicted     = errors.New("connection was closed because of the limits")
)

// headMemory returns the memory that a server and a forwarded copy need at most for a part of a head. It counts short lines and short entries of lists by their
// number, because once they are parsed they take many times their bytes.
func headMemory(part []byte) int64 {
	elements := bytes.Count(part, []byte{'\n'}) + bytes.Count(part, []byte{','})
	return int64(len(part))*headFactor + int64(elements)*elementBytes
}

// requestHead follows the bytes of a head to the empty line that ends it; the zero value is one of which nothing has come.
type requestHead struct {
	limits   HeadLimits
	deadline time.Time // zero means none of this port
	bytes    int64     // up to the empty line
	inLine   bool      // bytes of a line have come that is not whole
	onlyCR   bool      // they are a carriage return
	begun    bool      // a line that is not empty has come
	ended    bool
}

// add follows the next bytes and returns how many of them belong to the head.
func (head *requestHead) add(data []byte) int {
	for at := 0; at < len(data); {
		end := bytes.IndexByte(data[at:], '\n')
		if end < 0 {
			head.onlyCR = !head.inLine && len(data)-at == 1 && data[at] == '\r'
			head.inLine = true
			break
		}
		line := data[at : at+end]
		empty := !head.inLine && (end == 0 || end == 1 && line[0] == '\r') || head.onlyCR && end == 0
		at += end + 1
		head.inLine, head.onlyCR = false, false
		if empty && head.begun {
			head.ended = true
			head.bytes += int64(at)
			return at
		}
		head.begun = head.begun || !empty
	}
	head.bytes += int64(len(data))
	return len(data)
}
