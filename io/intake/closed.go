package intake

import (
	"runtime"
	"runtime/metrics"
	"time"
)

// maxCollectionWait bounds how long the reads of one head together, and all Accepts in one period of excess, wait for the garbage collector. A head takes
// many reads and Accept is serial, so a limit on each wait alone would add up to more than the server's time limit for a head.
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

	acceptDeadline time.Time // end of the waits of Accept until the memory has been within its limit again; zero if none has waited
}

// ending counts the memory of a connection that was removed from the pool; the mutex must be held.
func (pool *Pool) ending(conn *Conn) {
	conn.endingHead = max(0, conn.headBytes-connectionBytes-conn.unparsed)
	conn.endingBytes = conn.headBytes + conn.bodyBytes - conn.endingHead - conn.unparsed
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

// discardHead counts the head of a connection that stays open, of which no request is in its handler, as garbage; the mutex must be held.
func (pool *Pool) discardHead(conn *Conn) {
	unfinished, whole := conn.headBytes-connectionBytes, conn.bodyBytes // the server also reports a head that it gives up as whole
	pool.charge(conn, -unfinished, true)
	pool.charge(conn, -whole, false)
	pool.closed.endingBytes += unfinished + whole
	pool.discard(unfinished + whole)
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
		pool.free(closed.markedBytes, cycles)
	}
	if closed.garbageBytes > pool.maxClosedBytes/2 {
		closed.collecting = true
		go pool.collect()
	}
}

// free takes garbage that was collected out of the count, and notes how many cycles have ended; the mutex must be held.
func (pool *Pool) free(bytes int64, cycles uint64) {
	closed := &pool.closed
	closed.garbageBytes -= bytes
	closed.markedBytes, closed.cycles = closed.garbageBytes, cycles
	if !pool.isOver() {
		closed.acceptDeadline = time.Time{}
	}
	closed.notify()
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
		pool.free(before, completedCycles())
		again = pool.closed.garbageBytes > pool.maxClosedBytes/2
		pool.closed.collecting = again
		pool.mutex.Unlock()
	}
}

// awaitBeforeAccept waits for the collector until the deadline of the present period of excess.
func (pool *Pool) awaitBeforeAccept() {
	pool.mutex.Lock()
	over, deadline := pool.isOver(), pool.closed.acceptDeadline
	if over && deadline.IsZero() {
		deadline = pool.clock.Now().Add(maxCollectionWait)
		pool.closed.acceptDeadline = deadline
	}
	pool.mutex.Unlock()
	if over {
		pool.awaitCollection(nil, deadline)
	}
}

// awaitBeforeParsing waits for the collector for what earlier reads of the same head have left of maxCollectionWait.
func (pool *Pool) awaitBeforeParsing(conn *Conn) {
	pool.mutex.Lock()
	begin := pool.clock.Now()
	deadline := begin.Add(maxCollectionWait - conn.waited)
	pool.mutex.Unlock()
	pool.awaitCollection(conn, deadline)
	pool.mutex.Lock()
	conn.waited += pool.clock.Now().Sub(begin)
	pool.mutex.Unlock()
}

// awaitCollection waits until the deadline at most while the memory of closed connections is over its limit, and the connection, unless it is nil, is in
// the pool.
func (pool *Pool) awaitCollection(conn *Conn, deadline time.Time) {
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
			left := deadline.Sub(pool.clock.Now())
			if left <= 0 {
				return
			}
			timeout = pool.clock.After(left)
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
