package pool

import (
	"catkincove/core"
)

const (
	// maxPoolBlocks bounds the prefix index of a pool; an entry takes about 60 B, so a full index takes about 12 MB.
	maxPoolBlocks = 200_000
	// maxTargetBlocks and minTargetBlocks bound the indexed blocks of one target.
	maxTargetBlocks = 4096
	minTargetBlocks = 128
	// maxVisits bounds the holders that one lookup visits, for blocks that very many targets hold.
	maxVisits = 2048
	// gapsToClear is the number of sequence gaps after which the index of a target is too unreliable to keep.
	gapsToClear = 2
	// eventsToRecover is the number of consecutive events without a gap that restore full confidence.
	eventsToRecover = 1000
)

// cache tracks the prompt blocks that one target holds, as far as its events and completions show.
type cache struct {
	blocks         map[uint64]int // position of each block in recent
	recent         []uint64       // ring buffer of blocks in the order in which they were added
	next           int
	sequence       int64
	gaps           int
	eventsSinceGap int
}

// confidence returns the weight of prefix matches: 1, or 0.5 after a gap in the events.
func (cache *cache) confidence() float32 {
	if cache.gaps > 0 {
		return 0.5
	}
	return 1
}

// index maps prompt blocks to the targets that hold them.
type index struct {
	holders         map[uint64][]int32 // slots of the targets that hold each block
	maxTargetBlocks int                // maximum for each target
	matches         []prefixMatch
	lookups         uint32
}

// prefixMatch is the number of leading blocks that a target holds; it is valid only for the lookup that set it.
type prefixMatch struct {
	lookup uint32
	blocks int32
}

func (index *index) setTargets(count int) {
	index.maxTargetBlocks = min(maxTargetBlocks, max(minTargetBlocks, maxPoolBlocks/max(1, count)))
	index.matches = make([]prefixMatch, count)
	index.lookups = 0
}

func (index *index) add(target *target, block uint64) {
	cache := &target.cache
	if cache.blocks == nil {
		cache.blocks = map[uint64]int{}
	}
	if _, held := cache.blocks[block]; held {
		return
	}
	if len(cache.recent) < index.maxTargetBlocks {
		cache.recent = append(cache.recent, 0)
		cache.next = len(cache.recent) - 1
	} else {
		cache.next = (cache.next + 1) % len(cache.recent)
		index.removeAt(target, cache.next)
	}
	cache.recent[cache.next] = block
	cache.blocks[block] = cache.next
	index.holders[block] = append(index.holders[block], target.slot)
}

// removeAt removes the block at a position of the ring, unless it was removed or moved before.
func (index *index) removeAt(target *target, position int) {
	block := target.cache.recent[position]
	if held, found := target.cache.blocks[block]; found && held == position {
		index.remove(target, block)
	}
}

func (index *index) remove(target *target, block uint64) {
	if _, held := target.cache.blocks[block]; !held {
		return
	}
	delete(target.cache.blocks, block)
	holders := index.holders[block]
	for i := range holders {
		if holders[i] == target.slot {
			holders[i] = holders[len(holders)-1]
			holders = holders[:len(holders)-1]
			break
		}
	}
	if len(holders) == 0 {
		delete(index.holders, block)
		return
	}
	index.holders[block] = holders
}

func (index *index) clear(target *target) {
	for block := range target.cache.blocks {
		index.remove(target, block)
	}
	target.cache = cache{sequence: target.cache.sequence}
}

// apply applies cache events of one target, in order; events that were applied before are skipped.
func (index *index) apply(target *target, events []core.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= target.cache.sequence && target.cache.sequence > 0 {
			continue
		}
		index.recordSequence(target, event.Sequence)
		if event.Stored {
			index.add(target, event.Block)
		} else {
			index.remove(target, event.Block)
		}
	}
}

func (index *index) recordSequence(target *target, sequence int64) {
	cache := &target.cache
	gap := cache.sequence > 0 && sequence != cache.sequence+1
	cache.sequence = sequence
	if !gap {
		cache.eventsSinceGap++
		if cache.eventsSinceGap >= eventsToRecover {
			cache.gaps = 0
		}
		return
	}
	cache.gaps++
	cache.eventsSinceGap = 0
	if cache.gaps >= gapsToClear {
		index.clear(target)
	}
}

// match finds for each target how many leading blocks of the prefix it holds; matchedBlocks returns the counts.
func (index *index) match(prefix []uint64) {
	index.lookups++
	visits := 0
	for i := len(prefix) - 1; i >= 0 && visits < maxVisits; i-- {
		holders := index.holders[prefix[i]]
		visits += len(holders) + 1
		for _, holder := range holders {
			matched := &index.matches[holder]
			if matched.lookup != index.lookups {
				*matched = prefixMatch{index.lookups, int32(i + 1)}
			}
		}
	}
}

func (index *index) matchedBlocks(slot int) int {
	if matched := index.matches[slot]; matched.lookup == index.lookups {
		return int(matched.blocks)
	}
	return 0
}
