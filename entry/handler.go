package entry

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/internal/bearer"
	"github.com/snipestep/snipestep/internal/ingress"
	"github.com/snipestep/snipestep/internal/mediatype"
	"github.com/snipestep/snipestep/problem"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	kindHeader       = "Snipestep-Kind"
	defaultMaxTokens = 256
	maxTokensLimit   = 1 << 16
)

// callerHandler serves callers over HTTP.
type callerHandler struct {
	svc *callService
	now func() time.Time
}

// register adds the handlers of the callers' resources.
func (h *callerHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.traced(h.serveCompletion))
	mux.HandleFunc("POST /v1/completions", h.traced(h.serveCompletion))
	mux.HandleFunc("POST /v1/services/{service}/{operation}", h.traced(h.serveOperation))
	mux.HandleFunc("/v1/chat/completions", h.methodNotAllowed)
	mux.HandleFunc("/v1/completions", h.methodNotAllowed)
	mux.HandleFunc("/v1/services/{service}/{operation}", h.methodNotAllowed)
}

// methodNotAllowed refuses methods that the callers' resources do not support.
func (h *callerHandler) methodNotAllowed(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	h.writeRefusal(w, newRefusal(http.StatusMethodNotAllowed, CodeMethodNotAllowed, "this resource takes POST"))
}

// traced wraps a handler in the entry's span and the call timeout.
func (h *callerHandler) traced(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := telemetry.Extract(r.Context(), r.Header.Get(telemetry.TraceparentHeader))
		ctx, span := h.svc.tracer.Start(ctx, "entry.call", trace.WithAttributes(
			attribute.String("path", r.URL.Path),
		))
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, h.svc.cfg.CallTimeout)
		defer cancel()
		unlink := context.AfterFunc(h.svc.ended, cancel)
		defer unlink()
		next(w, r.WithContext(ctx))
	}
}

// newCall authenticates the caller and returns the call with the rank of its
// kind; an operation's own rank replaces it.
func (h *callerHandler) newCall(r *http.Request) (*call, error) {
	token, ok := bearer.Token(r)
	if !ok {
		return nil, newRefusal(http.StatusUnauthorized, CodeUnauthorised, "a bearer token is required")
	}
	organisation, ok := h.svc.documents.Compiled().Organisation(fleet.TokenDigest(token))
	if !ok {
		return nil, newRefusal(http.StatusUnauthorized, CodeUnauthorised, "the bearer token is not known")
	}
	kind := r.Header.Get(kindHeader)
	arrivedAt := h.now()
	return &call{
		id:           h.svc.newCallID(),
		organisation: organisation.ID,
		weight:       organisation.Weight,
		kind:         kind,
		rank:         h.svc.documents.Compiled().Rank(organisation.ID, kind),
		arrivedAt:    arrivedAt,
		deadline:     arrivedAt.Add(h.svc.cfg.CallTimeout),
	}, nil
}

// readBody reads a JSON body of at most Config.MaxBody bytes.
func (h *callerHandler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if !mediatype.Is(r.Header, mediatype.JSON) {
		return nil, newRefusal(http.StatusUnsupportedMediaType, CodeContentType, "the body must be application/json")
	}
	conn := ingress.FromContext(r.Context())
	control := http.NewResponseController(w)
	// It fails only if the writer has no connection, as in tests that record the response.
	_ = control.SetReadDeadline(time.Now().Add(h.svc.cfg.CallTimeout))
	body, err := conn.ReadBody(http.MaxBytesReader(w, r.Body, h.svc.cfg.MaxBody), r.ContentLength)
	if err == nil {
		// The call's message holds a copy.
		err = errors.Join(conn.HoldBody(2*len(body)), conn.PassOn())
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, ingress.ErrMemory):
		w.Header().Set("Connection", "close")
		return nil, memoryRefusal()
	case errors.As(err, &tooLarge):
		return nil, newRefusal(http.StatusRequestEntityTooLarge, CodeBodyTooLarge, tooLarge.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, newRefusal(http.StatusRequestTimeout, CodeDeadline, "the body came too slowly")
	case err != nil:
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, "the body ended early")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

func (h *callerHandler) checkQuarantine(c *call) error {
	if wait, ok := h.svc.quarantine.quarantinedFor(c.fingerprint); ok {
		return quarantineRefusal(wait)
	}
	return nil
}

// operationFingerprint identifies a call of a plain service. Calls that are
// not idempotent also differ by their keys: two purchases with equal bodies are
// two requests.
func operationFingerprint(c *call, service string, op fleet.Operation, key string, body []byte) uint64 {
	if op.Idempotent {
		key = ""
	}
	return routing.Fingerprint(c.organisation, strings.Join([]string{service, op.Name, key}, "\x00"), body)
}

// countOutcome counts a call by its rank and outcome.
func (h *callerHandler) countOutcome(c *call, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "refused"
	}
	h.svc.scope.Tagged(map[string]string{
		telemetry.TagRank:    c.rank.String(),
		telemetry.TagOutcome: outcome,
	}).Counter(telemetry.MetricCalls).Inc(1)
}

// writeRefusal responds with the problem document of an error.
func (h *callerHandler) writeRefusal(w http.ResponseWriter, err error) {
	p := problemOf(finalRefusal(err, false))
	h.svc.scope.Tagged(map[string]string{
		telemetry.TagCode: p.Code,
		telemetry.TagRun:  p.Execution,
	}).Counter(telemetry.MetricRefusals).Inc(1)
	problem.Write(w, p)
}

func newRefusal(status int, code, detail string) *RefusedError {
	return &RefusedError{Status: status, Code: code, Detail: detail}
}

func problemOf(r *RefusedError) problem.Problem {
	p := *problem.New(r.Status, r.Code, r.Detail)
	p.Execution = problem.ExecutionNotStarted
	if r.ExecutionUnknown {
		p.Execution = problem.ExecutionUnknown
	}
	p.RetryAfterMS = r.RetryAfter.Milliseconds()
	return p
}
