package entry

import (
	"time"

	"github.com/snipestep/snipestep/claim"
	"github.com/snipestep/snipestep/wire"
)

var verdictKinds = map[claim.VerdictKind]wire.ClaimVerdict{
	claim.Refused:  wire.ClaimVerdict_CLAIM_REFUSED,
	claim.Granted:  wire.ClaimVerdict_CLAIM_GRANTED,
	claim.Held:     wire.ClaimVerdict_CLAIM_HELD,
	claim.Done:     wire.ClaimVerdict_CLAIM_DONE,
	claim.Mismatch: wire.ClaimVerdict_CLAIM_MISMATCH,
}

func newClaimResponse(v claim.Verdict) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Verdict:      verdictKinds[v.Kind],
		Status:       uint32(v.Status),
		Body:         v.Body,
		BodyOmitted:  v.BodyOmitted,
		RetryAfterMs: uint32(v.RetryAfter.Milliseconds()),
	}
}

// verdictOf decodes a verdict; an unknown kind counts as refused.
func verdictOf(m *wire.ClaimResponse) claim.Verdict {
	v := claim.Verdict{
		Kind:        claim.Refused,
		Status:      int(m.GetStatus()),
		Body:        m.GetBody(),
		BodyOmitted: m.GetBodyOmitted(),
		RetryAfter:  time.Duration(m.GetRetryAfterMs()) * time.Millisecond,
	}
	for kind, message := range verdictKinds {
		if message == m.GetVerdict() {
			v.Kind = kind
		}
	}
	return v
}
