package entry

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"strings"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/problem"
	"github.com/snipestep/snipestep/routing"
	"github.com/snipestep/snipestep/telemetry"
)

const (
	kindHeader       = "Snipestep-Kind"
	bearerPrefix     = "Bearer "
	defaultMaxTokens = 256
	limitMaxTokens   = 1 << 16
)

// callerHandler serves callers over HTTP.
type callerHandler struct {
	svc *callService
	now func() time.Time
}

// register adds the callers' routes.
func (h *callerHandler) register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/chat/completions", h.traced(h.completion))
	mux.HandleFunc("POST /v1/completions", h.traced(h.completion))
	mux.HandleFunc("POST /v1/services/{service}/{operation}", h.traced(h.operation))
	mux.HandleFunc("/v1/chat/completions", h.methodRefused)
	mux.HandleFunc("/v1/completions", h.methodRefused)
	mux.HandleFunc("/v1/services/{service}/{operation}", h.methodRefused)
}

// methodRefused answers a method that the callers' resources do not take.
func (h *callerHandler) methodRefused(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Allow", http.MethodPost)
	h.fail(w, refuse(http.StatusMethodNotAllowed, CodeMethod, "this resource takes POST"))
}

// traced starts the entry's span of a call.
func (h *callerHandler) traced(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx := telemetry.Extract(r.Context(), r.Header.Get(telemetry.TraceparentHeader))
		ctx, span := h.svc.tracer.Start(ctx, "entry.call", trace.WithAttributes(
			attribute.String("path", r.URL.Path),
		))
		defer span.End()
		ctx, cancel := context.WithTimeout(ctx, h.svc.cfg.CallTimeout)
		defer cancel()
		next(w, r.WithContext(ctx))
	}
}

// admit checks the caller's token and returns the call without its rank.
func (h *callerHandler) admit(r *http.Request) (*call, error) {
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	if !ok {
		return nil, refuse(http.StatusUnauthorized, CodeUnauthorised, "a bearer token is required")
	}
	organisation, ok := h.svc.held.Policy().Organisation(fleet.TokenDigest(token))
	if !ok {
		return nil, refuse(http.StatusUnauthorized, CodeUnauthorised, "the bearer token is not known")
	}
	kind := r.Header.Get(kindHeader)
	started := h.now()
	return &call{
		id:           h.svc.callID(),
		organisation: organisation.ID,
		weight:       organisation.Weight,
		kind:         kind,
		rank:         h.svc.held.Policy().Rank(organisation.ID, kind),
		started:      started,
		deadline:     started.Add(h.svc.cfg.CallTimeout),
	}, nil
}

// readBody reads a bounded body of the wanted media type.
func (h *callerHandler) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	media, _, err := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if err != nil || media != "application/json" {
		return nil, refuse(http.StatusUnsupportedMediaType, CodeContentType, "the body must be application/json")
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.svc.cfg.MaxBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refuse(http.StatusRequestEntityTooLarge, CodeTooLarge, tooLarge.Error())
	}
	if err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "the body ended early")
	}
	return body, nil
}

// completion serves a call of a model.
func (h *callerHandler) completion(w http.ResponseWriter, r *http.Request) {
	c, err := h.admit(r)
	if err != nil {
		h.fail(w, err)
		return
	}
	m, err := h.parseCompletion(w, r, c)
	if err != nil {
		h.fail(w, err)
		return
	}
	err = m.run(r.Context())
	h.count(c, err)
	if err == nil {
		return
	}
	if stream, ok := m.sink.(*streamSink); ok && stream.started {
		stream.fail(problemOf(finalRefusal(err, true)))
		return
	}
	h.fail(w, err)
}

func (h *callerHandler) parseCompletion(w http.ResponseWriter, r *http.Request, c *call) (*modelCall, error) {
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > limitMaxTokens {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "max_tokens is out of range")
	}
	prompt := promptOf(req)
	if prompt == "" {
		return nil, refuse(http.StatusBadRequest, CodeBadRequest, "the request has no prompt")
	}
	if !h.knownModel(req.Model) {
		return nil, refuse(http.StatusNotFound, CodeUnknownModel, "model "+req.Model+" is not placed")
	}
	c.fingerprint = routing.Fingerprint(c.organisation, c.kind, []byte(prompt))
	if err := h.checkQuarantine(c); err != nil {
		return nil, err
	}
	return &modelCall{
		call:      c,
		svc:       h.svc,
		model:     req.Model,
		prompt:    prompt,
		prefix:    endpoint.PromptPrefix(prompt),
		maxTokens: req.MaxTokens,
		sink:      sinkFor(w, req, c.id),
	}, nil
}

func (h *callerHandler) knownModel(name string) bool {
	_, ok := h.svc.held.Policy().Model(name)
	return ok
}

func (h *callerHandler) checkQuarantine(c *call) error {
	if wait, ok := h.svc.quarantine.refused(c.fingerprint); ok {
		return quarantineRefusal(wait)
	}
	return nil
}

func promptOf(req chatRequest) string {
	if len(req.Messages) == 0 {
		return req.Prompt
	}
	contents := make([]string, 0, len(req.Messages))
	for _, m := range req.Messages {
		contents = append(contents, m.Content)
	}
	return strings.Join(contents, "\n")
}

func sinkFor(w http.ResponseWriter, req chatRequest, id string) tokenSink {
	if req.Stream {
		return newStreamSink(w, id, req.Model)
	}
	return &wholeSink{w: w, id: id, model: req.Model}
}

// operation serves a call of a plain service.
func (h *callerHandler) operation(w http.ResponseWriter, r *http.Request) {
	c, err := h.admit(r)
	if err != nil {
		h.fail(w, err)
		return
	}
	p, err := h.parseOperation(w, r, c)
	if err != nil {
		h.fail(w, err)
		return
	}
	answer, err := p.run(r.Context())
	h.count(c, err)
	if err != nil {
		h.fail(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

func (h *callerHandler) parseOperation(w http.ResponseWriter, r *http.Request, c *call) (*plainCall, error) {
	service, name := r.PathValue("service"), r.PathValue("operation")
	op, ok := h.svc.held.Policy().Operation(service, name)
	if !ok {
		return nil, refuse(http.StatusNotFound, CodeUnknownService, "operation "+service+"/"+name+" does not exist")
	}
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	c.rank = op.Rank
	key := r.Header.Get(endpoint.IdempotencyKeyHeader)
	c.fingerprint = operationFingerprint(c, service, op, key, body)
	if err := h.checkQuarantine(c); err != nil {
		return nil, err
	}
	return &plainCall{
		call:       c,
		svc:        h.svc,
		service:    service,
		operation:  name,
		idempotent: op.Idempotent,
		key:        key,
		body:       body,
	}, nil
}

// operationFingerprint identifies a call of a plain service. Calls that are
// not idempotent differ by their keys: two purchases with equal bodies are two
// requests.
func operationFingerprint(c *call, service string, op fleet.Operation, key string, body []byte) uint64 {
	if op.Idempotent {
		key = ""
	}
	return routing.Fingerprint(c.organisation, strings.Join([]string{service, op.Name, key}, "\x00"), body)
}

// count reports the end of a call.
func (h *callerHandler) count(c *call, err error) {
	outcome := "answered"
	if err != nil {
		outcome = "refused"
	}
	h.svc.scope.Tagged(map[string]string{
		telemetry.TagRank:    c.rank.String(),
		telemetry.TagOutcome: outcome,
	}).Counter(telemetry.MetricCalls).Inc(1)
}

// fail answers with the problem document of an error.
func (h *callerHandler) fail(w http.ResponseWriter, err error) {
	p := problemOf(finalRefusal(err, false))
	h.svc.scope.Tagged(map[string]string{
		telemetry.TagCode: p.Code,
		telemetry.TagRun:  p.Run,
	}).Counter(telemetry.MetricRefusals).Inc(1)
	problem.Write(w, p)
}

func refuse(status int, code, detail string) *RefusedError {
	return &RefusedError{Status: status, Code: code, Detail: detail}
}

func problemOf(r *RefusedError) problem.Problem {
	p := *problem.New(r.Status, r.Code, r.Detail)
	p.Run = problem.RunNotRun
	if r.Unknown {
		p.Run = problem.RunUnknown
	}
	p.RetryAfterMS = r.RetryAfter.Milliseconds()
	return p
}

// scopedKey keeps the idempotency keys of organisations apart.
func scopedKey(organisation core.OrganisationID, service, operation, key string) string {
	return strings.Join([]string{string(organisation), service, operation, key}, "\x00")
}
