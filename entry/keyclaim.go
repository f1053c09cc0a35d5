package entry

import (
	"context"
	"net/http"

	"github.com/snipestep/snipestep/claim"
)

// keyClaim is one call's claim on its idempotency key.
type keyClaim struct {
	svc     *claimService
	request claim.Request
}

// take blocks until the claim is decided. A nil answer without an error means
// that the call may run, once; an answer is that of an earlier run.
func (k *keyClaim) take(ctx context.Context) (*plainAnswer, error) {
	verdict := k.svc.ask(ctx, k.request)
	switch verdict.Kind {
	case claim.Granted:
		return nil, nil
	case claim.Done:
		return doneAnswer(verdict)
	case claim.Held:
		return nil, &RefusedError{
			Status:     http.StatusConflict,
			Code:       CodeClaimHeld,
			Detail:     "a call with this Idempotency-Key runs or ended without a known outcome",
			Unknown:    true,
			RetryAfter: claimHeldRetry,
		}
	case claim.Mismatch:
		return nil, refuse(http.StatusUnprocessableEntity, CodeClaimMismatch,
			"the Idempotency-Key was used with another request")
	}
	return nil, &RefusedError{
		Status:     http.StatusServiceUnavailable,
		Code:       CodeClaimStore,
		Detail:     "the Idempotency-Key could not be claimed",
		RetryAfter: max(verdict.RetryAfter, claimHeldRetry),
	}
}

func doneAnswer(v claim.Verdict) (*plainAnswer, error) {
	if v.BodyOmitted {
		return nil, &RefusedError{
			Status:  http.StatusConflict,
			Code:    CodeClaimHeld,
			Detail:  "the call with this Idempotency-Key has run; its answer was too long to keep",
			Unknown: true,
		}
	}
	return &plainAnswer{status: v.Status, body: v.Body}, nil
}

// ran records the answer for resends.
func (k *keyClaim) ran(a plainAnswer) {
	k.svc.reportLater(claim.Outcome{
		Key:     k.request.Key,
		ClaimID: k.request.ClaimID,
		Status:  a.status,
		Body:    a.body,
	})
}

// notRun frees the key: no endpoint can have begun the call.
func (k *keyClaim) notRun() {
	k.svc.reportLater(claim.Outcome{Key: k.request.Key, ClaimID: k.request.ClaimID, NotRun: true})
}
