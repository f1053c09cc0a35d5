package weights

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

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
	refusals int
	refuser  core.InstanceID // Peer that refused last.
	attempts int             // Failed requests to other regions.
}
