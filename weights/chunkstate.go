package weights

import "time"

// flight is one request under way.
type flight struct {
	source Source
	since  time.Time
}

// chunkState is what a Picker knows of one chunk.
type chunkState struct {
	stored   bool
	holders  int // Neighbours that are up and hold the chunk.
	seen     bool
	flights  []flight
	retryAt  time.Time
	refused  time.Time // When a peer refused first.
	refusals []refusal // One for each peer that refused.
	// pausedUntil is when a holder may be asked again after all refused.
	pausedUntil time.Time
	attempts    int // Failed requests to other regions.
}
