package routing

import "time"

// runningCall is one call running at the endpoint.
type runningCall struct {
	waitingCall
	startedAt   time.Time
	generated   int // Tokens generated so far.
	charged     int // Tokens charged to the organisation.
	preempted   bool
	fromDeficit bool // Started beyond the rank's whole slots.
}

// correction returns the cost still to be charged when the call ends.
func (r *runningCall) correction() int {
	return max(r.generated, minCallCost) - r.charged
}
