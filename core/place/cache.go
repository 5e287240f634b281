package place

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"catkincove/core"
)

const (
	cacheShare       = 0.7     // share of an engine's memory that holds prompt parts; requests need the rest
	maxTrackedParts  = 1024    // parts of one prompt whose place in caches is known; those behind them count as uncached
	maxServiceParts  = 1 << 17 // cached parts of all engines of a service, about 100 bytes each
	minEngineParts   = 512     // cached parts of one engine at least, however many engines there are
	maxEngineParts   = 4096    // cached parts of one engine at most
	maxCountedTokens = 1 << 40 // tokens that a prompt counts at most, so that sums of them do not overflow
)

// prefix is a prompt as caches hold it: each part is cached only behind all parts before it. It keeps nothing of the caller's text.
type prefix struct {
	parts []prefixPart
	total int    // tokens of all parts, also of those that are not tracked
	key   uint64 // hash of the ID of the longest shared part
	ok    bool   // there is a shared part
}

type prefixPart struct {
	id     uint64 // hash of its ID
	tokens int
}

// newPrefix returns the prefix of a prompt, whose last part no other prompt shares.
func newPrefix(parts []core.PromptPart) prefix {
	tracked := parts[:min(len(parts), maxTrackedParts)]
	prefix := prefix{parts: make([]prefixPart, len(tracked))}
	for i, part := range parts {
		tokens := min(max(part.Tokens, 0), maxCountedTokens-prefix.total)
		prefix.total += tokens
		if i < len(tracked) {
			prefix.parts[i] = prefixPart{id: xxhash.Sum64String(part.ID), tokens: tokens}
		}
	}
	if last := min(len(parts)-2, maxTrackedParts-1); last >= 0 {
		prefix.key, prefix.ok = prefix.parts[last].id, true
	}
	return prefix
}

// shared returns the parts that other prompts share.
func (prefix prefix) shared() []prefixPart { return prefix.parts[:max(len(prefix.parts)-1, 0)] }

// cache estimates which parts an engine caches; newCache creates one.
type cache struct {
	parts  *simplelru.LRU[uint64, int] // tokens of each part
	tokens int                         // of all parts
}

func newCache() *cache {
	cache := &cache{}
	parts, err := simplelru.NewLRU(maxEngineParts, func(_ uint64, tokens int) { cache.tokens -= tokens })
	if err != nil {
		panic(err) // the size is positive
	}
	cache.parts = parts
	return cache
}

// uncachedTokens returns the tokens that the engine has to prefill. It stops at the first part that is not cached.
func (cache *cache) uncachedTokens(prefix prefix) int {
	tokens := prefix.total
	for _, part := range prefix.parts {
		if !cache.parts.Contains(part.id) {
			break
		}
		tokens -= part.tokens
	}
	return tokens
}

// add makes the parts the most recently used, the first one most of all, and removes the least recently used ones, as engines do, until the rest fit the limits.
func (cache *cache) add(parts []prefixPart, maxTokens, maxParts int) {
	for i := len(parts) - 1; i >= 0; i-- {
		if known, found := cache.parts.Peek(parts[i].id); found {
			cache.tokens -= known
		}
		cache.parts.Add(parts[i].id, parts[i].tokens)
		cache.tokens += parts[i].tokens
	}
	for cache.parts.Len() > 1 && (cache.tokens > maxTokens || cache.parts.Len() > maxParts) {
		cache.parts.RemoveOldest()
	}
}

// maxParts returns how many cached parts are remembered of each of so many engines.
func maxParts(engines int) int {
	return min(max(maxServiceParts/max(engines, 1), minEngineParts), maxEngineParts)
}
