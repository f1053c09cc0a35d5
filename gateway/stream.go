package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/routing/admission"
)

// ErrEventTimeout reports an endpoint that did not send an event in time.
var ErrEventTimeout = eris.New("endpoint sent no event in time")

// ErrStreamTooLarge reports a stream larger than maxStreamBytes.
var ErrStreamTooLarge = eris.New("stream is too large")

// ErrNoEventResumed reports an endpoint that was to resume a stream and sent no event. That
// alone does not tell that the events before were all: an endpoint that failed may end its
// response just so.
var ErrNoEventResumed = eris.New("endpoint sent no event of the stream that it was to resume")

// EventOrderError reports an event that does not follow the one before it.
type EventOrderError struct {
	Last, Got string
}

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %q does not follow event %q", e.Got, e.Last)
}

// errCallerGone reports a caller to which events can no longer be written.
var errCallerGone = eris.New("caller no longer accepts events")

const (
	// firstEventTimeoutFactor and eventGapTimeoutFactor are the multiples of a
	// route's targets after which a stream migrates from a silent endpoint.
	// Callers disconnect after four times the latency target or eight times the gap
	// target.
	firstEventTimeoutFactor = 2
	eventGapTimeoutFactor   = 3
	// minFirstEventTimeout keeps streams with short targets from migrating from
	// endpoints that only have a few requests ahead of them, minEventGapTimeout from
	// endpoints that are busy with prefill.
	minFirstEventTimeout = 1200 * time.Millisecond
	minEventGapTimeout   = 900 * time.Millisecond
	// callerWriteTimeout bounds how long a write to a caller may block.
	callerWriteTimeout = 3 * time.Second
	// maxStreamBytes bounds the events of a stream: about 100,000 tokens with an event
	// for each.
	maxStreamBytes = 16 << 20
)

// stream is the state of one streamed response.
type stream struct {
	gateway    *Gateway
	w          http.ResponseWriter
	controller *http.ResponseController
	req        *request
	headerSent bool
	// lastEventID is the ID of the last event that the caller received.
	lastEventID string
	eventCount  int
	// sentBytes is the size of the events that the caller received.
	sentBytes int
}

// serveStream serves a request event by event. A stream that breaks before its
// end resumes at another endpoint if the route allows.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	s := &stream{gateway: g, w: w, controller: http.NewResponseController(w), req: req, lastEventID: req.metadata.LastEventID}
	defer s.giveBackSparedRetry()
	defer req.releasePlaced()
	for {
		grant, err := g.nextSlot(ctx, req, s.headerSent)
		if err != nil {
			s.abort(r, err)
			return
		}
		mayHaveRun, err := s.tryEndpoint(ctx, r, grant)
		if err == nil {
			return
		}
		if !s.mayContinue(ctx, mayHaveRun, err) {
			s.abort(r, err)
			return
		}
	}
}

// mayContinue reports whether the stream may go on at another endpoint after a failed attempt, and
// takes the retry for it.
func (s *stream) mayContinue(ctx context.Context, mayHaveRun bool, err error) bool {
	switch {
	case requeues(ctx, err):
		s.gateway.metrics.recordRetry("withdrawn")
	case s.migrates(ctx, err):
		s.gateway.metrics.recordRetry("moved")
	// No endpoint can resume a stream that is longer than a whole one.
	case errors.Is(err, errCallerGone) || errors.Is(err, ErrStreamTooLarge) || !s.gateway.mayRetry(ctx, s.req, mayHaveRun):
		return false
	default:
		s.gateway.metrics.recordRetry(retryReason(mayHaveRun))
	}
	return true
}

// giveBackSparedRetry returns the retry that was reserved when the stream moved.
func (s *stream) giveBackSparedRetry() {
	if s.req.sparedRetry {
		s.req.sparedRetry = false
		s.req.service.retryBudget.giveBack()
	}
}

// tryEndpoint runs the stream at one endpoint, and at those to which it moves while an attempt goes
// on. It returns nil once the response was forwarded completely.
func (s *stream) tryEndpoint(ctx context.Context, r *http.Request, grant *admission.Grant) (mayHaveRun bool, err error) {
	a, mayHaveRun, err := s.begin(ctx, r, grant, s.lastEventID)
	opener := func(ctx context.Context, grant *admission.Grant, lastEventID string) (*streamAttempt, bool) {
		return s.beginBeside(ctx, r, grant, lastEventID)
	}
	for a != nil {
		mayHaveRun = true
		if err = s.forwardEvents(a, opener); err == nil {
			a.release()
			return true, nil
		}
		a, err = a.fail(true, err)
	}
	return mayHaveRun, err
}

// beginBeside is begin for an attempt that is to go on with a stream while the endpoint that has sent
// the events so far goes on as well.
func (s *stream) beginBeside(ctx context.Context, r *http.Request, grant *admission.Grant, lastEventID string) (next *streamAttempt, mayContinue bool) {
	grant, err := s.gateway.admit(s.req, grant)
	if err != nil {
		return nil, false
	}
	next, mayHaveRun, err := s.begin(ctx, r, grant, lastEventID)
	if next != nil {
		return next, false
	}
	// The attempt may have been about to move itself. Its slot would stay taken until the request ends.
	s.req.releasePlaced()
	// An endpoint that has nothing to add says that the other one has sent all events, or has failed.
	// The end at the other one tells.
	return nil, !errors.Is(err, ErrNoEventResumed) && s.mayContinue(ctx, mayHaveRun, err)
}

// isWithdrawal reports whether the gateway itself withdrew an attempt from an endpoint
// that did nothing wrong.
func isWithdrawal(err error) bool {
	var quarantined *QuarantinedError
	return errors.Is(err, errMigrated) || errors.Is(err, errVersionTooOld) || errors.Is(err, errOvertaken) || errors.As(err, &quarantined)
}

// onSilence returns what happens when the endpoint has sent no event in time. Silence alone is no
// reason to abandon a response.
func (s *stream) onSilence(move *attemptMove) func() {
	if !s.req.mayRunAgain() {
		move.exhausted = true
	}
	return func() { move.start(ErrEventTimeout) }
}

// migrates reports whether the attempt was cancelled so that the stream migrates.
// The retry was taken from the budget at that time.
func (s *stream) migrates(ctx context.Context, err error) bool {
	if ctx.Err() != nil || len(s.req.failedEndpointIDs) >= maxFailedEndpoints {
		return false
	}
	return errors.Is(err, errMigrated) || errors.Is(err, ErrEventTimeout)
}

// firstEventTimeout is how long an endpoint may take to send its first event.
func (s *stream) firstEventTimeout() time.Duration {
	return max(firstEventTimeoutFactor*s.req.route.LatencyTarget, minFirstEventTimeout)
}

func (s *stream) eventGapTimeout() time.Duration {
	return max(eventGapTimeoutFactor*s.req.route.GapTarget, minEventGapTimeout)
}

// forwardEvents forwards a response that has begun, to its end. opener begins the next attempt if the
// stream moves.
func (s *stream) forwardEvents(a *streamAttempt, opener openFunc) error {
	e, first := a.first, true
	for {
		if last := a.lastEventID(); last != "" && !e.filler && !isNextEvent(last, e.id) {
			return &EventOrderError{Last: last, Got: e.id}
		}
		a.recordEvent()
		if err := s.forwardEvent(a, e); err != nil {
			return err
		}
		if first {
			first = false
			a.move.allowOpening(opener)
		}
		var err error
		e, err = a.reader.next()
		if errors.Is(err, io.EOF) {
			return s.completeAttempt(a)
		}
		if err != nil {
			return a.attempt.held.Cause(err)
		}
	}
}

// forwardEvent forwards an event, unless the stream moves and the next attempt may send it too.
func (s *stream) forwardEvent(a *streamAttempt, e event) error {
	switch a.move.receive(e.id) {
	case dropEvent:
		return context.Cause(a.ctx)
	case holdEvent:
		if a.holdBack(e) {
			return nil
		}
		a.move.stay(e.id)
	case forwardEvent:
	}
	err := a.forwardHeldBack()
	if err == nil {
		err = s.writeEvent(a.attempt, e)
	}
	if err != nil {
		a.move.dismissNext()
		return err
	}
	return nil
}

// completeAttempt ends a stream whose endpoint has sent all events, also if another one was asked to
// go on with it.
func (s *stream) completeAttempt(a *streamAttempt) error {
	a.move.dismissNext()
	if err := a.forwardHeldBack(); err != nil {
		return err
	}
	return s.complete(a.attempt)
}

// forwardFailure forwards an endpoint's error response, unless another endpoint
// may still run the request.
func (s *stream) forwardFailure(attempt *endpointAttempt) error {
	response, err := bufferResponse(attempt)
	if err != nil {
		return err
	}
	if s.headerSent || (s.req.mayRunAgain() && response.status >= http.StatusInternalServerError) {
		return &statusError{status: response.status}
	}
	attempt.end(admission.Served)
	s.gateway.writeResponse(s.w, s.req, response)
	return nil
}

// writeEvent sends one event to the caller.
func (s *stream) writeEvent(attempt *endpointAttempt, e event) error {
	if s.sentBytes+len(e.data) > maxStreamBytes {
		return ErrStreamTooLarge
	}
	s.sendHeader(attempt)
	_ = s.controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if _, err := s.w.Write(e.data); err != nil {
		return errCallerGone
	}
	if err := s.controller.Flush(); err != nil {
		return errCallerGone
	}
	if e.id != "" {
		s.lastEventID = e.id
	}
	s.eventCount++
	s.sentBytes += len(e.data)
	return nil
}

// sendHeader sends the header of the first endpoint's response.
func (s *stream) sendHeader(attempt *endpointAttempt) {
	if s.headerSent {
		return
	}
	s.headerSent = true
	copyHeader(s.w.Header(), attempt.response.Header)
	s.gateway.closeAfterResponse(s.w.Header())
	s.w.WriteHeader(attempt.response.StatusCode)
	s.req.firstResponseAt = time.Now()
	s.gateway.metrics.recordFirstResponse(s.req.rankLabel(), s.req.firstResponseAt.Sub(s.req.arrivedAt))
}

// isNextEvent reports whether an event may follow another: after a numeric ID, the
// next one must be consecutive.
func isNextEvent(last, next string) bool {
	lastNumber, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	nextNumber, err := strconv.ParseUint(next, 10, 64)
	return err == nil && nextNumber == lastNumber+1
}

// complete ends a stream whose endpoint has sent all events.
func (s *stream) complete(attempt *endpointAttempt) error {
	s.sendHeader(attempt)
	s.gateway.recordAnswer(s.req)
	attempt.end(admission.Served)
	if s.req.runs == 0 && !s.req.firstResponseAt.IsZero() {
		s.req.service.observeStreamDuration(time.Since(s.req.firstResponseAt), s.req.metadata.LengthHint)
		s.req.service.observeStreamBytes(s.sentBytes, s.req.metadata.LengthHint)
	}
	s.gateway.finish(s.req, "answered", attempt.response.StatusCode,
		"events", s.eventCount, "runs", s.req.runs+1)
	return nil
}

// abort ends a stream that cannot resume. If its header was sent, the connection
// is aborted, so that the response does not look complete.
func (s *stream) abort(r *http.Request, err error) {
	g, req := s.gateway, s.req
	if r.Context().Err() != nil || errors.Is(err, errCallerGone) {
		g.finish(req, outcomeLeft, 0, "events", s.eventCount, "body_bytes", len(req.body))
		// A caller that has only shut down its sending side would take the stream for complete.
		panic(http.ErrAbortHandler)
	}
	if !s.headerSent {
		g.refuse(s.w, req, finalRefusal(req, err))
		return
	}
	g.finish(req, "broken_off", 0, "events", s.eventCount, "runs", req.runs, "error", errorText(err))
	panic(http.ErrAbortHandler)
}
