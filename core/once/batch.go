package once

import (
	"context"
	"sync"
	"time"

	"catkincove/core"
)

const (
	batchLimit = 64                   // transactions in one call
	batchBytes = core.MaxStoreValue   // of the values in one call, unless it has one transaction only
	batchWait  = 3 * time.Millisecond // longest wait of a transaction for others
)

// batcher commits transactions that coincide in one store call; the zero value is ready to use.
type batcher struct {
	mutex   sync.Mutex
	waiting []pending
	bytes   int
	round   int // counts flushes, so that the timer of a batch already committed does nothing
}

type pending struct {
	txn    core.Txn
	answer chan<- answer
}

type answer struct {
	result core.TxnResult
	err    error
}

// commit queues a transaction; the channel receives exactly one answer.
func (batcher *batcher) commit(store core.Store, clock core.Clock, txn core.Txn) <-chan answer {
	channel := make(chan answer, 1)
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if !batcher.fits(txn) {
		go send(store, batcher.take())
	}
	batcher.waiting = append(batcher.waiting, pending{txn, channel})
	batcher.bytes += size(txn)
	switch len(batcher.waiting) {
	case 1:
		round := batcher.round
		timer := clock.After(batchWait)
		go func() {
			<-timer
			batcher.flush(store, round)
		}()
	case batchLimit:
		go send(store, batcher.take())
	}
	return channel
}

// fits reports whether the transaction may join the batch; the store refuses a call that writes a key twice.
func (batcher *batcher) fits(txn core.Txn) bool {
	if len(batcher.waiting) == 0 {
		return true
	}
	for _, pending := range batcher.waiting {
		if pending.txn.Compares[0].Key == txn.Compares[0].Key {
			return false
		}
	}
	return batcher.bytes+size(txn) <= batchBytes
}

func size(txn core.Txn) int {
	total := 0
	for _, put := range txn.Puts {
		total += len(put.Value)
	}
	return total
}

func (batcher *batcher) flush(store core.Store, round int) {
	batcher.mutex.Lock()
	if batcher.round != round {
		batcher.mutex.Unlock()
		return
	}
	batch := batcher.take()
	batcher.mutex.Unlock()
	send(store, batch)
}

// take empties the queue; the caller holds the mutex.
func (batcher *batcher) take() []pending {
	batch := batcher.waiting
	batcher.waiting = nil
	batcher.bytes = 0
	batcher.round++
	return batch
}

// send has its own deadline: the batch belongs to many callers, whose contexts end at different times.
func send(store core.Store, batch []pending) {
	ctx, cancel := context.WithTimeout(context.Background(), core.DefaultStoreRTT)
	defer cancel()
	txns := make([]core.Txn, 0, len(batch))
	for _, pending := range batch {
		txns = append(txns, pending.txn)
	}
	results, err := store.CommitAll(ctx, txns)
	for i, pending := range batch {
		if err != nil {
			pending.answer <- answer{err: err}
			continue
		}
		pending.answer <- answer{result: results[i]}
	}
}
