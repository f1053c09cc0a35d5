package gateway

import (
	"errors"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/routing/admission"
	"github.com/snipestep/snipestep/strikes"
)

// request is the state of one caller request. It belongs to one goroutine: while the next attempt of
// a stream begins beside the present one, to that which begins it, else to the handler.
type request struct {
	metadata     RequestMetadata
	route        *directory.Route
	service      *service
	organisation core.OrganisationID
	rank         int
	body         []byte
	// fingerprint is that of all requests with the same caller, method, path and body;
	// 0 until the body was read.
	fingerprint uint64
	// partFingerprints are those of metadata.SharedParts.
	partFingerprints []uint64
	// trials are the fingerprints for which the request holds the trial.
	trials    []uint64
	residency residency
	arrivedAt time.Time
	deadline  time.Time // Zero for none.
	// runs counts the failed attempts whose endpoint may have run the request.
	runs int
	// exchanges knows the connections on which the request was written.
	exchanges connguard.Exchanges
	// attempts counts the attempts that were begun.
	attempts int
	// endpointsReached counts the endpoints to which a connection was made.
	endpointsReached int
	// failedEndpointIDs lists the IDs of the endpoints at which an attempt failed.
	failedEndpointIDs []string
	// withdrawnEndpointIDs lists those that were withdrawn after they had been chosen, and got
	// nothing.
	withdrawnEndpointIDs []string
	// besideEndpointID is the ID of the endpoint at which the stream goes on while its next attempt
	// begins, empty for none.
	besideEndpointID string
	// requeued says that the last attempt was withdrawn.
	requeued bool
	// sparedRetry says that a retry is reserved for a stream that was moved.
	sparedRetry bool
	// placed is the slot that was taken before the last attempt was cancelled, nil for none.
	placed *admission.Grant
	// held counts the bytes of the answers to all attempts.
	held      []*heldbytes.Held
	queueWait time.Duration
	// lastEndpointID is the ID of the endpoint that was chosen last.
	lastEndpointID string
	// loadAtChoice is the load estimate on which that choice was based. Without a
	// choice it has the minimum version at the refusal only.
	loadAtChoice admission.LoadEstimate
	// firstResponseAt is when the first event or the complete response arrived;
	// zero before.
	firstResponseAt time.Time
	logger          *slog.Logger
}

// recordRefusal records the minimum version at which a request got no slot, unless an
// endpoint was chosen before.
func (r *request) recordRefusal(err error) {
	var refused *admission.RefusedError
	if r.lastEndpointID == "" && errors.As(err, &refused) {
		r.loadAtChoice.MinVersion = refused.MinVersion
	}
}

// timeLeft returns the time until the deadline, at least a millisecond; 0 means no
// deadline.
func (r *request) timeLeft(now time.Time) time.Duration {
	if r.deadline.IsZero() {
		return 0
	}
	return max(r.deadline.Sub(now), time.Millisecond)
}

// expectedEnd returns when the request is expected to end if it is forwarded on arrival.
func (r *request) expectedEnd() time.Time {
	return r.arrivedAt.Add(r.service.expectedDuration(r.metadata.LengthHint))
}

// setFingerprints sets the fingerprints once the body was read.
func (r *request) setFingerprints(httpRequest *http.Request) {
	kind := httpRequest.Method + " " + httpRequest.Host + httpRequest.URL.RequestURI()
	r.fingerprint = routing.Fingerprint(r.organisation, kind, r.body)
	for _, part := range r.metadata.SharedParts {
		r.partFingerprints = append(r.partFingerprints, routing.PartFingerprint(r.service.name, part))
	}
}

// isOf reports whether a verdict is on the request or on a part of its prompt.
func (r *request) isOf(verdict strikes.Verdict) bool {
	if verdict.IsPart {
		return slices.Contains(r.partFingerprints, verdict.Fingerprint)
	}
	return r.fingerprint == verdict.Fingerprint
}

// fingerprintText returns the fingerprint for the log, empty for none.
func (r *request) fingerprintText() string {
	if r.fingerprint == 0 {
		return ""
	}
	return fingerprintText(r.fingerprint)
}

// fingerprintText returns a fingerprint as in all log lines.
func fingerprintText(fingerprint uint64) string {
	return strconv.FormatUint(fingerprint, 16)
}

func (r *request) rankLabel() string {
	return strconv.Itoa(r.rank)
}

const (
	// A request with less than retriedTimeShare of the route's timeout left counts as
	// a retry by its caller: callers give a new one nearly the whole timeout.
	retriedTimeShare = 0.82
	// lateQueueTime is how long past its latency target a request stays queued. A
	// late response is worth less, and while a request that is finally refused is
	// queued, its caller cannot retry elsewhere.
	lateQueueTime = 600 * time.Millisecond
	// resumeQueueTime is how long a broken stream waits for a slot; its caller
	// disconnects after a gap of two seconds or more.
	resumeQueueTime = 1800 * time.Millisecond
	// minServiceTime is the time that must remain until the deadline when a request
	// starts.
	minServiceTime = 200 * time.Millisecond
)

// admissionRequest describes the request for admission control. resumed says that the
// caller already has a part of the response.
func (r *request) admissionRequest(now time.Time, resumed bool) admission.Request {
	req := admission.Request{
		Resumed:             resumed,
		Rank:                r.rank,
		Organisation:        r.organisation,
		ArrivedAt:           r.arrivedAt,
		SoftDeadline:        r.arrivedAt.Add(r.onTimeQueueTime()),
		ClientRetry:         r.callerRetried(),
		TotalTokens:         float64(r.metadata.PromptTokens + r.metadata.OutputTokens),
		PromptTokens:        float64(r.metadata.PromptTokens),
		LatencyCritical:     r.latencyCritical(),
		ExpectedServiceTime: r.service.expectedDuration(r.metadata.LengthHint),
		ExcludedEndpoints:   r.excludedEndpoints(),
		Requeued:            r.requeued,
		Regions:             r.residency.allowed,
		MeanFirstResponse:   time.Duration(r.service.firstResponseNanos.Load()),
	}
	req.HardDeadline = r.arrivedAt.Add(r.route.LatencyTarget + lateQueueTime)
	if resumed {
		// The caller has a part of the response, so any slot in time is useful.
		req.HardDeadline = now.Add(resumeQueueTime)
	}
	if latest := r.deadline.Add(-minServiceTime); !r.deadline.IsZero() && req.HardDeadline.After(latest) {
		req.HardDeadline = latest
	}
	if req.HardDeadline.Before(now) {
		req.HardDeadline = now
	}
	r.describeForLocality(&req)
	return req
}

// resumeDeadline returns until when a request that was sent may wait for a slot elsewhere.
func (r *request) resumeDeadline(now time.Time) time.Time {
	if r.deadline.IsZero() {
		return now.Add(resumeQueueTime)
	}
	return r.deadline.Add(-minServiceTime)
}

// runsBeside returns the number of attempts that go on while another one begins.
func (r *request) runsBeside() int {
	if r.besideEndpointID == "" {
		return 0
	}
	return 1
}

// mayRunAgain reports whether the route allows a further attempt after the present ones.
func (r *request) mayRunAgain() bool {
	return r.route.Retryable() && r.runs+r.runsBeside()+1 < r.route.MaxRuns
}

// endMove keeps the slot that was taken for the next attempt, and the retry in reserve for it.
func (r *request) endMove(move *attemptMove) {
	placed, reserved := move.end()
	r.placed = placed
	r.sparedRetry = r.sparedRetry || reserved
}

// releaseHeld frees the bytes of all answers.
func (r *request) releaseHeld() {
	for _, answer := range r.held {
		answer.Release()
	}
}

// releasePlaced frees a slot that no attempt used.
func (r *request) releasePlaced() {
	if r.placed != nil {
		r.placed.Done(admission.Cancelled)
		r.placed = nil
	}
}

// minQueueTimeShare is the fraction of the latency target within which a queued
// request counts as on time regardless of the mean response time: under load that
// mean rises, and the most urgent requests, with the shortest targets, would be
// the first to be dropped.
const minQueueTimeShare = 0.5

// onTimeQueueTime is how long a request may be queued and still be on time.
func (r *request) onTimeQueueTime() time.Duration {
	minimum := time.Duration(minQueueTimeShare * float64(r.route.LatencyTarget))
	return max(r.route.LatencyTarget-time.Duration(r.service.firstResponseNanos.Load()), minimum)
}

// latencyCriticalSlack is the slack between the latency target and an idle
// endpoint's first event below which one long prompt ahead of a request makes it
// late: such a prompt takes about 100 ms.
const latencyCriticalSlack = 150 * time.Millisecond

// latencyCritical reports whether the latency target leaves little slack.
func (r *request) latencyCritical() bool {
	return r.route.Kind == directory.Streaming && r.route.LatencyTarget < initialFirstResponse+latencyCriticalSlack
}

// callerRetried reports whether the caller seems to retry after a refusal.
func (r *request) callerRetried() bool {
	routeTimeout := r.route.Timeout
	return r.metadata.TimeLeft > 0 && routeTimeout > 0 && float64(r.metadata.TimeLeft) < retriedTimeShare*float64(routeTimeout)
}
