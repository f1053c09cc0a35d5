package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Policy sets how calls of one rank are scheduled.
type Policy struct {
	// GuaranteedShare is the fraction of the slots reserved for the rank
	// while it has calls, 0 to 1. The shares of all ranks sum to at most 1.
	GuaranteedShare float64
	// Patience is how long a call may wait before it is refused; 0 means no
	// limit.
	Patience time.Duration
}

// Policies holds one Policy for each rank.
type Policies [core.RankCount]Policy

// PolicyOf converts a rank's configured policy.
func PolicyOf(r fleet.RankPolicy) Policy {
	return Policy{
		GuaranteedShare: r.GuaranteedShare,
		Patience:        time.Duration(r.PatienceMS) * time.Millisecond,
	}
}
