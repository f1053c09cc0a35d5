package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/snipestep/snipestep/directory"
)

// maxUnknownBody bounds bodies while no document sets a limit.
const maxUnknownBody = 4 << 20

// ServeHTTP serves one request of a caller. It blocks until the answer is
// written or the caller left.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	req := &request{arrived: time.Now(), logger: g.deps.Logger}
	// Bounds bodies that are refused unread as well: the server skips them.
	boundBody(w, r, req.arrived.Add(positive(g.limits().IdleTimeout, defaultIdleTimeout)))
	refusal := g.admit(req, w, r)
	if refusal != nil {
		g.refuse(w, req, refusal)
		return
	}
	ctx, cancel := r.Context(), context.CancelFunc(func() {})
	if !req.deadline.IsZero() {
		ctx, cancel = context.WithDeadline(ctx, req.deadline)
	}
	defer cancel()
	req.service.budget.call()
	if req.route.Kind == directory.Stream {
		g.serveStream(ctx, w, r, req)
		return
	}
	g.servePlain(ctx, w, r, req)
}

// admit finds out what a request is and reads it whole. It returns nil if the
// request may be sent on.
func (g *Gateway) admit(req *request, w http.ResponseWriter, r *http.Request) *refusal {
	call, err := g.deps.Dialect.ReadCall(r.Header)
	req.call = call
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "malformed header", cause: err}
	}
	if g.refusing.Load() {
		return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: soonestReturn}
	}
	view := g.deps.Directory.View()
	document := view.Document
	if document == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no document known", retryAfter: time.Second}
	}
	if most := document.Limits.HeaderBytes; most > 0 && headerBytes(r) > most {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	req.route = document.Match(r.Host, r.URL.Path)
	if req.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refusal := g.identify(req, document); refusal != nil {
		return refusal
	}
	req.service = (*g.services.Load())[req.route.Pick(g.draws.float())]
	if req.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no such service", retryAfter: time.Second}
	}
	req.deadline = deadline(req)
	return readBody(req, w, r, document.Limits)
}

// limits returns those of the document in force, none while none is known.
func (g *Gateway) limits() directory.Limits {
	if document := g.deps.Directory.View().Document; document != nil {
		return document.Limits
	}
	return directory.Limits{}
}

// identify finds the organisation of the caller's key.
func (g *Gateway) identify(req *request, document *directory.Document) *refusal {
	req.rank = rank(usualPriority, req.route.Priority)
	if !document.HasKeys {
		return nil
	}
	organisation := document.Keys[req.call.Key]
	if organisation == nil {
		if req.route.Public {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	req.organisation = organisation.ID
	if organisation.HasPriority {
		req.rank = rank(organisation.Priority, req.route.Priority)
	}
	return nil
}

const (
	// rankSpan is more than the priorities of routes, 0 to 9.
	rankSpan = 10
	// usualPriority is that of organisations without one.
	usualPriority = 1
)

// rank orders requests: the organisation's priority goes first, the route's
// decides among equal ones. The first organisations in line share the
// endpoints with the others, so both have to count.
func rank(organisation, route int) int {
	return organisation*rankSpan + min(route, rankSpan-1)
}

// deadline is the earlier of the caller's deadline and the route's timeout.
func deadline(req *request) time.Time {
	limit := req.route.Timeout
	if req.call.Left > 0 && (limit == 0 || req.call.Left < limit) {
		limit = req.call.Left
	}
	if limit == 0 {
		return time.Time{}
	}
	return req.arrived.Add(limit)
}

// readBody reads the body whole. A body that has not come by the request's
// deadline is given up.
func readBody(req *request, w http.ResponseWriter, r *http.Request, limits directory.Limits) *refusal {
	most := limits.BodyBytes
	if most <= 0 {
		most = maxUnknownBody
	}
	if r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if !req.deadline.IsZero() {
		boundBody(w, r, req.deadline)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, most))
	if err != nil {
		return unreadable(err)
	}
	// The server reads on to notice that the caller leaves.
	boundBody(w, r, time.Time{})
	req.body = body
	return nil
}

// boundBody sets until when the rest of the body may come, the zero time for
// no bound. Requests without a body are left alone.
func boundBody(w http.ResponseWriter, r *http.Request, until time.Time) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// The one error is that the writer has no connection, as in tests that
	// record the answer; then no body can be slow.
	_ = http.NewResponseController(w).SetReadDeadline(until)
}

// unreadable turns the error of reading a body into a refusal.
func unreadable(err error) *refusal {
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body too slow", cause: err}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body not readable", cause: err}
	}
}

// headerBytes returns the size of the request's line and header as sent.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
