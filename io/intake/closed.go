package intake

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// maxCollectionWait bounds how long one connection waits for the garbage collector, which takes far less unless the process gets no processor.
const maxCollectionWait = time.Second

// closed is the memory of connections that are no longer in the pool. It is free only when their goroutines have ended and a cycle of the garbage collector
// that began after that has ended; a crowd whose connections are closed and opened again would otherwise add garbage as fast as the machine allows.
type closed struct {
	endingBytes  int64         // of connections whose goroutines have not ended
	garbageBytes int64         // of those that have
	collecting   bool          // a cycle was asked for
	reduced      chan struct{} // closed when there may be less of it

	markedBytes int64  // garbage when the cycles were last read
	cycles      uint64 // cycles that had ended then
}

// ending counts the memory of a connection that was removed from the pool; the mutex must be held.
func (pool *Pool) ending(conn *Conn) {
	conn.endingHead = max(0, conn.headBytes-connectionBytes)
	conn.endingBytes = conn.headBytes + conn.bodyBytes - conn.endingHead
	pool.closed.endingBytes += conn.endingHead + conn.endingBytes
	if conn.reads == 0 {
		pool.endHead(conn) // the server does not parse a head
	} else if pool.isOver() {
		pool.closed.notify() // the read may wait for the collector, and its head counts until it returns
	}
	if conn.ended {
		pool.end(conn)
	}
}

// endHead notes that the head of a removed connection is garbage; the mutex must be held.
func (pool *Pool) endHead(conn *Conn) {
	if conn.endingHead > 0 {
		pool.discard(conn.endingHead)
		conn.endingHead = 0
	}
}

// end notes that the goroutine of a connection has ended; the mutex must be held.
func (pool *Pool) end(conn *Conn) {
	conn.ended = true
	if conn.endingBytes > 0 {
		pool.discard(conn.endingBytes)
		conn.endingBytes = 0
	}
}

// discard counts memory as garbage and asks for a cycle of the collector when there is much of it; the mutex must be held.
func (pool *Pool) discard(bytes int64) {
	closed := &pool.closed
	closed.endingBytes -= bytes
	closed.garbageBytes += bytes
	if closed.collecting || closed.garbageBytes <= pool.maxClosedBytes/2 {
		return
	}
	// Of two cycles that have ended, the second began after the mark.
	if cycles := completedCycles(); cycles >= closed.cycles+2 {
		closed.garbageBytes -= closed.markedBytes
		closed.markedBytes, closed.cycles = closed.garbageBytes, cycles
		closed.notify()
	}
	if closed.garbageBytes > pool.maxClosedBytes/2 {
		closed.collecting = true
		go pool.collect()
	}
}

// notify makes those that wait for the collector look again; the mutex must be held.
func (closed *closed) notify() {
	close(closed.reduced)
	closed.reduced = make(chan struct{})
}

// isOver reports whether the memory of closed connections is over its limit; the mutex must be held.
func (pool *Pool) isOver() bool {
	return pool.closed.endingBytes+pool.closed.garbageBytes > pool.maxClosedBytes
}

// collect runs cycles of the garbage collector until little garbage is left.
func (pool *Pool) collect() {
	for again := true; again; {
		pool.mutex.Lock()
		before := pool.closed.garbageBytes
		pool.mutex.Unlock()
		runtime.GC()
		pool.mutex.Lock()
		closed := &pool.closed
		closed.garbageBytes -= before
		closed.markedBytes, closed.cycles = closed.garbageBytes, completedCycles()
		closed.notify()
		again = closed.garbageBytes > pool.maxClosedBytes/2
		closed.collecting = again
		pool.mutex.Unlock()
	}
}

// awaitCollection waits while the memory of closed connections is over its limit, and the connection, unless it is nil, is in the pool.
func (pool *Pool) awaitCollection(conn *Conn) {
	var timeout <-chan time.Time
	for {
		pool.mutex.Lock()
		_, found := pool.connections[conn]
		over, reduced := pool.isOver(), pool.closed.reduced
		pool.mutex.Unlock()
		if !over || conn != nil && !found {
			return
		}
		if timeout == nil {
			timeout = pool.clock.After(maxCollectionWait)
		}
		select {
		case <-reduced:
		case <-timeout:
			return
		}
	}
}

func completedCycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	if sample[0].Value.Kind() != metrics.KindUint64 {
		return 0
	}
	return sample[0].Value.Uint64()
}
