package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
)

// Call is what the decisions need to know of one attempt of a call.
type Call struct {
	// ID is unique within one Queue or Overflow.
	ID uint64
	// Rank must be valid.
	Rank         core.Rank
	Organisation core.OrganisationID
	// Weight is the organisation's share within the rank; 0 stands for 1.
	Weight float64
	// ExpectedTokens is the predicted use; it is corrected by Queue.Used.
	ExpectedTokens int
	// Deadline ends the call; the zero time stands for none.
	Deadline time.Time
	// Waited is how long the call has waited elsewhere; it counts against the
	// rank's patience until the call is requeued.
	Waited time.Duration
	// Resumable calls can be cancelled and continued.
	Resumable bool
	// Suspect calls were in flight at a crash and run alone.
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
