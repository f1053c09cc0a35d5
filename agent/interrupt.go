package agent

import (
	"context"
	"sync"
)

// interrupt ends the endpoint call of one job. A request that comes between
// the start of the job and that of its endpoint call is kept.
type interrupt struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc // Of the running endpoint call.
	cause  error                   // Asked for before that call began.
}

// request ends the running endpoint call, or the next one to begin.
func (i *interrupt) request(cause error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cancel == nil {
		i.cause = cause
		return
	}
	i.cancel(cause)
}

// begin notes the endpoint call that requests end from now on.
func (i *interrupt) begin(cancel context.CancelCauseFunc) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = cancel
	if i.cause != nil {
		cancel(i.cause)
		i.cause = nil
	}
}

// end notes that no endpoint call runs.
func (i *interrupt) end() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cancel = nil
}
