package fakes

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// EngineConfig sets the behaviour of an Engine. Ratios are from 0 to 1.
type EngineConfig struct {
	Slots int
	// FirstTokenDelay is the time from the slot to the first token; a quarter
	// of it with a cached prefix, none with an imported cache.
	FirstTokenDelay time.Duration
	// TokenInterval is the time between tokens.
	TokenInterval time.Duration
	// OutputTokens limits the length of an answer; 0 gives as many tokens as
	// requested.
	OutputTokens int
	// LoadDuration is the time that loading a model takes.
	LoadDuration time.Duration
	// RestartDuration is the time after a crash during which calls get 503.
	RestartDuration time.Duration
	// ChecksFencing makes the engine refuse orders with a stale fencing
	// number.
	ChecksFencing bool
	// StatusLag is the delay of the published load.
	StatusLag time.Duration
	// CacheLag is the delay of the published cache entries.
	// CacheEventLossRatio is the share of their events that are never
	// published.
	CacheLag            time.Duration
	CacheEventLossRatio float64
	// CachePrefixes is the capacity of the cache in prompt prefixes.
	CachePrefixes int
	// AttemptMismatchRatio is the share of tokens that follow an event of
	// another attempt.
	AttemptMismatchRatio float64
	Seed                 uint64
	// ChunkDigests decodes a manifest.
	ChunkDigests func(manifest []byte) ([]core.Digest, error)
	Clock        Clock
	Sleep        Sleep
}
