package entry

import (
	"time"

	"github.com/snipestep/snipestep/routing"
)

// waiter is a call that asks for an endpoint. Exactly one answer is sent.
type waiter struct {
	call    routing.Call
	request routing.Request
	answer  chan grant // Holds one.
	// gone is closed when the call no longer waits for its answer.
	gone    <-chan struct{}
	limited bool
}

// grant is the endpoint for the next attempt of a call, or its refusal.
type grant struct {
	reservation *reservation
	err         error
}

// limitWait brings the deadline forward to the end of the rank's patience,
// counted from the first offer.
func (w *waiter) limitWait(now time.Time, patience time.Duration) {
	if w.limited || patience <= 0 {
		return
	}
	w.limited = true
	if end := now.Add(patience); w.call.Deadline.IsZero() || end.Before(w.call.Deadline) {
		w.call.Deadline = end
	}
}

// left reports whether nobody waits for the answer any more.
func (w *waiter) left() bool {
	select {
	case <-w.gone:
		return true
	default:
		return false
	}
}
