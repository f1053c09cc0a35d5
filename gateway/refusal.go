package gateway

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/snipestep/snipestep/routing/admission"
)

// refusal is a response from the gateway itself. Status 429 and 503 say that the
// request has not run and will not run.
type refusal struct {
	status     int
	reason     string
	cause      error
	retryAfter time.Duration
	// retryAfterIsExact says that retryAfter is sent as it is, also if no caller waits for
	// that long: it is no use to come back sooner.
	retryAfterIsExact bool
	// spread is the largest time that is added to an exact retryAfter at random.
	spread time.Duration
	// unavailable counts the endpoints that got no requests, if none had a slot.
	unavailable admission.UnavailableEndpoints
	// closes says that nothing more is read from the caller's connection.
	closes bool
}

// The bounds of Retry-After. A caller that retries sooner than minRetryAfter finds
// the same queue; callers wait for at most a third of the few seconds that they
// have left.
const (
	minRetryAfter = 300 * time.Millisecond
	maxRetryAfter = 1800 * time.Millisecond
)

// restSpread is the time over which callers return after the endpoints' pause, which start
// with one request at a time.
const restSpread = time.Second

// slotRefusal returns the refusal for a request that has not run.
func slotRefusal(err error) *refusal {
	r := &refusal{status: http.StatusServiceUnavailable, reason: "no endpoint available", cause: err, retryAfter: minRetryAfter}
	var quarantined *QuarantinedError
	if errors.As(err, &quarantined) {
		r.reason = "quarantined"
		r.retryAfter = quarantined.Verdict.Remaining
		r.retryAfterIsExact = true
	}
	var refused *admission.RefusedError
	if errors.As(err, &refused) {
		r.reason = string(refused.Reason)
		r.retryAfter = refused.RetryAfter
		r.unavailable = refused.Unavailable
		if refused.Reason == admission.ReasonResting || refused.Reason == admission.ReasonCold {
			r.retryAfterIsExact = true
			r.spread = restSpread
		}
	}
	return r
}

// refuse writes a refusal and logs it.
func (g *Gateway) refuse(w http.ResponseWriter, req *request, r *refusal) {
	if r.status == http.StatusServiceUnavailable {
		after := r.retryAfter
		if r.retryAfterIsExact {
			after += time.Duration(g.random.uniform() * float64(r.spread))
		} else {
			after = min(max(after, minRetryAfter), maxRetryAfter)
			// Jitter keeps callers from retrying at the same time.
			after += time.Duration(g.random.uniform() * float64(after) / 2)
		}
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	w.Header()["Content-Type"] = nil
	g.closeAfterResponse(w.Header())
	if r.closes {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	g.finish(req, "refused", r.status, "reason", r.reason, "unavailable", r.unavailable.String(), "cause", errorText(r.cause), "document", g.documentVersion())
}

func (g *Gateway) documentVersion() uint64 {
	if d := g.deps.Directory.View().Document; d != nil {
		return d.Version
	}
	return 0
}

// maxErrorTextBytes bounds an error in the log: some contain what an endpoint sent.
const maxErrorTextBytes = 500

// errorText returns the text of an error for the log, empty for nil.
func errorText(err error) string {
	if err == nil {
		return ""
	}
	return boundedText(err.Error())
}

// boundedText returns a text of another process for the log.
func boundedText(text string) string {
	if len(text) > maxErrorTextBytes {
		text = strings.ToValidUTF8(text[:maxErrorTextBytes], "") + "..."
	}
	return text
}

// finish logs and counts the end of a request.
func (g *Gateway) finish(req *request, outcome string, status int, extra ...any) {
	duration := time.Since(req.arrivedAt)
	route, service := "", ""
	if req.route != nil {
		route = req.route.Name
	}
	if req.service != nil {
		service = req.service.name
	}
	firstResponseMS := int64(-1)
	if !req.firstResponseAt.IsZero() {
		firstResponseMS = req.firstResponseAt.Sub(req.arrivedAt).Milliseconds()
	}
	fields := []any{
		"request", req.metadata.ID, "fingerprint", req.fingerprintText(), "route", route, "service", service, "rank", req.rank, "outcome", outcome, "status", status,
		"took_ms", duration.Milliseconds(), "first_ms", firstResponseMS, "held_ms", req.queueWait.Milliseconds(), "arrivals", req.endpointsReached, "endpoint", req.lastEndpointID,
		"left_ms", req.metadata.TimeLeft.Milliseconds(),
	}
	fields = append(fields, estimateFields(req.loadAtChoice)...)
	g.deps.Logger.Info("request ended", append(fields, extra...)...)
	g.metrics.recordRequest(req.rankLabel(), outcome, duration)
	if outcome == outcomeLeft && req.service.agentSilent(time.Now(), req.lastEndpointID) {
		g.metrics.recordLeftAtSilentAgent(req.service.name)
	}
}

// outcomeLeft says that the caller disconnected before its response was complete.
const outcomeLeft = "left"
