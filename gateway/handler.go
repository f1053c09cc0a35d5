package gateway

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"time"

	"github.com/snipestep/snipestep/directory"
	"github.com/snipestep/snipestep/internal/ingress"
	"github.com/snipestep/snipestep/routing/admission"
)

// defaultMaxBodyBytes bounds request bodies while no document sets a limit.
const defaultMaxBodyBytes = 4 << 20

// ServeHTTP serves one request of a caller. It blocks until the response is
// written or the caller disconnects.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.active.Add(1)
	defer g.active.Add(-1)
	req := &request{arrivedAt: time.Now(), logger: g.deps.Logger, loadAtChoice: admission.LoadEstimate{ReportAge: -1}}
	defer g.logPanic(req)
	// This deadline also covers the body of a refused request, which the server
	// discards.
	setBodyDeadline(w, r, req.arrivedAt.Add(durationOrDefault(g.limits().IdleTimeout, defaultIdleTimeout)))
	refusal := g.prepareRequest(req, w, r)
	if refusal != nil {
		g.refuse(w, req, refusal)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	unlink := context.AfterFunc(g.stopped, func() { cancel(context.Cause(g.stopped)) })
	defer unlink()
	if !req.deadline.IsZero() {
		var cancelDeadline context.CancelFunc
		ctx, cancelDeadline = context.WithDeadline(ctx, req.deadline)
		defer cancelDeadline()
	}
	defer g.trials.end(req)
	defer req.releaseHeld()
	req.service.retryBudget.recordRequest()
	if req.route.Kind == directory.Streaming {
		g.serveStream(ctx, w, r, req)
		return
	}
	g.serveBuffered(ctx, w, r, req)
}

// logPanic logs a panic of the handler, which costs the caller its answer, and ends the connection.
func (g *Gateway) logPanic(req *request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause != http.ErrAbortHandler { //nolint:errorlint // It is a panic value, which is never wrapped.
		g.deps.Logger.Error("handler panicked", "request", req.metadata.ID, "body_bytes", len(req.body), "panic", cause, "stack", string(debug.Stack()))
		g.finish(req, "panicked", 0)
	}
	panic(http.ErrAbortHandler)
}

// prepareRequest finds the route, organisation, service and deadline of a request and
// reads its body. It returns nil if the request may be forwarded.
func (g *Gateway) prepareRequest(req *request, w http.ResponseWriter, r *http.Request) *refusal {
	conn := ingress.FromContext(r.Context())
	if err := conn.BeginRequest(r.Header); err != nil {
		return memoryRefusal(err)
	}
	metadata, err := g.deps.HeaderCodec.ReadRequest(r.Header)
	req.metadata = metadata
	if err != nil {
		return &refusal{status: http.StatusBadRequest, reason: "malformed header", cause: err}
	}
	if g.rejecting.Load() {
		return stoppingRefusal()
	}
	view := g.deps.Directory.View()
	document := view.Document
	if document == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no configuration document", retryAfter: time.Second}
	}
	if maxBytes := document.Limits.MaxHeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		return &refusal{status: http.StatusRequestHeaderFieldsTooLarge, reason: "header too large"}
	}
	req.route = document.Match(r.Host, r.URL.Path)
	if req.route == nil {
		return &refusal{status: http.StatusNotFound, reason: "no route"}
	}
	if refusal := g.authenticate(req, document); refusal != nil {
		return refusal
	}
	req.residency = newResidency(document, req.route, r.Host, r.URL.Path, metadata.Key)
	req.service = (*g.services.Load())[req.route.Pick(g.random.uniform())]
	if req.service == nil {
		return &refusal{status: http.StatusServiceUnavailable, reason: "no such service", retryAfter: time.Second}
	}
	req.deadline = requestDeadline(req)
	if answerBy := g.answerBy.Load(); answerBy != nil {
		if req.expectedEnd().After(*answerBy) {
			return stoppingRefusal()
		}
		req.deadline = earlier(req.deadline, *answerBy)
	}
	if refusal := readBody(req, w, r, document.Limits); refusal != nil {
		return refusal
	}
	if metadata.ID == "" {
		// Nothing would tell to which request an endpoint's response belongs.
		return &refusal{status: http.StatusBadRequest, reason: "no request ID"}
	}
	if err := conn.PassOn(); err != nil {
		return memoryRefusal(err)
	}
	req.setFingerprints(r)
	return nil
}

// memoryRefusal refuses a request for which callers hold too much memory. Its connection is closed.
func memoryRefusal(err error) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "callers hold too much memory", retryAfter: time.Second, cause: err, closes: true}
}

// stoppingRefusal refuses a request that cannot end before the entry does.
func stoppingRefusal() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: "stopping", retryAfter: minRetryAfter}
}

// earlier returns the earlier of a deadline, the zero time for none, and a limit.
func earlier(deadline, limit time.Time) time.Time {
	if deadline.IsZero() || limit.Before(deadline) {
		return limit
	}
	return deadline
}

// limits returns the limits of the current document, none while there is no
// document.
func (g *Gateway) limits() directory.Limits {
	if document := g.deps.Directory.View().Document; document != nil {
		return document.Limits
	}
	return directory.Limits{}
}

// authenticate sets the organisation of the caller's key and the request's rank.
func (g *Gateway) authenticate(req *request, document *directory.Document) *refusal {
	req.rank = combinedRank(defaultPriority, req.route.Priority)
	if !document.RequiresKeys {
		return nil
	}
	organisation := document.OrganisationByKey[req.metadata.Key]
	if organisation == nil {
		if req.route.Public {
			return nil
		}
		return &refusal{status: http.StatusUnauthorized, reason: "unknown key"}
	}
	req.organisation = organisation.ID
	if organisation.HasPriority {
		req.rank = combinedRank(organisation.Priority, req.route.Priority)
	}
	return nil
}

const (
	// ranksPerPriority is the number of ranks per priority of an organisation. It
	// exceeds the highest priority of a route, 9.
	ranksPerPriority = 10
	// defaultPriority applies to organisations without one.
	defaultPriority = 1
)

// combinedRank returns a rank that orders requests by the organisation's priority,
// then by the route's. Urgent organisations share the endpoints with the others, so
// both priorities have to count.
func combinedRank(organisationPriority, routePriority int) int {
	return organisationPriority*ranksPerPriority + min(routePriority, ranksPerPriority-1)
}

// requestDeadline returns the earlier of the caller's deadline and the route's
// timeout, the zero time for neither.
func requestDeadline(req *request) time.Time {
	limit := req.route.Timeout
	if req.metadata.TimeLeft > 0 && (limit == 0 || req.metadata.TimeLeft < limit) {
		limit = req.metadata.TimeLeft
	}
	if limit == 0 {
		return time.Time{}
	}
	return req.arrivedAt.Add(limit)
}

// maxBodyBytes returns the size of the largest body.
func maxBodyBytes(limits directory.Limits) int64 {
	if limits.MaxBodyBytes <= 0 {
		return defaultMaxBodyBytes
	}
	return limits.MaxBodyBytes
}

// readBody reads the complete body. It refuses a body that has not arrived by the
// request's deadline.
func readBody(req *request, w http.ResponseWriter, r *http.Request, limits directory.Limits) *refusal {
	maxBytes := maxBodyBytes(limits)
	if r.ContentLength > maxBytes {
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	}
	if !req.deadline.IsZero() {
		setBodyDeadline(w, r, req.deadline)
	}
	body, err := ingress.FromContext(r.Context()).ReadBody(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err != nil {
		return bodyRefusal(err)
	}
	// The server keeps reading to notice that the caller disconnects.
	setBodyDeadline(w, r, time.Time{})
	req.body = body
	return nil
}

// setBodyDeadline sets the read deadline for the rest of the body, the zero time
// for none. It ignores requests without a body.
func setBodyDeadline(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.Body == nil || r.Body == http.NoBody {
		return
	}
	// It fails only if the writer has no connection, as in tests that record the
	// response; then no body can be slow.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// bodyRefusal maps an error of reading the body to a refusal.
func bodyRefusal(err error) *refusal {
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ingress.ErrMemory):
		return memoryRefusal(err)
	case errors.As(err, &tooLarge):
		return &refusal{status: http.StatusRequestEntityTooLarge, reason: "body too large", cause: err}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{status: http.StatusRequestTimeout, reason: "body too slow", cause: err}
	default:
		return &refusal{status: http.StatusBadRequest, reason: "body not readable", cause: err}
	}
}

// headerBytes returns the least size that the request line and header can have had as sent: white
// space around values and carriage returns are optional. The bytes received are bounded where they
// are read, see package ingress.
func headerBytes(r *http.Request) int {
	const separators = len(":\n")
	size := len(r.Method) + len(" ") + len(r.RequestURI) + len(" ") + len(r.Proto) + len("\n")
	if r.ProtoAtLeast(1, 1) { // Older requests may have no such line.
		size += len("Host") + len(r.Host) + separators
	}
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return size
}
