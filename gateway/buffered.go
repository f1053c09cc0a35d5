package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// ErrEncodedResponse reports a response with a content encoding: its body is not
// the endpoint's own.
var ErrEncodedResponse = eris.New("response has a content encoding")

// ErrResponseTooLarge reports a response larger than maxBufferedBytes.
var ErrResponseTooLarge = eris.New("response is too large to buffer")

const (
	// maxBufferedBytes bounds a response that is buffered before it is forwarded.
	maxBufferedBytes = 4 << 20
	// firstAttemptShare is the fraction of the remaining time after which an
	// idempotent request moves to another endpoint, so that a second attempt still fits.
	firstAttemptShare = 0.45
	// callerPieceBytes is the size of the pieces in which buffered responses are written, so that
	// a caller that reads slowly is told from one that does not read.
	callerPieceBytes = 4 << 10
)

// bufferedResponse is a response that was read completely.
type bufferedResponse struct {
	status int
	header http.Header
	// body is in pieces, so that a large one is not copied as it grows.
	body [][]byte
	// held counts the bytes of the body.
	held *heldbytes.Held
}

// serveBuffered serves a request whose response is buffered and forwarded when it is
// complete.
func (g *Gateway) serveBuffered(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	var lastResponse *bufferedResponse
	defer req.releasePlaced()
	for {
		grant, err := g.nextSlot(ctx, req, false)
		if err != nil {
			g.finishBuffered(w, r, req, lastResponse, err)
			return
		}
		response, mayHaveRun, err := g.tryBuffered(ctx, r, req, grant)
		if response != nil {
			if lastResponse != nil {
				lastResponse.held.Release()
			}
			lastResponse = response
		}
		if err == nil && (response.status < http.StatusInternalServerError || req.route.Kind != directory.Idempotent) {
			g.writeResponse(w, req, response)
			return
		}
		if req.placed != nil && ctx.Err() == nil {
			g.metrics.recordRetry("moved")
			continue
		}
		if requeues(ctx, err) {
			g.metrics.recordRetry("withdrawn")
			continue
		}
		if !g.mayRetry(ctx, req, mayHaveRun) {
			g.finishBuffered(w, r, req, lastResponse, err)
			return
		}
		g.metrics.recordRetry(retryReason(mayHaveRun))
	}
}

func retryReason(mayHaveRun bool) string {
	if mayHaveRun {
		return "begun"
	}
	return "not_run"
}

// tryBuffered sends the request to one endpoint and buffers its response. It also
// reports whether the endpoint may have run the request.
func (g *Gateway) tryBuffered(ctx context.Context, r *http.Request, req *request, grant *admission.Grant) (*bufferedResponse, bool, error) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var move *attemptMove
	if req.route.Kind == directory.Idempotent && req.mayRunAgain() {
		move = newMove(attemptCtx, cancel, g, req, grant, false)
		defer req.endMove(move)
		defer g.movable.add(grant, req, cancel, move)()
	}
	if move != nil && req.runs == 0 && !req.deadline.IsZero() {
		limit := time.Duration(firstAttemptShare * float64(req.timeLeft(time.Now())))
		timer := time.AfterFunc(limit, func() { move.start(context.DeadlineExceeded) })
		defer timer.Stop()
	}
	attempt, mayHaveRun, err := g.send(attemptCtx, r, req, grant, "")
	attempt.move = move
	if err != nil {
		err = moveCause(attemptCtx, err)
		g.recordFailedAttempt(ctx, req, attempt, mayHaveRun, attemptOutcome(ctx, err), err)
		return nil, mayHaveRun, err
	}
	response, err := bufferResponse(attempt)
	if err != nil {
		err = moveCause(attemptCtx, err)
		outcome := attemptOutcome(ctx, err)
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			// The endpoint was quick enough to begin its response, but not to end it.
			outcome = admission.Failed
		}
		g.recordFailedAttempt(ctx, req, attempt, true, outcome, err)
		return nil, true, err
	}
	if response.status >= http.StatusInternalServerError && req.route.Kind == directory.Idempotent {
		g.recordFailedAttempt(ctx, req, attempt, true, admission.Served, &statusError{status: response.status})
		return response, true, nil
	}
	if response.status < http.StatusInternalServerError {
		g.recordAnswer(req)
	}
	req.service.observeFirstResponse(time.Since(attempt.sentAt))
	req.firstResponseAt = time.Now()
	g.metrics.recordFirstResponse(req.rankLabel(), req.firstResponseAt.Sub(req.arrivedAt))
	attempt.end(admission.Served)
	return response, true, nil
}

// moveCause returns why an attempt was cancelled for its move, else err.
func moveCause(attemptCtx context.Context, err error) error {
	if cause := context.Cause(attemptCtx); errors.Is(cause, context.DeadlineExceeded) || errors.Is(cause, ErrEventTimeout) {
		return cause
	}
	return err
}

// bufferResponse reads a response completely.
func bufferResponse(attempt *endpointAttempt) (*bufferedResponse, error) {
	if attempt.metadata.Encoded {
		return nil, ErrEncodedResponse
	}
	// The length in the response to a HEAD request is not that of its body.
	if attempt.response.Body != http.NoBody && attempt.response.ContentLength > maxBufferedBytes {
		return nil, ErrResponseTooLarge
	}
	body, err := readPieces(attempt)
	if err == nil {
		err = attempt.held.Finish()
	}
	if err != nil {
		attempt.held.Release()
		return nil, attempt.held.Cause(err)
	}
	return &bufferedResponse{status: attempt.response.StatusCode, header: attempt.response.Header, body: body, held: attempt.held}, nil
}

// readPieces reads a body to its end. It returns ErrResponseTooLarge or heldbytes.ErrNoRoom for one
// that would take too much memory.
func readPieces(attempt *endpointAttempt) ([][]byte, error) {
	pieces, err := heldbytes.ReadPieces(io.LimitReader(attempt.response.Body, maxBufferedBytes+1), attempt.held)
	if err != nil {
		return nil, err
	}
	size := 0
	for _, piece := range pieces {
		size += len(piece)
	}
	if size > maxBufferedBytes {
		return nil, ErrResponseTooLarge
	}
	return pieces, nil
}

// finishBuffered ends a request for which no endpoint gave a successful response:
// it forwards the last response, if any, else refuses the request. It panics with
// http.ErrAbortHandler if the caller has left.
func (g *Gateway) finishBuffered(w http.ResponseWriter, r *http.Request, req *request, response *bufferedResponse, err error) {
	if r.Context().Err() != nil {
		g.finish(req, outcomeLeft, 0, "runs", req.runs, "body_bytes", len(req.body))
		// A caller that has only shut down its sending side would take what net/http sends on
		// return, an empty 200, for the answer.
		panic(http.ErrAbortHandler)
	}
	if response != nil {
		g.writeResponse(w, req, response)
		return
	}
	g.refuse(w, req, finalRefusal(req, err))
}

// finalRefusal returns the refusal for an abandoned request. A request that
// cannot have run may be retried by its caller; the outcome of any other is
// unknown.
func finalRefusal(req *request, err error) *refusal {
	if req.runs == 0 {
		return slotRefusal(err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time", cause: err}
	}
	return &refusal{status: http.StatusBadGateway, reason: "no complete response", cause: err}
}

// writeResponse forwards an endpoint's response unchanged. If its caller has taken nothing for a while,
// it may have to make room for others; then the connection is aborted.
func (g *Gateway) writeResponse(w http.ResponseWriter, req *request, response *bufferedResponse) {
	copyHeader(w.Header(), response.header)
	g.closeAfterResponse(w.Header())
	w.WriteHeader(response.status)
	controller := http.NewResponseController(w)
	err := response.held.StartWriting(func() { _ = controller.SetWriteDeadline(time.Unix(1, 0)) })
	for _, piece := range response.body {
		for part := range slices.Chunk(piece, callerPieceBytes) {
			if err == nil {
				_, err = w.Write(part)
				response.held.RecordProgress()
			}
		}
	}
	response.held.Release() // From now on it is not evicted.
	if response.held.Cause(nil) == nil {
		g.finish(req, "answered", response.status, "runs", req.runs+1, "error", errorText(err))
		return
	}
	g.finish(req, "broken_off", 0, "runs", req.runs+1, "error", errorText(heldbytes.ErrNoRoom))
	panic(http.ErrAbortHandler) // The writing was ended, or will be.
}

// hopByHopHeaders apply to one connection only and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies a response header without hop-by-hop headers.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(hopByHopHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // Keeps net/http from sniffing one.
	}
	if from.Get("Date") == "" {
		to["Date"] = nil
	}
}

// statusError reports a response with an error status.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return "endpoint answered " + http.StatusText(e.status)
}
