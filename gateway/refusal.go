package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/routing/places"
)

// refusal is an answer of the gateway's own. Status 429 and 503 say that the
// request has not run and will not run.
type refusal struct {
	status     int
	reason     string
	cause      error
	retryAfter time.Duration
}

// The bounds of the time after which a refused caller is asked to come back.
// Below the first it would find the same queue; callers follow at most a third
// of the few seconds that they have left.
const (
	soonestReturn = 300 * time.Millisecond
	latestReturn  = 1800 * time.Millisecond
)

// noPlace turns the error of an Acquire into a refusal.
func noPlace(err error) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: "no place", cause: err, retryAfter: soonestReturn}
	var refused *places.RefusedError
	if errors.As(err, &refused) {
		r.reason = string(refused.Reason)
		r.retryAfter = refused.RetryAfter
	}
	return r
}

// refuse writes a refusal and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, r *refusal) {
	if r.status == http.StatusServiceUnavailable {
		after := min(max(r.retryAfter, soonestReturn), latestReturn)
		// A different time for each caller keeps them from returning together.
		after += time.Duration(g.draws.float() * float64(after) / 2)
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.Header()["Content-Type"] = nil
	w.WriteHeader(r.status)
	g.finish(req, "refused", r.status, "reason", r.reason, "cause", errorText(r.cause), "document", g.documentVersion())
}

func (g *Gateway) documentVersion() uint64 {
	if d := g.deps.Directory.View().Document; d != nil {
		return d.Version
	}
	return 0
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// finish logs the end of a request and counts it.
func (g *Gateway) finish(req *request, outcome string, status int, more ...any) {
	took := time.Since(req.arrived)
	route := ""
	if req.route != nil {
		route = req.route.Name
	}
	first := int64(-1)
	if !req.first.IsZero() {
		first = req.first.Sub(req.arrived).Milliseconds()
	}
	fields := []any{
		"request", req.call.ID, "route", route, "rank", req.rank, "outcome", outcome, "status", status,
		"took_ms", took.Milliseconds(), "first_ms", first, "held_ms", req.waited.Milliseconds(), "arrivals", req.arrivals, "endpoint", req.endpoint,
		"load", req.seen.Load, "report_age_ms", req.seen.ReportAge.Milliseconds(), "free", req.seen.Free, "left_ms", req.call.Left.Milliseconds(),
	}
	g.deps.Logger.Info("request ended", append(fields, more...)...)
	g.metrics.ended(req.rankName(), outcome, took)
}
