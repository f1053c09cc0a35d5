package operator

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/fleet"
	"github.com/snipestep/snipestep/intent"
	"github.com/snipestep/snipestep/internal/bearer"
	"github.com/snipestep/snipestep/internal/mediatype"
	"github.com/snipestep/snipestep/problem"
)

const (
	maxIntentBytes = 256 << 10
	maxPlanIDBytes = 64
)

type handler struct {
	service Service
	tokens  map[core.Digest]bool
}

// NewHandler returns the handler of the operator API. tokens holds the
// fleet.TokenDigest of each operator's bearer token; if it is empty, every request
// is rejected.
func NewHandler(service Service, tokens []core.Digest) http.Handler {
	h := &handler{service: service, tokens: make(map[core.Digest]bool, len(tokens))}
	for _, token := range tokens {
		h.tokens[token] = true
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/intents", allowMethod(http.MethodPost, h.propose))
	mux.HandleFunc("/v1/plans/{id}", allowMethod(http.MethodGet, h.plan))
	mux.HandleFunc("/v1/plans/{id}/diff", allowMethod(http.MethodGet, h.diff))
	mux.HandleFunc("/v1/plans/{id}/confirm", allowMethod(http.MethodPost, h.confirm))
	mux.HandleFunc("/v1/status", allowMethod(http.MethodGet, h.status))
	mux.HandleFunc("/v1/watch", allowMethod(http.MethodGet, h.watch))
	mux.HandleFunc("/", notFound)
	return h.requireToken(mux)
}

func allowMethod(method string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Method == method {
			next(w, r)
			return
		}
		w.Header().Set("Allow", method)
		writeProblem(w, http.StatusMethodNotAllowed, CodeMethodNotAllowed, "this resource takes "+method)
	}
}

func notFound(w http.ResponseWriter, _ *http.Request) {
	writeProblem(w, http.StatusNotFound, CodeNotFound, "this resource does not exist")
}

func writeProblem(w http.ResponseWriter, status int, code, detail string) {
	problem.Write(w, *problem.New(status, code, detail))
}

func (h *handler) requireToken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := bearer.Token(r)
		if !ok || !h.tokens[fleet.TokenDigest(token)] {
			w.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(w, http.StatusUnauthorized, CodeUnauthorised, "an operator's bearer token is needed")
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (h *handler) propose(w http.ResponseWriter, r *http.Request) {
	in, rejection := readIntent(w, r)
	if rejection != nil {
		problem.Write(w, *rejection)
		return
	}
	plan, err := h.service.Propose(r.Context(), in)
	if err != nil {
		writeError(w, r, err)
		return
	}
	w.Header().Set("Location", "/v1/plans/"+plan.ID)
	writeJSON(w, http.StatusCreated, plan)
}

// readIntent decodes and validates the body, or returns the problem to respond with.
func readIntent(w http.ResponseWriter, r *http.Request) (intent.Intent, *problem.Problem) {
	var in intent.Intent
	if !mediatype.Is(r.Header, mediatype.JSON) {
		return in, problem.New(http.StatusUnsupportedMediaType, CodeMediaType, "the body must be application/json")
	}
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxIntentBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return in, bodyProblem(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return in, problem.New(http.StatusBadRequest, CodeMalformed, "the body has more than one value")
	}
	if err := in.Validate(); err != nil {
		return in, inputProblem(err)
	}
	return in, nil
}

func bodyProblem(err error) *problem.Problem {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return problem.New(http.StatusRequestEntityTooLarge, CodeTooLarge, "the body is too large")
	}
	return problem.New(http.StatusBadRequest, CodeMalformed, "the body is not an intent: "+err.Error())
}

func (h *handler) plan(w http.ResponseWriter, r *http.Request) {
	if plan, ok := h.findPlan(w, r); ok {
		writeJSON(w, http.StatusOK, plan)
	}
}

func (h *handler) diff(w http.ResponseWriter, r *http.Request) {
	if plan, ok := h.findPlan(w, r); ok {
		writeJSON(w, http.StatusOK, PlanDiff{Plan: plan.ID, Changes: plan.Changes})
	}
}

// findPlan returns the plan that the path names, or writes an error response.
func (h *handler) findPlan(w http.ResponseWriter, r *http.Request) (*intent.Plan, bool) {
	id, ok := planIDFromPath(w, r)
	if !ok {
		return nil, false
	}
	plan, err := h.service.Plan(r.Context(), id)
	if err != nil {
		writeError(w, r, err)
		return nil, false
	}
	return plan, true
}

func (h *handler) confirm(w http.ResponseWriter, r *http.Request) {
	id, ok := planIDFromPath(w, r)
	if !ok {
		return
	}
	generation, err := h.service.Confirm(r.Context(), id)
	if err != nil {
		writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, Confirmation{Plan: id, Generation: generation})
}

func planIDFromPath(w http.ResponseWriter, r *http.Request) (string, bool) {
	id := r.PathValue("id")
	if ValidPlanID(id) {
		return id, true
	}
	problem.Write(w, ProblemFromError(ErrPlanNotFound))
	return "", false
}

// ValidPlanID reports whether id is a well-formed plan identifier: 1 to 64
// letters, digits and hyphens.
func ValidPlanID(id string) bool {
	if id == "" || len(id) > maxPlanIDBytes {
		return false
	}
	for _, c := range id {
		letter := (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '-' {
			return false
		}
	}
	return true
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.service.Status(r.Context())
	if err != nil {
		writeError(w, r, err)
		return
	}
	writeJSON(w, http.StatusOK, status)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		writeProblem(w, http.StatusInternalServerError, CodeInternal, "the answer does not encode")
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

func writeError(w http.ResponseWriter, r *http.Request, err error) {
	p := ProblemFromError(err)
	if p.Code == CodeInternal {
		slog.ErrorContext(r.Context(), "operator request failed", "path", r.URL.Path, "error", err.Error())
	}
	problem.Write(w, p)
}
