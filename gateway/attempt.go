package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/connguard"
	"github.com/snipestep/snipestep/internal/heldbytes"
	"github.com/snipestep/snipestep/routing/admission"
)

// ErrEndpointRemoved reports an endpoint that was removed from the endpoint list
// while one of its slots was being acquired.
var ErrEndpointRemoved = eris.New("endpoint was removed from the endpoint list")

// ErrProtocolSwitched reports an endpoint that switched to another protocol, which no
// request asks for. The bytes that follow are no response and have no end.
var ErrProtocolSwitched = eris.New("endpoint switched to another protocol")

// ErrConnectionsMetAgain reports an attempt that got only connections which had carried the
// request, or one with its ID, before. That is no fault of the endpoint.
var ErrConnectionsMetAgain = eris.New("all connections carried the request before")

// MismatchedResponseError reports a response that belongs to another request.
type MismatchedResponseError struct {
	Want, Got string
}

// Error implements error.
func (e *MismatchedResponseError) Error() string {
	return fmt.Sprintf("response belongs to request %q, not to %q", e.Got, e.Want)
}

// NotRunError reports an endpoint that did not run the request.
type NotRunError struct {
	Status int
}

// Error implements error.
func (e *NotRunError) Error() string {
	return fmt.Sprintf("endpoint did not run the request, status %d", e.Status)
}

// endpointAttempt is one attempt to run a request at an endpoint.
type endpointAttempt struct {
	grant    *admission.Grant
	endpoint *directory.Endpoint
	response *http.Response
	metadata ResponseMetadata
	// move is that of the attempt, nil if it may not move.
	move *attemptMove
	// progress is that of the last connection that the attempt got, nil before.
	progress *connguard.Progress
	sentAt   time.Time
	// answering says that an event of the response has arrived.
	answering bool
	// held counts the bytes of the response that are in memory.
	held   *heldbytes.Held
	cancel context.CancelFunc
}

// end frees the slot and the connection. It reports whether the outcome opened the
// circuit breaker of the endpoint.
func (a *endpointAttempt) end(outcome admission.Outcome) (breakerOpened bool) {
	a.cancel()
	if a.response != nil {
		_ = a.response.Body.Close()
	}
	return a.grant.Done(outcome)
}

// send sends a request to the endpoint of a grant and returns when the response
// header has arrived. mayHaveRun says whether the endpoint may have started to
// run the request. The caller ends the attempt, also after an error.
func (g *Gateway) send(ctx context.Context, r *http.Request, req *request, grant *admission.Grant, lastEventID string) (attempt *endpointAttempt, mayHaveRun bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	attempt = &endpointAttempt{
		grant: grant, cancel: func() { cancel(nil) }, sentAt: time.Now(),
		held: g.answers.Hold(ctx, grant.EndpointID, cancel),
	}
	req.held = append(req.held, attempt.held)
	req.attempts++
	view := g.deps.Directory.View()
	attempt.endpoint = view.Endpoints[grant.EndpointID]
	if attempt.endpoint == nil {
		return attempt, false, ErrEndpointRemoved
	}
	req.residency.update(view.Document)
	if reason := withdrawal(req, view, attempt.endpoint); reason != "" {
		g.metrics.recordWithdrawnAttempt(reason)
		return attempt, false, &UnavailableError{EndpointID: attempt.endpoint.ID, Reason: reason}
	}
	if err := g.checkCold(grant); err != nil {
		return attempt, false, err
	}
	// The process may have been paused since the choice, so that the minimum version of
	// the choice is out of date.
	minVersion := g.minVersion(g.deps.Now(), view, req.service.name, versionSafetyMargin)
	g.metrics.recordAttemptVersion(attempt.sentAt, req.service.name, grant.Estimate, minVersion)
	response, progress, err := g.roundTrip(ctx, r, req, attempt.endpoint, lastEventID) //nolint:bodyclose // attempt.end closes it.
	attempt.progress = progress
	if progress.Sent() {
		req.endpointsReached++
	}
	if err != nil {
		return attempt, progress.Sent(), err
	}
	attempt.response = response
	if response.StatusCode == http.StatusSwitchingProtocols {
		return attempt, true, ErrProtocolSwitched
	}
	attempt.metadata = g.deps.HeaderCodec.ReadResponse(response.StatusCode, response.Header)
	if attempt.metadata.HasLoad {
		g.recordResponseLoad(req.service, attempt)
	}
	// Only its ID tells to which request a response belongs: an endpoint may write an earlier
	// response once more.
	belongs := attempt.metadata.ID == req.metadata.ID
	g.recordRateLimit(req.service, attempt, belongs)
	if belongs {
		g.recordSlowdown(req.service, attempt)
	}
	g.recordRest(req.service, attempt)
	if attempt.metadata.Leaving {
		g.deps.Directory.SetLeaving(attempt.endpoint.ID, attempt.endpoint.StartedUnixMS)
	}
	if !belongs {
		// The response to this request may still follow.
		progress.Retire()
		return attempt, true, &MismatchedResponseError{Want: req.metadata.ID, Got: attempt.metadata.ID}
	}
	if attempt.metadata.NotRun {
		progress.EndExchange()
		return attempt, false, &NotRunError{Status: response.StatusCode}
	}
	return attempt, true, nil
}

// maxLostIdleConns bounds the kept-alive connections that one attempt may find unusable. They
// become so together when an endpoint restarts. It also bounds those that carried the request before.
const maxLostIdleConns = 16

// roundTrip sends a request and returns when the response header has arrived. A request that
// could not be written to a kept-alive connection is sent on another one.
func (g *Gateway) roundTrip(ctx context.Context, r *http.Request, req *request, endpoint *directory.Endpoint, lastEventID string) (*http.Response, *connguard.Progress, error) {
	for lost, metAgain := 0, 0; ; {
		progress := connguard.NewProgress(req.metadata.ID, &req.exchanges)
		progress.OnConnectionEnd(g.metrics.recordCancelledConnection)
		endpointRequest := g.newEndpointRequest(connguard.WithProgress(ctx, progress), r, req, endpoint, lastEventID)
		response, err := g.deps.Transport.RoundTrip(endpointRequest)
		if err == nil || !progress.LostIdleConn() || ctx.Err() != nil {
			return response, progress, err
		}
		if progress.MetAgain() {
			g.metrics.recordConnectionMetAgain()
			metAgain++
		} else {
			lost++
		}
		if lost > maxLostIdleConns {
			return response, progress, err
		}
		if metAgain > maxLostIdleConns {
			return response, progress, ErrConnectionsMetAgain
		}
	}
}

// recordResponseLoad records the load from a response header. It still includes
// the request itself.
func (g *Gateway) recordResponseLoad(service *service, attempt *endpointAttempt) {
	now := time.Now()
	service.gate.Update(func(p *admission.Pool) {
		p.ReportResponseLoad(now, attempt.endpoint.ID, attempt.metadata.Running, attempt.metadata.Waiting)
	})
}

// newEndpointRequest builds the request for an endpoint. Its body is wrapped in a
// plain reader, so that the transport never resends it on its own.
func (g *Gateway) newEndpointRequest(ctx context.Context, r *http.Request, req *request, endpoint *directory.Endpoint, lastEventID string) *http.Request {
	target := &url.URL{Scheme: "http", Host: endpoint.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery, ForceQuery: r.URL.ForceQuery}
	if path, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(path, "/") && !strings.HasPrefix(path, "//") {
		target.Opaque = path // The path as the caller encoded it; the query follows it.
	}
	endpointRequest := &http.Request{
		Method: r.Method, URL: target, Host: r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		ContentLength: int64(len(req.body)),
		Body:          io.NopCloser(io.MultiReader(bytes.NewReader(req.body))),
		Header: g.deps.HeaderCodec.Forward(r.Header, ForwardMetadata{
			Endpoint:     endpoint,
			Organisation: req.organisation,
			TimeLeft:     req.timeLeft(time.Now()),
			Rank:         req.rank,
			LastEventID:  lastEventID,
		}),
	}
	return endpointRequest.WithContext(ctx)
}
