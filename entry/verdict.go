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

func newClaimResponse(verdict claim.Verdict) *wire.ClaimResponse {
	return &wire.ClaimResponse{
		Verdict:      verdictKinds[verdict.Kind],
		Status:       uint32(verdict.Status),
		Body:         verdict.Body,
		BodyOmitted:  verdict.BodyOmitted,
		RetryAfterMs: uint32(verdict.RetryAfter.Milliseconds()),
	}
}

// verdictOf decodes a verdict; an unknown kind counts as refused.
func verdictOf(response *wire.ClaimResponse) claim.Verdict {
	verdict := claim.Verdict{
		Kind:        claim.Refused,
		Status:      int(response.GetStatus()),
		Body:        response.GetBody(),
		BodyOmitted: response.GetBodyOmitted(),
		RetryAfter:  time.Duration(response.GetRetryAfterMs()) * time.Millisecond,
	}
	for kind, encoded := range verdictKinds {
		if encoded == response.GetVerdict() {
			verdict.Kind = kind
		}
	}
	return verdict
}
