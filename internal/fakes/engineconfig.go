package fakes

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// EngineConfig says how an engine behaves. Ratios are from 0 to 1.
type EngineConfig struct {
	Slots int
	// FirstToken is the time from slot to first token; a quarter of it with
	// a cached prefix, none with an imported cache.
	FirstToken time.Duration
	// PerToken is the time between tokens.
	PerToken time.Duration
	// OutputTokens is the length of an answer, 0 for as many as asked for.
	OutputTokens int
	// Load is the time that loading a model takes.
	Load time.Duration
	// Restart is the time after a crash during which calls get 503.
	Restart time.Duration
	// ChecksFencing makes the engine refuse orders with an old number.
	ChecksFencing bool
	// StatusLag delays the published load.
	StatusLag time.Duration
	// CacheLag delays the published cache entries, CacheGapRatio of their
	// events are never published.
	CacheLag      time.Duration
	CacheGapRatio float64
	// CachePrefixes is the number of prompt prefixes that the cache holds.
	CachePrefixes int
	// ForeignRatio is the part of the tokens preceded by an event of
	// another attempt.
	ForeignRatio float64
	Seed         uint64
	// ChunkDigests decodes a manifest.
	ChunkDigests func(manifest []byte) ([]core.Digest, error)
	Clock        Clock
	Sleep        Sleep
}
