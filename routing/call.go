package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Call describes one attempt of a call for queueing.
type Call struct {
	// ID is unique within one Queue or OverflowQueue.
	ID uint64
	// Rank must be valid.
	Rank         core.Rank
	Organisation core.OrganisationID
	// Weight is the organisation's share within the rank; 0 means 1.
	Weight float64
	// ExpectedTokens is the predicted token count; Queue.RecordTokens
	// corrects it.
	ExpectedTokens int
	// Deadline is when the call times out; the zero time means none.
	Deadline time.Time
	// Waited is how long the call has waited elsewhere; it counts against the
	// rank's patience until the call is requeued.
	Waited time.Duration
	// Resumable calls can be cancelled and resumed later.
	Resumable bool
	// Suspect calls were in flight when an endpoint crashed and run alone.
	Suspect bool
}

func (c Call) weight() float64 {
	if c.Weight <= 0 {
		return 1
	}
	return c.Weight
}

func (c Call) expectedCost() int {
	return max(c.ExpectedTokens, minCallCost)
}
