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

// recordAnswer records that an endpoint has answered a request whole.
func (t *partTracker) recordAnswer(req *request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.history.RecordAnswer(req.partFingerprints)
}

// isAnsweredLately reports whether requests with a part were answered lately.
func (t *partTracker) isAnsweredLately(part uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.history.IsAnsweredLately(part)
}

// chance returns routing.PartHistory.Chance, and whether the part is known; 0 if no part is.
func (t *partTracker) chance(part uint64, crashes int) (chance float64, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.history.IsEmpty() {
		return 0, false
	}
	return t.history.Chance(part, crashes), t.history.Knows(part)
}

// recordCrash records a crash before a request was answered; late says that its answer had begun. It
// returns the parts that may be to blame, and whether that suspicion is weak.
func (t *partTracker) recordCrash(req *request, late bool) (suspects []uint64, weak bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.history.RecordCrash(req.partFingerprints)
	if late {
		return t.history.LateSuspects(req.partFingerprints), true
	}
	return t.history.Suspects(req.partFingerprints)
}
