package agent

import (
	"context"
	"sync"
)

// activeCalls counts the call streams that have not got their final event
// yet.
type activeCalls struct {
	mu   sync.Mutex // Guards the fields below.
	n    int
	none []chan struct{} // Closed once n is 0.
}

func (a *activeCalls) begin() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n++
}

func (a *activeCalls) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n--
	if a.n > 0 {
		return
	}
	for _, c := range a.none {
		close(c)
	}
	a.none = nil
}

// wait blocks until no stream is active or ctx ends.
func (a *activeCalls) wait(ctx context.Context) {
	a.mu.Lock()
	if a.n == 0 {
		a.mu.Unlock()
		return
	}
	none := make(chan struct{})
	a.none = append(a.none, none)
	a.mu.Unlock()
	select {
	case <-none:
	case <-ctx.Done():
	}
}
