package claim

import "time"

// appliedEntry is a log entry whose records are in the state.
type appliedEntry struct {
	sequence  uint64
	version   uint64
	batchID   string
	draftedAt time.Time // By its writer's wall clock.
	appliedAt time.Time // By this owner's OwnerConfig.BootNow.
}
