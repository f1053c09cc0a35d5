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

// recordCrash records a crash before the answer to a request began. It returns the parts that may be
// to blame, and whether that suspicion is weak.
func (t *partTracker) recordCrash(req *request) (suspects []uint64, weak bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspects, weak = t.history.Suspects(req.partFingerprints)
	t.history.RecordCrash(req.partFingerprints)
	return suspects, weak
}
