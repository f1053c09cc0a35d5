package fakes

import (
	"slices"
	"time"
)

// prefixCache holds the latest prompt prefixes and publishes its entries late
// and with gaps.
type prefixCache struct {
	size      int
	lag       time.Duration
	gapRatio  float64
	chance    *chance
	held      []uint64 // Least recently used first.
	pending   []prefixEvent
	published map[uint64]bool
}

type prefixEvent struct {
	at     time.Time
	prefix uint64
	held   bool
}

func newPrefixCache(config EngineConfig, chance *chance) *prefixCache {
	return &prefixCache{
		size:      config.CachePrefixes,
		lag:       config.CacheLag,
		gapRatio:  config.CacheGapRatio,
		chance:    chance,
		published: map[uint64]bool{},
	}
}

// use puts a prefix into the cache and reports whether it was there.
func (c *prefixCache) use(prefix uint64, now time.Time) bool {
	if c.size <= 0 {
		return false
	}
	place := slices.Index(c.held, prefix)
	if place >= 0 {
		c.held = append(slices.Delete(c.held, place, place+1), prefix)
		return true
	}
	if len(c.held) >= c.size {
		c.record(prefixEvent{at: now, prefix: c.held[0]})
		c.held = c.held[1:]
	}
	c.held = append(c.held, prefix)
	c.record(prefixEvent{at: now, prefix: prefix, held: true})
	return false
}

func (c *prefixCache) record(event prefixEvent) {
	if !c.chance.hit(c.gapRatio) {
		c.pending = append(c.pending, event)
	}
}

// shown returns the published entries in ascending order.
func (c *prefixCache) shown(now time.Time) []uint64 {
	for len(c.pending) > 0 && !c.pending[0].at.Add(c.lag).After(now) {
		c.apply(c.pending[0])
		c.pending = c.pending[1:]
	}
	shown := make([]uint64, 0, len(c.published))
	for prefix := range c.published {
		shown = append(shown, prefix)
	}
	slices.Sort(shown)
	return shown
}

func (c *prefixCache) apply(event prefixEvent) {
	if event.held {
		c.published[event.prefix] = true
		return
	}
	delete(c.published, event.prefix)
}
