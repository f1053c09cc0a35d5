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

// heldRestore is a claim that the store lost and that is written again.
type heldRestore struct {
	key  core.Digest
	held *heldKey
}
