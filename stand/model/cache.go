package model

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"catkincove/stand/wire"
)

const maxEvents = 8192

// cache is the LRU prefix cache of one target with its event log; it is safe for concurrent use.
type cache struct {
	settings Settings
	mutex    sync.Mutex
	blocks   map[uint64]*list.Element
	recent   list.List // block hashes, most recently used first
	events   []cacheEvent
	sequence int64
}

type cacheEvent struct {
	sequence int64
	at       time.Time
	block    uint64
	stored   bool
}

// use returns how many leading blocks are cached, and stores the others.
func (cache *cache) use(blocks []uint64) int {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cached := 0
	for cached < len(blocks) && cache.blocks[blocks[cached]] != nil {
		cache.recent.MoveToFront(cache.blocks[blocks[cached]])
		cached++
	}
	for _, block := range blocks[cached:] {
		cache.store(block)
	}
	return cached
}

func (cache *cache) store(block uint64) {
	if cache.blocks == nil {
		cache.blocks = map[uint64]*list.Element{}
	}
	if cache.blocks[block] != nil {
		return
	}
	cache.blocks[block] = cache.recent.PushFront(block)
	cache.logEvent(block, true)
	for cache.recent.Len() > cache.settings.CacheBlocks {
		oldest := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, oldest)
		cache.logEvent(oldest, false)
	}
}

// logEvent appends an event with the next sequence number; every EventLossInterval-th event is lost and leaves a gap.
func (cache *cache) logEvent(block uint64, stored bool) {
	cache.sequence++
	if every := int64(cache.settings.EventLossInterval); every > 0 && cache.sequence%every == 0 {
		return
	}
	cache.events = append(cache.events, cacheEvent{cache.sequence, time.Now(), block, stored})
	if len(cache.events) > maxEvents {
		cache.events = cache.events[len(cache.events)-maxEvents/2:]
	}
}

// clear removes all blocks and events, as a crash does; sequence numbers continue.
func (cache *cache) clear() {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cache.blocks = nil
	cache.recent.Init()
	cache.events = nil
}

// eventsAfter returns the events after a sequence number that are at least CacheLag old.
func (cache *cache) eventsAfter(sequence int64) []wire.Object {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	reported := []wire.Object{}
	for _, event := range cache.events {
		if event.sequence > sequence && time.Since(event.at) >= cache.settings.CacheLag {
			reported = append(reported, wire.Object{
				"sequence": event.sequence, "block": fmt.Sprintf("%016x", event.block), "stored": event.stored,
			})
		}
	}
	return reported
}
