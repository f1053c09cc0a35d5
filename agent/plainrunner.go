package agent

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/wire"
)

// availabilityTimeout limits the availability check of a service after a broken
// call.
const availabilityTimeout = time.Second

// plainRunner runs calls of a plain service.
type plainRunner struct {
	service  string
	client   endpoint.PlainService
	state    *endpointState
	sched    *scheduler
	counters *counters
	logger   *slog.Logger
}

// run implements runner.
func (p *plainRunner) run(ctx context.Context, j *job, _ sendFunc) *wire.CallEvent {
	if j.req.GetService() != p.service {
		return callRefusedEvent(j, refusal{code: CodeWrongModel})
	}
	response, err := p.client.Call(ctx, endpoint.PlainRequest{
		Attempt:        j.req.GetAttempt(),
		Operation:      j.req.GetOperation(),
		IdempotencyKey: j.req.GetIdempotencyKey(),
		Body:           j.req.GetBody(),
		OnNotice:       p.sched.noticeHandler(),
		Held:           j.held,
	})
	if err != nil {
		return p.failureEvent(ctx, j, err)
	}
	return callDoneEvent(j, &wire.CallDone{Status: uint32(response.Status), Body: response.Body})
}

func (p *plainRunner) failureEvent(ctx context.Context, j *job, err error) *wire.CallEvent {
	logBrokenResponse(p.logger, j, err)
	var notStarted *endpoint.NotStartedError
	if errors.As(err, &notStarted) {
		restAfter(p.sched, err)
		return callRefusedEvent(j, refusal{code: CodeNotStarted, detail: err.Error()})
	}
	if errors.Is(err, heldbytes.ErrNoRoom) {
		return callNoRoomEvent(j)
	}
	j.mayHaveStarted = true
	if ctx.Err() != nil {
		return callBrokenEvent(j, CodeOutcomeUnknown, "", err.Error())
	}
	var mismatched *endpoint.AttemptMismatchError
	if errors.As(err, &mismatched) {
		restAfter(p.sched, err)
		p.counters.misdelivered.Add(1)
		return callBrokenEvent(j, CodeOutcomeUnknown, "", err.Error())
	}
	return p.brokenCallEvent(j, err)
}

// brokenCallEvent distinguishes a crash of the service from a lost answer, which
// does not make the request suspect.
func (p *plainRunner) brokenCallEvent(j *job, err error) *wire.CallEvent {
	ctx, cancel := context.WithTimeout(context.Background(), availabilityTimeout)
	defer cancel()
	if p.client.Available(ctx) {
		return callBrokenEvent(j, CodeOutcomeUnknown, "", err.Error())
	}
	return callBrokenEvent(j, CodeCrash, "", p.state.markDown())
}
