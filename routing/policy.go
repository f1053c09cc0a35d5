package routing

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
)

// Policy is the service that a rank gets.
type Policy struct {
	// GuaranteedShare is the part of the slots kept for the rank while it
	// has calls, 0 to 1. Shares of all ranks sum to at most 1.
	GuaranteedShare float64
	// Patience is how long a call may wait before it is refused. 0 stands
	// for no limit.
	Patience time.Duration
}

// Policies holds one Policy for each rank.
type Policies [core.RankCount]Policy

// PolicyOf returns the service that a configuration gives a rank.
func PolicyOf(r fleet.RankPolicy) Policy {
	return Policy{
		GuaranteedShare: r.GuaranteedShare,
		Patience:        time.Duration(r.PatienceMS) * time.Millisecond,
	}
}
