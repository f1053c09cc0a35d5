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
	"github.com/snipestep/snipestep/routing/places"
)

// ErrEncodedAnswer reports an answer whose body is not the endpoint's own.
var ErrEncodedAnswer = eris.New("answer has a content encoding")

// ErrTooLarge reports an answer above maxWholeAnswer.
var ErrTooLarge = eris.New("answer is too large to be held")

const (
	// maxWholeAnswer bounds an answer that is read before it is passed on.
	maxWholeAnswer = 4 << 20
	// firstTryShare is the part of the time left that the first try of a
	// repeatable request may take, so that a second one still fits.
	firstTryShare = 0.45
)

// wholeAnswer is an answer that was read to its end.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// servePlain answers a request whose answer is passed on as a whole.
func (g *Gateway) servePlain(ctx context.Context, w http.ResponseWriter, r *http.Request, req *request) {
	var answer *wholeAnswer
	for {
		grant, err := g.acquire(ctx, req, false)
		if err != nil {
			g.endPlain(w, r, req, answer, err)
			return
		}
		got, begun, err := g.tryPlain(ctx, r, req, grant)
		if got != nil {
			answer = got
		}
		if err == nil && (got.status < http.StatusInternalServerError || req.route.Kind != directory.RunAgain) {
			g.writeWhole(w, req, got)
			return
		}
		if !g.mayRepeat(ctx, req, begun) {
			g.endPlain(w, r, req, answer, err)
			return
		}
		g.metrics.repeated(repeatReason(begun))
	}
}

func repeatReason(begun bool) string {
	if begun {
		return "begun"
	}
	return "not_run"
}

// tryPlain sends the request to one endpoint and reads its answer.
func (g *Gateway) tryPlain(ctx context.Context, r *http.Request, req *request, grant *places.Grant) (*wholeAnswer, bool, error) {
	tryCtx, cancel := ctx, context.CancelFunc(func() {})
	if req.route.Kind == directory.RunAgain && req.runs == 0 && !req.deadline.IsZero() {
		limit := time.Duration(firstTryShare * float64(req.left(time.Now())))
		tryCtx, cancel = context.WithTimeout(ctx, limit)
	}
	defer cancel()
	a, begun, err := g.send(tryCtx, r, req, grant, "")
	var answer *wholeAnswer
	if err == nil {
		answer, err = readWhole(a)
	}
	if err != nil {
		g.failed(req, a, begun, outcomeOf(ctx, err), err)
		return nil, begun, err
	}
	if answer.status >= http.StatusInternalServerError && req.route.Kind == directory.RunAgain {
		g.failed(req, a, true, places.Served, &statusError{status: answer.status})
		return answer, true, nil
	}
	req.service.measureFirst(time.Since(a.sent))
	req.first = time.Now()
	g.metrics.first(req.rankName(), req.first.Sub(req.arrived))
	a.end(places.Served)
	return answer, true, nil
}

// readWhole reads an answer to its end.
func readWhole(a *attempt) (*wholeAnswer, error) {
	if a.answer.Encoded {
		return nil, ErrEncodedAnswer
	}
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxWholeAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxWholeAnswer {
		return nil, ErrTooLarge
	}
	return &wholeAnswer{status: a.response.StatusCode, header: a.response.Header, body: body}, nil
}

// endPlain gives the final answer where no endpoint gave a good one.
func (g *Gateway) endPlain(w http.ResponseWriter, r *http.Request, req *request, answer *wholeAnswer, err error) {
	if r.Context().Err() != nil {
		g.finish(req, "left", 0, "runs", req.runs)
		return
	}
	if answer != nil {
		g.writeWhole(w, req, answer)
		return
	}
	g.refuse(w, req, finalRefusal(req, err))
}

// finalRefusal is a true answer for a request that is given up: one that
// cannot have run may come back, the outcome of the others is unknown.
func finalRefusal(req *request, err error) *refusal {
	if req.runs == 0 {
		return noPlace(err)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &refusal{status: http.StatusGatewayTimeout, reason: "no answer in time", cause: err}
	}
	return &refusal{status: http.StatusBadGateway, reason: "no whole answer", cause: err}
}

// writeWhole passes an endpoint's answer on unchanged.
func (g *Gateway) writeWhole(w http.ResponseWriter, req *request, answer *wholeAnswer) {
	copyHeader(w.Header(), answer.header)
	w.WriteHeader(answer.status)
	_, err := w.Write(answer.body)
	g.finish(req, "answered", answer.status, "runs", req.runs+1, "error", errorText(err))
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// copyHeader copies an answer's header without what concerns a connection.
func copyHeader(to, from http.Header) {
	for name, values := range from {
		if !slices.Contains(connectionHeaders, name) {
			to[name] = slices.Clone(values)
		}
	}
	if from.Get("Content-Type") == "" {
		to["Content-Type"] = nil // net/http would guess one.
	}
	if from.Get("Date") == "" {
		to["Date"] = nil
	}
}

// statusError reports an answer with a failure status.
type statusError struct {
	status int
}

// Error implements error.
func (e *statusError) Error() string {
	return "endpoint answered " + http.StatusText(e.status)
}
