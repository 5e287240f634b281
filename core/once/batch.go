package once

import (
	"context"
	"sync"
	"time"

	"catkincove/core"
)

const (
	maxBatchTxns  = 64                   // transactions in one store call
	maxBatchBytes = core.MaxStoreValue   // total size of the values in one store call, unless it has a single transaction
	maxBatchDelay = 3 * time.Millisecond // longest time that a transaction waits for others
)

// batcher combines concurrent transactions into one store call; the zero value is ready to use.
type batcher struct {
	mutex      sync.Mutex
	queue      []pending
	bytes      int
	generation int // number of batches sent, so that the timer of an earlier batch does nothing
}

type pending struct {
	txn       core.Txn
	responses chan<- response
}

type response struct {
	result core.TxnResult
	err    error
}

// commit queues a transaction; the returned channel receives exactly one response.
func (batcher *batcher) commit(store core.Store, clock core.Clock, txn core.Txn) <-chan response {
	responses := make(chan response, 1)
	batcher.mutex.Lock()
	defer batcher.mutex.Unlock()
	if !batcher.fits(txn) {
		go sendBatch(store, batcher.takeBatch())
	}
	batcher.queue = append(batcher.queue, pending{txn, responses})
	batcher.bytes += valueBytes(txn)
	switch len(batcher.queue) {
	case 1:
		generation := batcher.generation
		timer := clock.After(maxBatchDelay)
		go func() {
			<-timer
			batcher.flush(store, generation)
		}()
	case maxBatchTxns:
		go sendBatch(store, batcher.takeBatch())
	}
	return responses
}

// fits reports whether the transaction may join the queued batch; the store rejects a call that writes a key twice.
func (batcher *batcher) fits(txn core.Txn) bool {
	if len(batcher.queue) == 0 {
		return true
	}
	for _, pending := range batcher.queue {
		if pending.txn.Compares[0].Key == txn.Compares[0].Key {
			return false
		}
	}
	return batcher.bytes+valueBytes(txn) <= maxBatchBytes
}

func valueBytes(txn core.Txn) int {
	total := 0
	for _, put := range txn.Puts {
		total += len(put.Value)
	}
	return total
}

func (batcher *batcher) flush(store core.Store, generation int) {
	batcher.mutex.Lock()
	if batcher.generation != generation {
		batcher.mutex.Unlock()
		return
	}
	batch := batcher.takeBatch()
	batcher.mutex.Unlock()
	sendBatch(store, batch)
}

// takeBatch empties the queue and returns its transactions; the caller must hold the mutex.
func (batcher *batcher) takeBatch() []pending {
	batch := batcher.queue
	batcher.queue = nil
	batcher.bytes = 0
	batcher.generation++
	return batch
}

// sendBatch commits the batch and sends each transaction its response.
//
// It uses its own timeout, because the transactions belong to callers whose contexts end at different times.
func sendBatch(store core.Store, batch []pending) {
	ctx, cancel := context.WithTimeout(context.Background(), core.DefaultStoreRTT)
	defer cancel()
	txns := make([]core.Txn, 0, len(batch))
	for _, pending := range batch {
		txns = append(txns, pending.txn)
	}
	results, err := store.CommitAll(ctx, txns)
	for i, pending := range batch {
		if err != nil {
			pending.responses <- response{err: err}
			continue
		}
		pending.responses <- response{result: results[i]}
	}
}
