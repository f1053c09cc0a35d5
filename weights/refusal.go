package weights

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// refusal keeps a chunk from being requested from a peer for a while.
type refusal struct {
	peer  core.InstanceID
	pause time.Duration
	until time.Time
}
