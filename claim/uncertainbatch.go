package claim

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// uncertainBatch is an entry whose write failed with an unknown outcome.
type uncertainBatch struct {
	failedAt     time.Time
	keyByClaimID map[string]core.Digest
}
