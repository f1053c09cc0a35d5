package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// call is what admission knows of a caller's request.
type call struct {
	id           string
	organisation core.OrganisationID
	weight       float64
	kind         string
	rank         core.Rank
	fingerprint  uint64
	started      time.Time
	deadline     time.Time
}

// routingCall returns the call as the waiting rooms see it.
func (c *call) routingCall(tokens int, resumable, suspect bool) routing.Call {
	return routing.Call{
		Rank:           c.rank,
		Organisation:   c.organisation,
		Weight:         c.weight,
		ExpectedTokens: tokens,
		Deadline:       c.deadline,
		Resumable:      resumable,
		Suspect:        suspect,
	}
}
