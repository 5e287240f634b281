package pool

import (
	"catkincove/core"
)

const (
	// poolBlocks bounds the prefix index of a pool; an entry takes about 60 B, so a full index takes about 12 MB.
	poolBlocks = 200_000
	// targetBlocks and leastTargetBlocks bound the share of one target.
	targetBlocks      = 4096
	leastTargetBlocks = 128
	// mostVisits bounds the work of one lookup when a block is held by very many targets.
	mostVisits = 2048
	// gapsToClear is the number of gaps after which the index of a target is not worth keeping.
	gapsToClear = 2
	// eventsToRecover is the number of events without a gap that restore the confidence.
	eventsToRecover = 1000
)

// cache is what is known of the prompt blocks that one target holds.
type cache struct {
	blocks   map[uint64]int // position in recent
	recent   []uint64       // a ring of blocks in the order in which they were added
	next     int
	sequence int64
	gaps     int
	unbroken int
}

// confidence is halved by a gap in the events.
func (cache *cache) confidence() float32 {
	if cache.gaps > 0 {
		return 0.5
	}
	return 1
}

// index finds the targets that hold a block.
type index struct {
	holders map[uint64][]int32 // slots of the targets
	bound   int                // blocks per target
	covered []coverage
	round   uint32
}

// coverage is valid in the round of the lookup that set it.
type coverage struct {
	round  uint32
	blocks int32
}

func (index *index) setTargets(count int) {
	index.bound = min(targetBlocks, max(leastTargetBlocks, poolBlocks/max(1, count)))
	index.covered = make([]coverage, count)
	index.round = 0
}

func (index *index) add(target *target, block uint64) {
	cache := &target.cache
	if cache.blocks == nil {
		cache.blocks = map[uint64]int{}
	}
	if _, held := cache.blocks[block]; held {
		return
	}
	if len(cache.recent) < index.bound {
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

// removeAt drops the block at a position of the ring, unless that block was dropped or moved before.
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

// apply takes events of one target over.
func (index *index) apply(target *target, events []core.CacheEvent) {
	for _, event := range events {
		if event.Sequence <= target.cache.sequence && target.cache.sequence > 0 {
			continue
		}
		index.noteSequence(target, event.Sequence)
		if event.Stored {
			index.add(target, event.Block)
		} else {
			index.remove(target, event.Block)
		}
	}
}

func (index *index) noteSequence(target *target, sequence int64) {
	cache := &target.cache
	gap := cache.sequence > 0 && sequence != cache.sequence+1
	cache.sequence = sequence
	if !gap {
		cache.unbroken++
		if cache.unbroken >= eventsToRecover {
			cache.gaps = 0
		}
		return
	}
	cache.gaps++
	cache.unbroken = 0
	if cache.gaps >= gapsToClear {
		index.clear(target)
	}
}

// look counts for each target the leading blocks of the prefix that it holds; coveredBy returns the counts.
func (index *index) look(prefix []uint64) {
	index.round++
	visits := 0
	for i := len(prefix) - 1; i >= 0 && visits < mostVisits; i-- {
		holders := index.holders[prefix[i]]
		visits += len(holders) + 1
		for _, holder := range holders {
			covered := &index.covered[holder]
			if covered.round != index.round {
				*covered = coverage{index.round, int32(i + 1)}
			}
		}
	}
}

func (index *index) coveredBy(slot int) int {
	if covered := index.covered[slot]; covered.round == index.round {
		return int(covered.blocks)
	}
	return 0
}
