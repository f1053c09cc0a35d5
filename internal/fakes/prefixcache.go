package fakes

import (
	"slices"
	"time"
)

// prefixCache is an LRU cache of prompt prefixes, identified by
// endpoint.PromptPrefixHash. It publishes its entries after a delay and loses some of
// the events.
type prefixCache struct {
	capacity       int
	publishDelay   time.Duration
	eventLossRatio float64
	rand           *seededRand
	entries        []uint64 // Least recently used first.
	pending        []prefixEvent
	published      map[uint64]bool
}

type prefixEvent struct {
	at         time.Time
	prefixHash uint64
	added      bool
}

func newPrefixCache(config EngineConfig, rand *seededRand) *prefixCache {
	return &prefixCache{
		capacity:       config.CachePrefixes,
		publishDelay:   config.CacheLag,
		eventLossRatio: config.CacheEventLossRatio,
		rand:           rand,
		published:      map[uint64]bool{},
	}
}

// access puts a prefix into the cache and reports whether it was already there.
func (c *prefixCache) access(prefixHash uint64, now time.Time) bool {
	if c.capacity <= 0 {
		return false
	}
	index := slices.Index(c.entries, prefixHash)
	if index >= 0 {
		c.entries = append(slices.Delete(c.entries, index, index+1), prefixHash)
		return true
	}
	if len(c.entries) >= c.capacity {
		c.queueEvent(prefixEvent{at: now, prefixHash: c.entries[0]})
		c.entries = c.entries[1:]
	}
	c.entries = append(c.entries, prefixHash)
	c.queueEvent(prefixEvent{at: now, prefixHash: prefixHash, added: true})
	return false
}

func (c *prefixCache) queueEvent(event prefixEvent) {
	if !c.rand.chance(c.eventLossRatio) {
		c.pending = append(c.pending, event)
	}
}

// publishedPrefixes returns the published entries in ascending order.
func (c *prefixCache) publishedPrefixes(now time.Time) []uint64 {
	for len(c.pending) > 0 && !c.pending[0].at.Add(c.publishDelay).After(now) {
		c.apply(c.pending[0])
		c.pending = c.pending[1:]
	}
	prefixes := make([]uint64, 0, len(c.published))
	for prefix := range c.published {
		prefixes = append(prefixes, prefix)
	}
	slices.Sort(prefixes)
	return prefixes
}

func (c *prefixCache) apply(event prefixEvent) {
	if event.added {
		c.published[event.prefixHash] = true
		return
	}
	delete(c.published, event.prefixHash)
}
