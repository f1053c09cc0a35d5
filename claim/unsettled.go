package claim

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// unsettledBatch is an entry whose write failed with an unknown outcome.
type unsettledBatch struct {
	at     time.Time
	claims map[string]core.Digest
}
