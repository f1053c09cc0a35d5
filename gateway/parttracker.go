package gateway

import (
	"sync"

	"github.com/snipestep/snipestep/routing"
)

// partTracker is a routing.PartHistory of one service that is safe for concurrent use.
type partTracker struct {
	mu      sync.Mutex
	history *routing.PartHistory
}

func newPartTracker() *partTracker {
	return &partTracker{history: routing.NewPartHistory()}
}

// recordBegin records that an endpoint began to answer a request.
func (t *partTracker) recordBegin(req *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.RecordBegin(req.partFingerprints)
}

// hasBegunLately reports whether requests with a part have begun lately.
func (t *partTracker) hasBegunLately(part uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.HasBegunLately(part)
}

// suspects returns the parts of a request that may be to blame for a crash.
func (t *partTracker) suspects(req *request) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.Suspects(req.partFingerprints)
}
