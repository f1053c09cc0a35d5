package entry

import (
	"net/http"
	"strings"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

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

// scopedKey keeps the idempotency keys of organisations apart.
func scopedKey(organisation core.OrganisationID, service, operation, key string) string {
	return strings.Join([]string{string(organisation), service, operation, key}, "\x00")
}
