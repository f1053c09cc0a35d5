package entry

import (
	"time"

	"github.com/snipestep/snipestep/routing"
)

// waiter is a call that waits for an endpoint. Exactly one result is sent, unless
// the call is cancelled or the dispatcher stops.
type waiter struct {
	call    routing.Call
	request routing.Request
	result  chan grant // Capacity 1.
	// cancelled is closed when the call no longer waits for its result.
	cancelled       <-chan struct{}
	patienceApplied bool
}

// grant is the endpoint for the next attempt of a call, or its refusal.
type grant struct {
	reservation *reservation
	err         error
}

// applyPatience limits the deadline to the end of the rank's patience, counted
// from the first time that the call is queued.
func (w *waiter) applyPatience(now time.Time, patience time.Duration) {
	if w.patienceApplied || patience <= 0 {
		return
	}
	w.patienceApplied = true
	if end := now.Add(patience); w.call.Deadline.IsZero() || end.Before(w.call.Deadline) {
		w.call.Deadline = end
	}
}

// isCancelled reports whether the call no longer waits for its result.
func (w *waiter) isCancelled() bool {
	select {
	case <-w.cancelled:
		return true
	default:
		return false
	}
}
