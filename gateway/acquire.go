package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// acquireSlot waits for a slot at an endpoint. resumed says that the caller already
// has a part of the response.
func (g *Gateway) acquireSlot(ctx context.Context, req *request, resumed bool) (*admission.Grant, error) {
	if err := g.checkQuarantine(req); err != nil {
		return nil, err
	}
	req.residency.update(g.deps.Directory.View().Document)
	grant, err := req.service.gate.Acquire(ctx, req.admissionRequest(time.Now(), resumed))
	if err != nil {
		req.recordRefusal(err)
		return nil, err
	}
	return g.admit(req, grant)
}

// nextSlot returns the slot for the next attempt: the one to which the request moves, if there is
// one, else as acquireSlot.
func (g *Gateway) nextSlot(ctx context.Context, req *request, resumed bool) (*admission.Grant, error) {
	if req.placed == nil {
		return g.acquireSlot(ctx, req, resumed)
	}
	placed := req.placed
	req.placed = nil
	return g.admit(req, placed)
}

// admit records the slot that a request got, or gives it back if the request may no longer run.
func (g *Gateway) admit(req *request, grant *admission.Grant) (*admission.Grant, error) {
	// Requests that end free slots, which others get that are about to end too.
	if err := context.Cause(g.stopped); err != nil {
		grant.Done(admission.Cancelled)
		return nil, err
	}
	// Strikes may have arrived while the request was queued.
	if err := g.checkQuarantine(req); err != nil {
		grant.Done(admission.Cancelled)
		return nil, err
	}
	req.queueWait += grant.Waited
	req.lastEndpointID = grant.EndpointID
	req.loadAtChoice = grant.Estimate
	g.metrics.recordQueueWait(req.rankLabel(), grant.Waited)
	return grant, nil
}

// mayRetry reports whether a request may be sent to another endpoint, and takes the
// retry from the budget unless no endpoint was reached yet. mayHaveRun says whether
// the last endpoint may have run the request.
func (g *Gateway) mayRetry(ctx context.Context, req *request, mayHaveRun bool) bool {
	if ctx.Err() != nil || len(req.failedEndpointIDs) >= maxFailedEndpoints {
		return false
	}
	if mayHaveRun && (!req.route.Retryable() || req.runs+req.runsBeside() >= req.route.MaxRuns) {
		return false
	}
	if req.endpointsReached == 0 {
		return true
	}
	if req.sparedRetry {
		req.sparedRetry = false
		return true
	}
	return req.service.retryBudget.allowRetry()
}

// maxFailedEndpoints is the number of failed endpoints after which a request is
// no longer retried.
const maxFailedEndpoints = 4

// recordFailedAttempt ends and logs an attempt without a usable response.
func (g *Gateway) recordFailedAttempt(ctx context.Context, req *request, attempt *endpointAttempt, mayHaveRun bool, outcome admission.Outcome, err error) {
	if mayHaveRun {
		g.recordCrash(ctx, req, attempt, err)
	}
	g.endFailedAttempt(req, attempt, mayHaveRun, outcome, err)
}

// endFailedAttempt is recordFailedAttempt for an attempt whose crash, if any, is recorded.
func (g *Gateway) endFailedAttempt(req *request, attempt *endpointAttempt, mayHaveRun bool, outcome admission.Outcome, err error) {
	if mayHaveRun {
		req.runs++
	}
	breakerOpened := attempt.end(outcome)
	req.requeued = outcome == admission.NotSent
	if req.requeued {
		req.withdrawnEndpointIDs = append(req.withdrawnEndpointIDs, attempt.grant.EndpointID)
	} else {
		req.failedEndpointIDs = append(req.failedEndpointIDs, attempt.grant.EndpointID)
	}
	fields := []any{
		"request", req.metadata.ID, "fingerprint", req.fingerprintText(), "endpoint", attempt.grant.EndpointID, "begun", mayHaveRun, "error", errorText(err),
		"after_ms", time.Since(attempt.sentAt).Milliseconds(), "set_aside", breakerOpened,
	}
	var broken *connguard.BrokenResponseError
	if errors.As(err, &broken) {
		fields = append(fields, "fault", string(broken.Kind))
	}
	fields = append(fields, attempt.exchangeFields(req)...)
	fields = append(fields, "agent_silent_at_end", req.service.agentSilent(time.Now(), attempt.grant.EndpointID))
	fields = append(fields, attempt.move.fields(attempt.sentAt)...)
	req.logger.Info("attempt failed", append(fields, estimateFields(attempt.grant.Estimate)...)...)
}

// exchangeFields returns the log fields that tell the responses on one connection apart: which
// attempt of the request this is, the connection and how many requests it has carried, when the
// response began, and the ID in it.
func (a *endpointAttempt) exchangeFields(req *request) []any {
	fields := []any{"attempt", req.attempts}
	if a.endpoint != nil {
		fields = append(fields, "address", a.endpoint.Address)
	}
	if a.progress == nil {
		return fields
	}
	connection, use := a.progress.Connection()
	fields = append(fields, "connection", connection, "use", use)
	if at := a.progress.FirstByteAt(); !at.IsZero() {
		fields = append(fields, "first_byte_ms", at.Sub(a.sentAt).Milliseconds())
	}
	if a.response != nil {
		fields = append(fields, "response_id", boundedText(a.metadata.ID))
	}
	return fields
}

// estimateFields returns the log fields of the estimate behind a choice. An age of -1
// says that there was no report. The source of the version is left out if no endpoint
// with weights was chosen.
func estimateFields(e admission.LoadEstimate) []any {
	reportAgeMS := int64(-1)
	if e.ReportAge >= 0 {
		reportAgeMS = e.ReportAge.Milliseconds()
	}
	fields := []any{
		"load", e.Load, "report_age_ms", reportAgeMS, "agent_silent", e.AgentSilent, "free", e.FreeSlots,
		"endpoint_version", e.LoadedVersion, "min_version", e.MinVersion,
	}
	if e.VersionSource != "" {
		fields = append(fields, "version_source", string(e.VersionSource))
	}
	if e.Slowdown > 0 {
		fields = append(fields, "slowdown", e.Slowdown)
	}
	return append(fields, localityFields(e)...)
}

// attemptOutcome returns the outcome that a failed attempt counts as in the state of
// its endpoint.
func attemptOutcome(ctx context.Context, err error) admission.Outcome {
	if ctx.Err() != nil {
		return admission.Cancelled
	}
	if isWithdrawn(err) {
		return admission.NotSent
	}
	if errors.Is(err, ErrConnectionsMetAgain) {
		return admission.Cancelled
	}
	if errors.Is(err, heldbytes.ErrNoRoom) {
		// The endpoint that sent most may be sound.
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
