package agent

import (
	"sync"

	"github.com/snipestep/snipestep/core"
)

// fences keeps the highest fencing number seen.
type fences struct {
	mu      sync.Mutex
	highest core.Fence
}

// admit takes a fencing number, or returns *FenceError for an old one.
func (f *fences) admit(fence core.Fence) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fence < f.highest {
		return &FenceError{Got: fence, Highest: f.highest}
	}
	f.highest = fence
	return nil
}

// current returns the highest fencing number seen.
func (f *fences) current() core.Fence {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}
