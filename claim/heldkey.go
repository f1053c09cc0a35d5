package claim

import (
	"time"

	"github.com/snipestep/snipestep/claim/claimpb"
	"github.com/snipestep/snipestep/core"
)

// heldKey is what the log says of one key.
type heldKey struct {
	claim   string
	request core.Digest
	at      time.Time
	ended   *claimpb.Ended // nil until the outcome is known.
}

// verdict answers a request for a key that is taken.
func (h *heldKey) verdict(request core.Digest) Verdict {
	if h.request != request {
		return Verdict{Kind: Mismatch}
	}
	if h.ended == nil {
		return Verdict{Kind: Held}
	}
	return Verdict{
		Kind:        Done,
		Status:      int(h.ended.GetStatus()),
		Body:        h.ended.GetBody(),
		BodyOmitted: h.ended.GetBodyOmitted(),
	}
}
