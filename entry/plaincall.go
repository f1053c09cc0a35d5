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

// plainAnswer is the whole answer of a plain service.
type plainAnswer struct {
	status int
	body   []byte
}

// plainCall runs one call of a plain service. A call that is not idempotent
// is sent again only after a refusal that says it was not run, and a claim on
// its idempotency key keeps resends from running it twice.
type plainCall struct {
	*call
	svc        *callService
	service    string
	operation  string
	idempotent bool
	key        string
	body       []byte

	begun   bool
	refused int
	broken  int
	tried   []core.InstanceID
}

// run blocks until the answer is whole, or returns *RefusedError.
func (p *plainCall) run(ctx context.Context) (plainAnswer, error) {
	p.svc.countCall()
	if p.idempotent {
		return p.attempts(ctx)
	}
	if p.key == "" {
		return plainAnswer{}, refuse(http.StatusBadRequest, CodeKeyMissing,
			"the operation is not idempotent, an Idempotency-Key is required")
	}
	return p.claimed(ctx)
}

// claimed runs the call under a claim on its key.
func (p *plainCall) claimed(ctx context.Context) (plainAnswer, error) {
	key := scopedKey(p.organisation, p.service, p.operation, p.key)
	claim := p.svc.claims.newClaim(key, p.body)
	held, err := claim.take(ctx)
	if err != nil || held != nil {
		return answerOf(held), err
	}
	answer, err := p.attempts(ctx)
	switch {
	case err == nil:
		claim.ran(answer)
	case !p.begun:
		claim.notRun()
	}
	return answer, err
}

func answerOf(a *plainAnswer) plainAnswer {
	if a == nil {
		return plainAnswer{}
	}
	return *a
}

// attempts sends the call until it is answered or must be given up.
func (p *plainCall) attempts(ctx context.Context) (plainAnswer, error) {
	for {
		suspect := p.svc.quarantine.suspect(p.fingerprint)
		taken, err := p.svc.dispatcher.acquire(ctx, p.routingCall(1, false, suspect), routing.Request{
			Rank:    p.rank,
			Service: p.service,
			Suspect: suspect,
			Exclude: p.tried,
		})
		if err != nil {
			return plainAnswer{}, finalRefusal(err, p.begun)
		}
		end := p.attempt(ctx, taken, suspect)
		if end.refused == nil {
			taken.release()
		}
		if end.done != nil {
			p.svc.quarantine.absolve(p.fingerprint)
			return plainAnswer{status: int(end.done.GetStatus()), body: end.done.GetBody()}, nil
		}
		if err := p.next(ctx, taken.EndpointState, end); err != nil {
			return plainAnswer{}, err
		}
	}
}

func (p *plainCall) attempt(ctx context.Context, to *reservation, suspect bool) attemptEnd {
	ctx, span := p.svc.tracer.Start(ctx, "entry.attempt")
	defer span.End()
	return runAttempt(ctx, p.svc.pool, &p.svc.dropped, to.ID, &wire.CallRequest{
		Attempt:        p.svc.attemptID(p.id),
		Call:           p.id,
		Rank:           uint32(p.rank),
		Organisation:   string(p.organisation),
		Weight:         p.weight,
		Kind:           p.kind,
		Service:        p.service,
		Operation:      p.operation,
		Body:           p.body,
		Idempotent:     p.idempotent,
		IdempotencyKey: p.key,
		DeadlineMs:     uint32(max(0, time.Until(p.deadline).Milliseconds())),
		Fingerprint:    p.fingerprint,
		Suspect:        suspect,
		WaitedMs:       uint32(to.waited.Milliseconds()),
	}, func(*wire.CallToken) error { return nil })
}

// next decides whether another attempt follows; nil means yes.
func (p *plainCall) next(ctx context.Context, at routing.EndpointState, end attemptEnd) error {
	p.tried = append(p.tried, at.ID)
	if refusedNotRun(end) {
		return p.afterRefusal(end.refused)
	}
	p.begun = true
	if ctx.Err() != nil {
		return finalRefusal(ctx.Err(), true)
	}
	return p.afterBreak(at, end.broken)
}

func (p *plainCall) afterRefusal(r *wire.CallRefused) error {
	p.refused++
	if p.refused < maxRefusedAttempts && r.GetCode() != agent.CodePatience {
		return nil
	}
	return finalRefusal(&RefusedError{
		Status:     http.StatusTooManyRequests,
		Code:       CodeOverload,
		Detail:     "endpoints refused the call: " + r.GetCode(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}, p.begun)
}

func (p *plainCall) afterBreak(at routing.EndpointState, b *wire.CallBroken) error {
	p.broken++
	p.svc.strike(p.fingerprint, at.ID, b)
	if wait, ok := p.svc.quarantine.refused(p.fingerprint); ok {
		return finalRefusal(quarantineRefusal(wait), true)
	}
	if p.idempotent && p.broken < maxBrokenAttempts && p.svc.retryAllowed() {
		return nil
	}
	return finalRefusal(&RefusedError{
		Status:     http.StatusBadGateway,
		Code:       CodeBroken,
		Detail:     "the endpoint gave no whole answer: " + b.GetCode(),
		RetryAfter: time.Second,
	}, true)
}
