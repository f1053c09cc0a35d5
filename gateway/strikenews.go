package gateway

import (
	"sync"

	"github.com/snipestep/snipestep/loadreport"
)

// maxPendingStrikes bounds the strikes that wait to be sent; more are left to the
// snapshots.
const maxPendingStrikes = 8 * loadreport.MaxStrikes

// strikeNews holds strikes that other entries do not know yet. It is safe for concurrent
// use.
type strikeNews struct {
	// ready has a value when strikes wait.
	ready chan struct{}

	mu      sync.Mutex
	pending loadreport.Strikes
}

func newStrikeNews() *strikeNews {
	return &strikeNews{ready: make(chan struct{}, 1)}
}

func (n *strikeNews) add(strikes loadreport.Strikes) {
	n.mu.Lock()
	defer n.mu.Unlock()
	room := maxPendingStrikes - len(n.pending)
	n.pending = append(n.pending, strikes[:min(len(strikes), room)]...)
	select {
	case n.ready <- struct{}{}:
	default: // It is signalled already.
	}
}

// take returns the strikes that wait, and empties the list.
func (n *strikeNews) take() loadreport.Strikes {
	n.mu.Lock()
	defer n.mu.Unlock()
	pending := n.pending
	n.pending = nil
	return pending
}
