package agent

import (
	"sync"

	"github.com/snipestep/snipestep/core"
)

// fenceGuard rejects fencing numbers lower than the highest one seen.
type fenceGuard struct {
	mu      sync.Mutex
	highest core.Fence
}

// admit records a fencing number, or returns *FenceError for a stale one.
func (f *fenceGuard) admit(fence core.Fence) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence < f.highest {
		return &FenceError{Got: fence, Highest: f.highest}
	}
	f.highest = fence
	return nil
}

// observe records the highest fencing number that the engine has seen: it outlives a
// restart of the agent.
func (f *fenceGuard) observe(fence core.Fence) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, fence)
}

// highestSeen returns the highest fencing number seen.
func (f *fenceGuard) highestSeen() core.Fence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}
