package weights

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// refusal is the backoff from a peer that refused a chunk.
type refusal struct {
	peer    core.InstanceID
	backoff time.Duration
	retryAt time.Time
}
