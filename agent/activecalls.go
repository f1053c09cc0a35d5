package agent

import (
	"context"
	"sync"
)

// activeCalls counts the call streams whose final event is not delivered yet.
type activeCalls struct {
	mu          sync.Mutex // Guards the fields below.
	count       int
	idleWaiters []chan struct{} // Closed once count is 0.
}

func (a *activeCalls) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

func (a *activeCalls) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	if a.count > 0 {
		return
	}
	for _, waiter := range a.idleWaiters {
		close(waiter)
	}
	a.idleWaiters = nil
}

// waitIdle blocks until no stream is active or ctx ends.
func (a *activeCalls) waitIdle(ctx context.Context) {
	a.mu.Lock()
	if a.count == 0 {
		a.mu.Unlock()
		return
	}
	idle := make(chan struct{})
	a.idleWaiters = append(a.idleWaiters, idle)
	a.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}
