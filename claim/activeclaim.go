package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// activeClaim is the claim that holds a key.
type activeClaim struct {
	id            string
	requestDigest core.Digest
	claimedAt     time.Time
	outcome       *claimpb.Ended // Nil until the outcome is known.
}

// verdict answers another request for the key.
func (c *activeClaim) verdict(requestDigest core.Digest) Verdict {
	if c.requestDigest != requestDigest {
		return Verdict{Kind: Mismatch}
	}
	if c.outcome == nil {
		return Verdict{Kind: Held}
	}
	return Verdict{
		Kind:        Done,
		Status:      int(c.outcome.GetStatus()),
		Body:        c.outcome.GetBody(),
		BodyOmitted: c.outcome.GetBodyOmitted(),
	}
}
