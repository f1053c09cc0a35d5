package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/snipestep/snipestep/routing/places"
)

// acquire waits for a place.
func (g *Gateway) acquire(ctx context.Context, req *request, begun bool) (*places.Grant, error) {
	grant, err := req.service.gate.Acquire(ctx, req.ask(time.Now(), begun))
	if err != nil {
		return nil, err
	}
	req.waited += grant.Waited
	req.endpoint = grant.Endpoint
	req.seen = grant.Seen
	g.metrics.held(req.rankName(), grant.Waited)
	return grant, nil
}

// mayRepeat reports whether a request may be sent to a further endpoint, and
// takes the repeat from the budget. begun says whether the last endpoint can
// have run it.
func (g *Gateway) mayRepeat(ctx context.Context, req *request, begun bool) bool {
	if ctx.Err() != nil || len(req.without) >= maxFailures {
		return false
	}
	if begun && (!req.route.Repeatable() || req.runs >= req.route.MaxRuns) {
		return false
	}
	return req.arrivals == 0 || req.service.budget.retry()
}

// maxFailures bounds the endpoints that may fail one request.
const maxFailures = 4

// failed ends an attempt that brought no answer to pass on and logs it.
func (g *Gateway) failed(req *request, a *attempt, begun bool, outcome places.Outcome, err error) {
	if begun {
		req.runs++
	}
	aside := a.end(outcome)
	req.without = append(req.without, a.grant.Endpoint)
	req.logger.Info("attempt failed",
		"request", req.call.ID, "endpoint", a.grant.Endpoint, "begun", begun, "error", errorText(err),
		"after_ms", time.Since(a.sent).Milliseconds(), "set_aside", aside,
		"load", a.grant.Seen.Load, "report_age_ms", a.grant.Seen.ReportAge.Milliseconds(), "free", a.grant.Seen.Free)
}

// outcomeOf says what a failed attempt tells of its endpoint.
func outcomeOf(ctx context.Context, err error) places.Outcome {
	if ctx.Err() != nil {
		return places.Left
	}
	if errors.Is(err, ErrSilent) {
		return places.Silent
	}
	var notRun *NotRunError
	if errors.As(err, &notRun) {
		return places.NotRun
	}
	return places.Broken
}
