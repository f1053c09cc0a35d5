package fakes

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/snipestep/snipestep/backing"
)

// Health makes a service fail or answer slowly. It is safe for concurrent
// use.
type Health struct {
	mu    sync.Mutex
	down  bool
	delay time.Duration
	sleep Sleep
}

// SetDown makes the service refuse every call with 503.
func (h *Health) SetDown(down bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down = down
}

// Down reports whether the service refuses calls.
func (h *Health) Down() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// SetDelay makes every call wait before it takes effect. A write takes effect
// also when its caller has gone by then.
func (h *Health) SetDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

// admit waits for the delay. It answers and returns false when the service
// is down.
func (h *Health) admit(w http.ResponseWriter, r *http.Request) bool {
	h.wait(context.WithoutCancel(r.Context()))
	if h.Down() {
		refuse(w, http.StatusServiceUnavailable, backing.CodeUnavailable)
		return false
	}
	return true
}

func (h *Health) wait(ctx context.Context) {
	h.mu.Lock()
	delay := h.delay
	pause := h.sleep.orSystem()
	h.mu.Unlock()
	_ = pause(ctx, delay)
}
