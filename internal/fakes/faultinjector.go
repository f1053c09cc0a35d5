package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snipestep/snipestep/backing"
)

// FaultInjector makes a service fail or respond slowly. It is safe for concurrent
// use.
type FaultInjector struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	sleep Sleep
}

// SetDown makes the service refuse every call with 503.
func (h *FaultInjector) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Down reports whether the service refuses calls.
func (h *FaultInjector) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// SetDelay makes every call wait before it takes effect. A write takes effect
// even if its caller has disconnected by then.
func (h *FaultInjector) SetDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

// admit waits for the delay. If the service is down, it writes the error response
// and returns false.
func (h *FaultInjector) admit(w http.ResponseWriter, r *http.Request) bool {
	h.waitDelay(context.WithoutCancel(r.Context()))
	if h.Down() {
		writeError(w, http.StatusServiceUnavailable, backing.CodeUnavailable)
		return false
	}
	return true
}

func (h *FaultInjector) waitDelay(ctx context.Context) {
	h.mu.Lock()
	delay := h.delay
	sleep := h.sleep.orSystem()
	h.mu.Unlock()
	_ = sleep(ctx, delay)
}
