package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// streamAttempt is one attempt of a stream, whose first event has arrived. It belongs to the goroutine
// to which the request belongs.
type streamAttempt struct {
	stream *stream
	// parent outlives the attempt, which ctx ends with.
	parent, ctx context.Context
	cancel      context.CancelCauseFunc
	move        *attemptMove
	// silence fires when the endpoint has sent no event in time.
	silence *time.Timer
	// unregister takes the attempt off those that may move.
	unregister func()
	attempt    *endpointAttempt
	reader     *eventReader
	first      event
	// heldBack holds events that the next attempt was asked to send too.
	heldBack []event
}

// maxHeldBackBytes bounds the events that wait until the next attempt has begun or failed.
const maxHeldBackBytes = heldbytes.UncountedBytes

// begin sends a request to the endpoint of a grant, to go on after the event with an ID, and returns
// once its first event has arrived. It returns neither an attempt nor an error if the response was
// forwarded completely, and an error for an attempt that has failed, which is recorded.
func (s *stream) begin(ctx context.Context, r *http.Request, grant *admission.Grant, lastEventID string) (a *streamAttempt, mayHaveRun bool, err error) {
	g, req := s.gateway, s.req
	a = &streamAttempt{stream: s, parent: ctx, unregister: func() {}}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.move = newMove(a.ctx, a.cancel, g, req, grant, s.headerSent)
	a.move.stream = ctx
	mayMove := req.mayRunAgain()
	if mayMove {
		a.unregister = g.movable.add(grant, req, a.cancel, a.move)
	}
	a.silence = time.AfterFunc(s.firstEventTimeout(), s.onSilence(a.move))
	unregisterUnstarted := g.unstarted.add(grant, req, a.cancel, nil)
	defer unregisterUnstarted()
	a.attempt, mayHaveRun, err = g.send(a.ctx, r, req, grant, lastEventID)
	a.attempt.move = a.move
	if err == nil {
		if mayMove {
			unregisterMovable, unregisterMigratable := a.unregister, g.migratable.add(grant, req, a.cancel, a.move)
			a.unregister = func() { unregisterMovable(); unregisterMigratable() }
		}
		err = s.readFirst(a)
	}
	if err == nil && a.reader == nil {
		a.release()
		return nil, true, nil
	}
	if err != nil {
		_, err = a.fail(mayHaveRun, err)
		return nil, mayHaveRun, err
	}
	return a, true, nil
}

// readFirst waits for the first event of a response. The attempt has no reader then if the response
// had none and was forwarded completely.
func (s *stream) readFirst(a *streamAttempt) error {
	attempt := a.attempt
	if attempt.metadata.Encoded {
		return ErrEncodedResponse
	}
	if attempt.response.StatusCode != http.StatusOK {
		return s.forwardFailure(attempt)
	}
	reader := newEventReader(attempt.response.Body, attempt.held.SetBytes)
	first, err := reader.next()
	// A filler is the end of the stream.
	if s.headerSent && (errors.Is(err, io.EOF) || first.filler) {
		return ErrNoEventResumed
	}
	if errors.Is(err, io.EOF) {
		return s.complete(attempt)
	}
	if err != nil {
		return attempt.held.Cause(err)
	}
	a.silence.Stop()
	a.move.stop(ErrEventTimeout)
	a.reader, a.first = reader, first
	attempt.answering = true
	s.req.service.observeFirstResponse(time.Since(attempt.sentAt))
	return nil
}

// recordEvent records that the endpoint has sent an event.
func (a *streamAttempt) recordEvent() {
	a.silence.Reset(a.stream.eventGapTimeout())
	a.attempt.grant.RecordProgress()
}

// lastEventID returns the ID of the last event before the next one.
func (a *streamAttempt) lastEventID() string {
	for i := len(a.heldBack) - 1; i >= 0; i-- {
		if id := a.heldBack[i].id; id != "" {
			return id
		}
	}
	return a.stream.lastEventID
}

// holdBack keeps an event until the next attempt has begun or failed. It reports whether there is room.
func (a *streamAttempt) holdBack(e event) bool {
	size := len(e.data)
	for _, held := range a.heldBack {
		size += len(held.data)
	}
	if size > maxHeldBackBytes {
		return false
	}
	a.heldBack = append(a.heldBack, e)
	return true
}

// forwardHeldBack forwards the events that were held back.
func (a *streamAttempt) forwardHeldBack() error {
	events := a.heldBack
	a.heldBack = nil
	for _, e := range events {
		if err := a.stream.writeEvent(a.attempt, e); err != nil {
			return err
		}
	}
	return nil
}

// fail ends and records an attempt that has failed, and returns the cause, and the attempt that has
// begun beside it, nil for none.
func (a *streamAttempt) fail(mayHaveRun bool, err error) (*streamAttempt, error) {
	g, req := a.stream.gateway, a.stream.req
	// Nothing of the answer is kept. If it stayed counted, it could be evicted, and nobody would
	// release it before the request ends.
	a.attempt.held.Release()
	if cause := context.Cause(a.ctx); errors.Is(cause, ErrEventTimeout) || isWithdrawal(cause) {
		err = cause
	}
	if mayHaveRun {
		// Other entries learn of a crash without waiting for the next attempt.
		g.recordCrash(a.parent, req, a.attempt, err)
	}
	next := a.move.takeNext()
	g.endFailedAttempt(req, a.attempt, mayHaveRun, a.outcome(err), err)
	a.release()
	if next == nil {
		if writeErr := a.forwardHeldBack(); writeErr != nil {
			err = writeErr
		}
	}
	return next, err
}

// outcome returns what a failure says of the endpoint.
func (a *streamAttempt) outcome(err error) admission.Outcome {
	if errors.Is(err, errCallerGone) || isWithdrawal(err) {
		return admission.Cancelled
	}
	if errors.Is(err, ErrNoEventResumed) && a.stream.req.runsBeside() > 0 {
		return admission.Cancelled
	}
	return attemptOutcome(a.parent, err)
}

// release frees what the attempt holds beside its slot.
func (a *streamAttempt) release() {
	a.silence.Stop()
	a.unregister()
	a.stream.req.endMove(a.move)
	a.cancel(nil)
}
