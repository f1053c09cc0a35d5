package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/agent"
	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/wire"
)

// plainResponse is the response of a plain service.
type plainResponse struct {
	status int
	body   []byte
}

// plainCall runs one call to a plain service. A call that is not idempotent is
// retried only after a refusal that says it was not run, and a claim on its
// idempotency key keeps the caller's resends from running it twice.
type plainCall struct {
	*call
	svc            *callService
	service        string
	operation      string
	idempotent     bool
	idempotencyKey string
	body           []byte

	mayHaveBegun    bool
	refusedAttempts int
	brokenAttempts  int
	triedInstances  []core.InstanceID
}

// run blocks until the response is complete, or returns *RefusedError.
func (p *plainCall) run(ctx context.Context) (plainResponse, error) {
	p.svc.recordCall()
	if p.idempotent {
		return p.runAttempts(ctx)
	}
	if p.idempotencyKey == "" {
		return plainResponse{}, newRefusal(http.StatusBadRequest, CodeKeyMissing,
			"the operation is not idempotent, an Idempotency-Key is required")
	}
	return p.runClaimed(ctx)
}

// runClaimed runs the call under a claim on its key.
func (p *plainCall) runClaimed(ctx context.Context) (plainResponse, error) {
	key := scopedKey(p.organisation, p.service, p.operation, p.idempotencyKey)
	claim := p.svc.claims.newClaim(key, p.body)
	recorded, err := claim.acquire(ctx)
	if err != nil || recorded != nil {
		return responseOrZero(recorded), err
	}
	response, err := p.runAttempts(ctx)
	switch {
	case err == nil:
		claim.reportResponse(response)
	case !p.mayHaveBegun:
		claim.reportNotRun()
	}
	return response, err
}

func responseOrZero(response *plainResponse) plainResponse {
	if response == nil {
		return plainResponse{}
	}
	return *response
}

// runAttempts makes attempts until one succeeds or no retry is allowed.
func (p *plainCall) runAttempts(ctx context.Context) (plainResponse, error) {
	for {
		suspect := p.svc.quarantine.isSuspect(p.fingerprint)
		reserved, err := p.svc.dispatcher.acquire(ctx, p.routingCall(1, false, suspect), routing.Request{
			Rank:    p.rank,
			Service: p.service,
			Suspect: suspect,
			Exclude: p.triedInstances,
		})
		if err != nil {
			return plainResponse{}, finalRefusal(err, p.mayHaveBegun)
		}
		result := p.attempt(ctx, reserved, suspect)
		if result.refused == nil {
			reserved.release()
		}
		if result.done != nil {
			p.svc.quarantine.clearStrike(p.fingerprint)
			return plainResponse{status: int(result.done.GetStatus()), body: result.done.GetBody()}, nil
		}
		if err := p.checkRetry(ctx, reserved.EndpointState, result); err != nil {
			return plainResponse{}, err
		}
	}
}

func (p *plainCall) attempt(ctx context.Context, reserved *reservation, suspect bool) attemptResult {
	ctx, span := p.svc.tracer.Start(ctx, "entry.attempt")
	defer span.End()
	ctx, evict := context.WithCancelCause(ctx)
	defer evict(nil)
	held := p.svc.answers.Hold(ctx, string(reserved.ID), evict)
	result := runAttempt(ctx, p.svc.pool, &p.svc.droppedEvents, reserved.ID, &wire.CallRequest{
		Attempt:        p.svc.newAttemptID(p.id),
		Call:           p.id,
		Rank:           uint32(p.rank),
		Organisation:   string(p.organisation),
		Weight:         p.weight,
		Kind:           p.kind,
		Service:        p.service,
		Operation:      p.operation,
		Body:           p.body,
		Idempotent:     p.idempotent,
		IdempotencyKey: p.idempotencyKey,
		DeadlineMs:     uint32(max(0, time.Until(p.deadline).Milliseconds())),
		Fingerprint:    p.fingerprint,
		Suspect:        suspect,
		WaitedMs:       uint32(reserved.waited.Milliseconds()),
	}, held, func(*wire.CallToken) error { return nil })
	if result.done != nil && held.Finish() != nil {
		result = noRoomResult()
	}
	if result.done == nil {
		held.Release()
		return result
	}
	p.held = append(p.held, held)
	return result
}

// checkRetry returns nil if another attempt should follow, or the refusal.
func (p *plainCall) checkRetry(ctx context.Context, tried routing.EndpointState, result attemptResult) error {
	p.triedInstances = append(p.triedInstances, tried.ID)
	if isRefusedNotRun(result) {
		return p.afterRefusal(result.refused)
	}
	p.mayHaveBegun = true
	if ctx.Err() != nil {
		return finalRefusal(ctx.Err(), true)
	}
	return p.afterBreak(tried, result.broken)
}

func (p *plainCall) afterRefusal(refused *wire.CallRefused) error {
	p.refusedAttempts++
	if p.refusedAttempts < maxRefusedAttempts && refused.GetCode() != agent.CodePatienceExceeded {
		return nil
	}
	return finalRefusal(&RefusedError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeOverload,
		Detail:     "endpoints refused the call: " + refused.GetCode(),
		RetryAfter: time.Duration(refused.GetRetryAfterMs()) * time.Millisecond,
	}, p.mayHaveBegun)
}

func (p *plainCall) afterBreak(tried routing.EndpointState, broken *wire.CallBroken) error {
	p.brokenAttempts++
	p.svc.recordStrike(p.fingerprint, tried.ID, broken)
	if wait, ok := p.svc.quarantine.quarantinedFor(p.fingerprint); ok {
		return finalRefusal(quarantineRefusal(wait), true)
	}
	if p.idempotent && p.brokenAttempts < maxBrokenAttempts && p.svc.takeRetry() {
		return nil
	}
	return finalRefusal(&RefusedError{
		Status:     http.StatusBadGateway,
		Code:       CodeBroken,
		Detail:     "the endpoint gave no whole answer: " + broken.GetCode(),
		RetryAfter: time.Second,
	}, true)
}
