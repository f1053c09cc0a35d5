package agent

import (
	"context"
	"sync"
)

// interrupt cancels the endpoint call of one job. A request that arrives before
// the endpoint call begins applies when it begins.
type interrupt struct {
	mu           sync.Mutex
	cancel       context.CancelCauseFunc // Of the running endpoint call.
	pendingCause error                   // Requested while no call was running.
}

// request cancels the running endpoint call, or the next one to begin.
func (i *interrupt) request(cause error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel == nil {
		i.pendingCause = cause
		return
	}
	i.cancel(cause)
}

// begin registers the endpoint call that later requests cancel.
func (i *interrupt) begin(cancel context.CancelCauseFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
	if i.pendingCause != nil {
		cancel(i.pendingCause)
		i.pendingCause = nil
	}
}

// end records that no endpoint call is running.
func (i *interrupt) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = nil
}
