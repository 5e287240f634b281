package intake

import (
	"errors"
	"io"
	"sync/atomic"
)

// ErrMemory is returned when a budget has too little memory left.
var ErrMemory = errors.New("bodies exceed their memory limit")

// Budget is memory that many bodies share; it is safe for concurrent use.
type Budget struct {
	Limit int64 // bytes
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

// Reader returns a reader that reserves memory for the buffers that it reads into: a read of a chunk returns only when its buffer is full.
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
