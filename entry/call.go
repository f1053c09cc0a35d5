package entry

import (
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
)

// call holds what the entry knows of a caller's request apart from its body.
type call struct {
	id           string
	organisation core.OrganisationID
	weight       float64
	kind         string
	rank         core.Rank
	fingerprint  uint64
	arrivedAt    time.Time
	deadline     time.Time
}

// routingCall converts the call for the overflow queues.
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
