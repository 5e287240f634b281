package intake

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
)

// firstRead is the size of the first buffer for a body, which most do not exceed.
const firstRead = 64 << 10

// firstReadAll is the size of the first buffer for a body of unknown length.
const firstReadAll = 4 << 10

const (
	messageFactor       = 2                         // memory of a message per byte that was read, while its buffer grows
	messageElementBytes = 128                       // memory of an element of its lists once it is decoded, while the list grows
	freeMessage         = messageFactor * firstRead // memory that a message takes without a reservation
)

// ErrMemory is returned when a budget has too little memory left.
var ErrMemory = errors.New("bodies exceed their memory limit")

// Budget is memory that many bodies share; it is safe for concurrent use.
type Budget struct {
	Limit int64  // bytes
	Short func() // called when there is too little; may be nil
	used  atomic.Int64
}

// Memory returns the part of the budget that one body uses, of which nothing is reserved yet.
func (budget *Budget) Memory() *Memory { return &Memory{budget: budget} }

// Memory is the part of a budget that one body has reserved; Release frees it.
type Memory struct {
	budget   *Budget
	reserved int64 // bytes
}

// Reserve reserves the memory of the first bytes of a body; it returns ErrMemory if there is too little.
func (memory *Memory) Reserve(bytes int64) error {
	further := bytes - memory.reserved
	if further <= 0 {
		return nil
	}
	if memory.budget.used.Add(further) > memory.budget.Limit {
		memory.budget.used.Add(-further)
		if memory.budget.Short != nil {
			memory.budget.Short()
		}
		return ErrMemory
	}
	memory.reserved += further
	return nil
}

// Release frees what was reserved.
func (memory *Memory) Release() {
	memory.budget.used.Add(-memory.reserved)
	memory.reserved = 0
}

// ReadFull reads a body of the length, reserving its memory as it arrives, because a caller may state a length and send nothing.
func (memory *Memory) ReadFull(source io.Reader, length int64) ([]byte, error) {
	var body []byte
	for size := min(length, firstRead); ; size = min(length, 2*size) {
		if err := memory.Reserve(size); err != nil {
			return nil, err
		}
		read := len(body)
		body = append(make([]byte, 0, size), body...)[:size]
		if _, err := io.ReadFull(source, body[read:]); err != nil || size == length {
			return body, err
		}
	}
}

// Body returns the body of a message, which reserves memory for itself and for its decoded elements when they exceed 128 KB, so that usual ones are read however
// little is left.
func (memory *Memory) Body(source io.ReadCloser) io.ReadCloser {
	return &messageBody{ReadCloser: source, memory: memory}
}

type messageBody struct {
	io.ReadCloser
	memory *Memory
	bytes  int64 // memory of what was read
}

// Read returns ErrMemory when the budget is used up.
func (body *messageBody) Read(data []byte) (int, error) {
	count, err := body.ReadCloser.Read(data)
	body.bytes += int64(count)*messageFactor + int64(bytes.Count(data[:count], []byte{','}))*messageElementBytes
	if body.bytes > freeMessage {
		if err := body.memory.Reserve(body.bytes); err != nil {
			return count, err
		}
	}
	return count, err
}

// ReadAll reads a body to its end, or its first limit bytes. It reserves each buffer together with the one that it replaces, which the garbage collector has
// not freed yet, and returns what it has read with ErrMemory when the budget is used up.
func (memory *Memory) ReadAll(source io.Reader, limit int64) ([]byte, error) {
	var body []byte
	for int64(len(body)) < limit {
		if len(body) == cap(body) {
			size := min(limit, max(firstReadAll, 2*int64(cap(body))))
			if err := memory.Reserve(size + int64(cap(body))); err != nil {
				return body, err
			}
			body = append(make([]byte, 0, size), body...)
		}
		count, err := source.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// Reader returns a reader that reserves memory for the buffers that it reads into: a read of a chunk returns only when its buffer is full. What replaced
// buffers take until they are collected is not reserved, so that callers that send bodies slowly do not use up the memory of others.
func (memory *Memory) Reader(source io.Reader) io.Reader {
	return &meteredReader{source: source, memory: memory}
}

type meteredReader struct {
	source io.Reader
	memory *Memory
	count  int64 // bytes read
}

// Read returns ErrMemory when the budget is used up.
func (reader *meteredReader) Read(data []byte) (int, error) {
	if err := reader.memory.Reserve(reader.count + int64(len(data))); err != nil {
		return 0, err
	}
	count, err := reader.source.Read(data)
	reader.count += int64(count)
	return count, err
}
