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

	"github.com/snipestep/snipestep/routing/places"
)

// ErrSilent reports an endpoint that sent no event for too long.
var ErrSilent = eris.New("endpoint sent no event in time")

// EventOrderError reports an event that does not follow the one before it.
type EventOrderError struct {
	Last, Got string
}

// Error implements error.
func (e *EventOrderError) Error() string {
	return fmt.Sprintf("event %q does not follow event %q", e.Got, e.Last)
}

// errCallerGone reports a caller that takes no more events.
var errCallerGone = eris.New("caller takes no more events")

const (
	// firstSilence and gapSilence bound how long an endpoint may be silent
	// before its stream goes on elsewhere, as multiples of what is on time;
	// callers leave after four times the aim or eight times the gap.
	firstSilence = 2
	gapSilence   = 3
	// leastFirst keeps short aims from moving streams off endpoints that only
	// have a few other requests in front, leastGap off those that read prompts.
	leastFirst = 1200 * time.Millisecond
	leastGap   = 900 * time.Millisecond
	// writeLimit bounds how long a caller may keep the gateway from writing.
	writeLimit = 3 * time.Second
)

// stream is the state of one streamed answer.
type stream struct {
	gateway *Gateway
	w       http.ResponseWriter
	control *http.ResponseController
	req     *request
	// opened says that the header was sent to the caller.
	opened bool
	// last is the number of the last event that the caller got.
	last   string
	events int
}

// serveStream answers a request event by event. A break before the stream's
// end is mended at another endpoint where the route allows.
func (g *Gateway) serveStream(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	s := &stream{gateway: g, w: w, control: http.NewResponseController(w), req: req, last: req.call.LastEvent}
	for {
		grant, err := g.acquire(ctx, req, s.opened)
		if err != nil {
			s.giveUp(r, err)
			return
		}
		begun, err := s.try(ctx, r, grant)
		if err == nil {
			return
		}
		if s.goesOn(ctx, err) {
			g.metrics.repeated("moved")
			continue
		}
		if errors.Is(err, errCallerGone) || !g.mayRepeat(ctx, req, begun) {
			s.giveUp(r, err)
			return
		}
		g.metrics.repeated(repeatReason(begun))
	}
}

// try runs the stream at one endpoint. It returns nil once the answer was
// passed on to its end.
func (s *stream) try(ctx context.Context, r *http.Request, grant *places.Grant) (begun bool, err error) {
	g, req := s.gateway, s.req
	tryCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	movable := s.movable()
	watch := time.AfterFunc(s.firstLimit(), func() { silent(cancel, movable, req.service.budget) })
	defer watch.Stop()
	begins := g.waiting.add(grant.Endpoint, req, cancel)
	defer begins()
	a, begun, err := g.send(tryCtx, r, req, grant, s.last)
	if err == nil {
		remove := func() {}
		if movable {
			remove = g.moves.add(grant.Endpoint, req, cancel)
		}
		err = s.pass(a, watch, begins)
		remove()
	}
	if err == nil {
		return true, nil
	}
	if cause := context.Cause(tryCtx); errors.Is(cause, ErrSilent) || errors.Is(cause, errMoved) || errors.Is(cause, errOutdated) {
		err = cause
	}
	outcome := outcomeOf(ctx, err)
	if errors.Is(err, errCallerGone) || errors.Is(err, errMoved) || errors.Is(err, errOutdated) {
		outcome = places.Left
	}
	g.failed(req, a, begun, outcome, err)
	return begun, err
}

// silent ends an attempt whose endpoint sends nothing, if the stream can go on
// elsewhere: silence alone is no reason to give an answer up.
func silent(cancel context.CancelCauseFunc, movable bool, b *budget) {
	if movable && b.retry() {
		cancel(ErrSilent)
	}
}

// goesOn reports whether the attempt was ended so that the stream goes on
// elsewhere. The budget was asked then.
func (s *stream) goesOn(ctx context.Context, err error) bool {
	if ctx.Err() != nil || len(s.req.without) >= maxFailures {
		return false
	}
	return errors.Is(err, errMoved) || errors.Is(err, ErrSilent)
}

// movable reports whether the stream may go on at a further endpoint.
func (s *stream) movable() bool {
	return s.req.route.Repeatable() && s.req.runs+1 < s.req.route.MaxRuns
}

// firstLimit is how long the endpoint may take to its first event here.
func (s *stream) firstLimit() time.Duration {
	return max(firstSilence*s.req.route.Aim, leastFirst)
}

func (s *stream) gapLimit() time.Duration {
	return max(gapSilence*s.req.route.GapAim, leastGap)
}

// pass passes an answer on. begins is called at its first event.
func (s *stream) pass(a *attempt, watch *time.Timer, begins func()) error {
	if a.answer.Encoded {
		return ErrEncodedAnswer
	}
	if a.response.StatusCode != http.StatusOK {
		return s.passFailure(a)
	}
	reader := newEventReader(a.response.Body)
	first := true
	for {
		e, err := reader.next()
		if errors.Is(err, io.EOF) {
			return s.complete(a)
		}
		if err != nil {
			return err
		}
		watch.Reset(s.gapLimit())
		a.grant.Progress()
		if first {
			first = false
			begins()
			s.req.service.measureFirst(time.Since(a.sent))
		}
		if err := s.write(a, e); err != nil {
			return err
		}
	}
}

// passFailure passes an endpoint's own failure on, unless another endpoint may
// still run the request.
func (s *stream) passFailure(a *attempt) error {
	answer, err := readWhole(a)
	if err != nil {
		return err
	}
	again := s.req.route.Repeatable() && s.req.runs+1 < s.req.route.MaxRuns
	if s.opened || (again && answer.status >= http.StatusInternalServerError) {
		return &statusError{status: answer.status}
	}
	a.end(places.Served)
	s.gateway.writeWhole(s.w, s.req, answer)
	return nil
}

// write sends one event to the caller.
func (s *stream) write(a *attempt, e event) error {
	if s.last != "" && !follows(s.last, e.id) {
		return &EventOrderError{Last: s.last, Got: e.id}
	}
	s.open(a)
	_ = s.control.SetWriteDeadline(time.Now().Add(writeLimit))
	if _, err := s.w.Write(e.data); err != nil {
		return errCallerGone
	}
	if err := s.control.Flush(); err != nil {
		return errCallerGone
	}
	if e.id != "" {
		s.last = e.id
	}
	s.events++
	return nil
}

// open sends the header of the first endpoint's answer.
func (s *stream) open(a *attempt) {
	if s.opened {
		return
	}
	s.opened = true
	copyHeader(s.w.Header(), a.response.Header)
	s.w.WriteHeader(a.response.StatusCode)
	s.req.first = time.Now()
	s.gateway.metrics.first(s.req.rankName(), s.req.first.Sub(s.req.arrived))
}

// follows reports whether an event may come after another: the next number,
// where both are numbers.
func follows(last, next string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(next, 10, 64)
	return errA != nil || errB != nil || b == a+1
}

// complete ends a stream that the endpoint ended.
func (s *stream) complete(a *attempt) error {
	s.open(a)
	a.end(places.Served)
	if s.req.runs == 0 && !s.req.first.IsZero() {
		s.req.service.measureStream(time.Since(s.req.first), s.req.call.Hint)
	}
	s.gateway.finish(s.req, "answered", a.response.StatusCode,
		"events", s.events, "runs", s.req.runs+1)
	return nil
}

// giveUp gives the final answer of a stream that cannot go on. One that was
// opened is cut, so that it does not look complete.
func (s *stream) giveUp(r *http.Request, err error) {
	g, req := s.gateway, s.req
	if r.Context().Err() != nil || errors.Is(err, errCallerGone) {
		g.finish(req, "left", 0, "events", s.events)
		return
	}
	if !s.opened {
		g.refuse(s.w, req, finalRefusal(req, err))
		return
	}
	g.finish(req, "broken_off", 0, "events", s.events, "runs", req.runs, "error", errorText(err))
	panic(http.ErrAbortHandler)
}
