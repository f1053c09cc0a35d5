package routing

import "time"

// runningCall is one call that the endpoint runs.
type runningCall struct {
	waitingCall
	started  time.Time
	used     int // Tokens made so far.
	charged  int // Tokens charged to the organisation.
	yielding bool
	byTurn   bool // Started beyond the rank's whole slots.
}

// correction is the cost still to be charged at the end.
func (r *runningCall) correction() int {
	return max(r.used, minCallCost) - r.charged
}
