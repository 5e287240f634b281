package model

import (
	"container/list"
	"fmt"
	"sync"
	"time"

	"catkincove/stand/wire"
)

const maxEvents = 8192

// cache is the prompt prefix cache of one target with its event log.
type cache struct {
	settings Settings
	mutex    sync.Mutex
	blocks   map[uint64]*list.Element
	recent   list.List // most recently used first
	events   []cacheEvent
	sequence int64
}

type cacheEvent struct {
	sequence int64
	at       time.Time
	block    uint64
	stored   bool
}

// use returns how many leading blocks are cached and stores the rest.
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
	cache.log(block, true)
	for cache.recent.Len() > cache.settings.CacheBlocks {
		oldest := cache.recent.Remove(cache.recent.Back()).(uint64)
		delete(cache.blocks, oldest)
		cache.log(oldest, false)
	}
}

// log numbers an event; every GapEvery-th one is lost.
func (cache *cache) log(block uint64, stored bool) {
	cache.sequence++
	if every := int64(cache.settings.GapEvery); every > 0 && cache.sequence%every == 0 {
		return
	}
	cache.events = append(cache.events, cacheEvent{cache.sequence, time.Now(), block, stored})
	if len(cache.events) > maxEvents {
		cache.events = cache.events[len(cache.events)-maxEvents/2:]
	}
}

// clear forgets the blocks, as after a crash; the numbering goes on.
func (cache *cache) clear() {
	cache.mutex.Lock()
	defer cache.mutex.Unlock()
	cache.blocks = nil
	cache.recent.Init()
	cache.events = nil
}

// after returns the events after the sequence that are old enough to be reported.
func (cache *cache) after(sequence int64) []wire.Object {
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
