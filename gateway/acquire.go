package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// acquireSlot waits for a slot at an endpoint. partlyAnswered says that the
// caller already has a part of the response.
func (g *Gateway) acquireSlot(ctx context.Context, req *request, partlyAnswered bool) (*admission.Grant, error) {
	grant, err := req.service.gate.Acquire(ctx, req.slotRequest(time.Now(), partlyAnswered))
	if err != nil {
		return nil, err
	}
	req.queueWait += grant.Waited
	req.lastEndpoint = grant.EndpointID
	req.loadAtChoice = grant.Estimate
	g.metrics.recordQueueWait(req.rankLabel(), grant.Waited)
	return grant, nil
}

// mayRetry reports whether a request may be sent to a further endpoint, and takes
// the retry from the budget. mayHaveRun says whether the last endpoint may have
// run it.
func (g *Gateway) mayRetry(ctx context.Context, req *request, mayHaveRun bool) bool {
	if ctx.Err() != nil || len(req.failedEndpoints) >= maxFailedEndpoints {
		return false
	}
	if mayHaveRun && (!req.route.Retryable() || req.runs >= req.route.MaxRuns) {
		return false
	}
	return req.endpointsReached == 0 || req.service.budget.allowRetry()
}

// maxFailedEndpoints is the number of failed endpoints after which a request is
// no longer retried.
const maxFailedEndpoints = 4

// recordFailedAttempt ends and logs an attempt without a usable response.
func (g *Gateway) recordFailedAttempt(req *request, a *attempt, mayHaveRun bool, outcome admission.Outcome, err error) {
	if mayHaveRun {
		req.runs++
	}
	ejected := a.end(outcome)
	req.failedEndpoints = append(req.failedEndpoints, a.grant.EndpointID)
	req.logger.Info("attempt failed",
		"request", req.call.ID, "endpoint", a.grant.EndpointID, "begun", mayHaveRun, "error", errorText(err),
		"after_ms", time.Since(a.sentAt).Milliseconds(), "set_aside", ejected,
		"load", a.grant.Estimate.Load, "report_age_ms", a.grant.Estimate.ReportAge.Milliseconds(), "free", a.grant.Estimate.FreeSlots)
}

// attemptOutcome classifies a failed attempt for the endpoint's health.
func attemptOutcome(ctx context.Context, err error) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Cancelled
	}
	if errors.Is(err, ErrEventTimeout) {
		return admission.TimedOut
	}
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return admission.NotRun
	}
	return admission.Failed
}
