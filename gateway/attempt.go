package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/routing/places"
)

// ErrEndpointGone reports an endpoint that left the list while its place was
// being taken.
var ErrEndpointGone = eris.New("endpoint left the list")

// ForeignAnswerError reports an answer that belongs to another request.
type ForeignAnswerError struct {
	Want, Got string
}

// Error implements error.
func (e *ForeignAnswerError) Error() string {
	return fmt.Sprintf("answer belongs to request %q, not to %q", e.Got, e.Want)
}

// NotRunError reports an endpoint that did not run the request.
type NotRunError struct {
	Status int
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint did not run the request, status %d", e.Status)
}

// attempt is one try of a request at one endpoint.
type attempt struct {
	grant    *places.Grant
	endpoint *directory.Endpoint
	response *http.Response
	answer   Answer
	sent     time.Time
	cancel   context.CancelFunc
}

// end frees the place and the connection.
func (a *attempt) end(outcome places.Outcome) (setAside bool) {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	return a.grant.Done(outcome)
}

// send sends a request to the endpoint of a grant and returns once the
// answer's header has arrived. begun says whether the endpoint can have begun
// to run the request. The caller ends the attempt, also after an error.
func (g *Gateway) send(ctx context.Context, r *http.Request, req *request, grant *places.Grant, lastEvent string) (a *attempt, begun bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	a = &attempt{grant: grant, cancel: cancel, sent: time.Now()}
	a.endpoint = g.deps.Directory.View().Endpoints[grant.Endpoint]
	if a.endpoint == nil {
		return a, false, ErrEndpointGone
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	out := g.outgoing(httptrace.WithClientTrace(ctx, trace), r, req, a.endpoint, lastEvent)
	response, err := g.deps.Transport.RoundTrip(out) //nolint:bodyclose // attempt.end closes it.
	if connected.Load() {
		req.arrivals++
	}
	if err != nil {
		return a, connected.Load(), err
	}
	a.response = response
	a.answer = g.deps.Dialect.ReadAnswer(response.StatusCode, response.Header)
	if a.answer.HasLoad {
		g.takeAnswerLoad(req.service, a)
	}
	if a.answer.NotRun {
		return a, false, &NotRunError{Status: response.StatusCode}
	}
	if a.answer.ID != req.call.ID {
		return a, true, &ForeignAnswerError{Want: req.call.ID, Got: a.answer.ID}
	}
	return a, true, nil
}

// takeAnswerLoad keeps the load that an answer tells. The request itself is
// still counted there.
func (g *Gateway) takeAnswerLoad(s *service, a *attempt) {
	now := time.Now()
	s.gate.Change(func(p *places.Pool) {
		p.AnswerLoad(now, a.endpoint.ID, a.answer.Running, a.answer.Waiting)
	})
}

// outgoing builds the request for an endpoint. Its body hides behind a plain
// reader, so that the transport never sends it twice on its own.
func (g *Gateway) outgoing(ctx context.Context, r *http.Request, req *request, e *directory.Endpoint, lastEvent string) *http.Request {
	target := &url.URL{Scheme: "http", Host: e.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		target.Opaque = path // The path as it was written; the query follows it.
	}
	out := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(req.body)),
		Body:          io.NopCloser(io.MultiReader(bytes.NewReader(req.body))),
		Header: g.deps.Dialect.Forward(r.Header, Dispatch{
			Endpoint:     e,
			Organisation: req.organisation,
			Left:         req.left(time.Now()),
			Rank:         req.rank,
			LastEvent:    lastEvent,
		}),
	}
	return out.WithContext(ctx)
}
