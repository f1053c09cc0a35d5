package agent

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/wire"
)

// upTimeout bounds the look at a service after a broken call.
const upTimeout = time.Second

// plainRunner runs calls of a plain service.
type plainRunner struct {
	service string
	plain   endpoint.PlainService
	state   *endpointState
	counts  *counts
}

// run implements runner.
func (p *plainRunner) run(ctx context.Context, j *job, _ sendFunc) *wire.CallEvent {
	if j.req.GetService() != p.service {
		return refusedEvent(j, refusal{code: CodeWrongModel})
	}
	answer, err := p.plain.Call(ctx, endpoint.PlainRequest{
		Attempt:        j.req.GetAttempt(),
		Operation:      j.req.GetOperation(),
		IdempotencyKey: j.req.GetIdempotencyKey(),
		Body:           j.req.GetBody(),
	})
	if err != nil {
		return p.failure(ctx, j, err)
	}
	return doneEventOf(j, &wire.CallDone{Status: uint32(answer.Status), Body: answer.Body})
}

func (p *plainRunner) failure(ctx context.Context, j *job, err error) *wire.CallEvent {
	var notStarted *endpoint.NotStartedError
	if errors.As(err, &notStarted) {
		return refusedEvent(j, refusal{code: CodeNotStarted, detail: err.Error()})
	}
	j.begun = true
	if ctx.Err() != nil {
		return brokenEvent(j, CodeUnknown, "", err.Error())
	}
	var foreign *endpoint.ForeignAnswerError
	if errors.As(err, &foreign) {
		p.counts.dropped.Add(1)
		return brokenEvent(j, CodeUnknown, "", err.Error())
	}
	return p.broken(j, err)
}

// broken tells a crash of the service from an answer that was lost, which
// says nothing against the request.
func (p *plainRunner) broken(j *job, err error) *wire.CallEvent {
	ctx, cancel := context.WithTimeout(context.Background(), upTimeout)
	defer cancel()
	if p.plain.Available(ctx) {
		return brokenEvent(j, CodeUnknown, "", err.Error())
	}
	return brokenEvent(j, CodeCrash, "", p.state.suspect())
}
