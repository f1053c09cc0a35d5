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
func (f *FaultInjector) SetDown(down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down = down
}

// Down reports whether the service refuses calls.
func (f *FaultInjector) Down() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down
}

// SetDelay makes every call wait before it takes effect. A write takes effect
// even if its caller has disconnected by then.
func (f *FaultInjector) SetDelay(delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = delay
}

// admit waits for the delay. If the service is down, it writes the error response
// and returns false.
func (f *FaultInjector) admit(w http.ResponseWriter, r *http.Request) bool {
	f.waitDelay(context.WithoutCancel(r.Context()))
	if f.Down() {
		writeError(w, http.StatusServiceUnavailable, backing.CodeUnavailable)
		return false
	}
	return true
}

func (f *FaultInjector) waitDelay(ctx context.Context) {
	f.mu.Lock()
	delay := f.delay
	sleep := f.sleep.orSystem()
	f.mu.Unlock()
	_ = sleep(ctx, delay)
}
