package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/snipestep/snipestep/claim"
)

// keyClaim is one call's claim on its idempotency key.
type keyClaim struct {
	svc     *claimService
	request claim.Request
}

// acquire blocks until the claim is decided. A nil response without an error
// means that the call may run, once; any other response is that of an earlier
// run.
func (k *keyClaim) acquire(ctx context.Context) (*plainResponse, error) {
	verdict := k.svc.requestVerdict(ctx, k.request)
	switch verdict.Kind {
	case claim.Granted:
		return nil, nil
	case claim.Done:
		return recordedResponse(verdict)
	case claim.Held:
		return nil, &RefusedError{
			Status:           http.StatusConflict,
			Code:             CodeClaimHeld,
			Detail:           "a call with this Idempotency-Key runs or ended without a known outcome",
			ExecutionUnknown: true,
			RetryAfter:       claimRetryAfter,
		}
	case claim.Mismatch:
		return nil, newRefusal(http.StatusUnprocessableEntity, CodeClaimMismatch,
			"the Idempotency-Key was used with another request")
	}
	return nil, &RefusedError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeClaimsUnavailable,
		Detail:     "the Idempotency-Key could not be claimed",
		RetryAfter: max(verdict.RetryAfter, claimRetryAfter),
	}
}

func recordedResponse(verdict claim.Verdict) (*plainResponse, error) {
	if verdict.BodyOmitted {
		return nil, &RefusedError{
			Status:           http.StatusConflict,
			Code:             CodeClaimHeld,
			Detail:           "the call with this Idempotency-Key has run; its answer was too long to keep",
			ExecutionUnknown: true,
		}
	}
	return &plainResponse{status: verdict.Status, body: verdict.Body}, nil
}

// reportResponse records the response for later sends of the same call.
func (k *keyClaim) reportResponse(response plainResponse) {
	if len(response.body) > claim.MaxBodySize {
		// Reports may last long after the call, and no more than this is kept: a body that is
		// longer than MaxBodySize counts as omitted.
		response.body = slices.Clone(response.body[:claim.MaxBodySize+1])
	}
	k.svc.reportInBackground(claim.Outcome{
		Key:     k.request.Key,
		ClaimID: k.request.ClaimID,
		Status:  response.status,
		Body:    response.body,
	})
}

// reportNotRun frees the key. No endpoint may have begun the call.
func (k *keyClaim) reportNotRun() {
	k.svc.reportInBackground(claim.Outcome{Key: k.request.Key, ClaimID: k.request.ClaimID, NotRun: true})
}
