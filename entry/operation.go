package entry

import (
	"net/http"
	"strings"

	"github.com/snipestep/snipestep/core"
	"github.com/snipestep/snipestep/endpoint"
)

// serveOperation serves a call to a plain service.
func (h *callerHandler) serveOperation(w http.ResponseWriter, r *http.Request) {
	c, err := h.newCall(r)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	p, err := h.parseOperation(w, r, c)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	defer p.releaseHeld()
	response, err := p.run(r.Context())
	writer := &callerWriter{ResponseWriter: w, call: c}
	if err == nil && c.startWriting(writer.abort) != nil {
		err = noRoomRefusal()
	}
	h.countOutcome(c, err)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(response.status)
	_, _ = writer.Write(response.body)
	if c.endWriting() != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *callerHandler) parseOperation(w http.ResponseWriter, r *http.Request, c *call) (*plainCall, error) {
	service, name := r.PathValue("service"), r.PathValue("operation")
	op, ok := h.svc.documents.Compiled().Operation(service, name)
	if !ok {
		return nil, newRefusal(http.StatusNotFound, CodeUnknownOperation, "operation "+service+"/"+name+" does not exist")
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
		call:           c,
		svc:            h.svc,
		service:        service,
		operation:      name,
		idempotent:     op.Idempotent,
		idempotencyKey: key,
		body:           body,
	}, nil
}

// scopedKey makes an idempotency key unique to its organisation and operation.
func scopedKey(organisation core.OrganisationID, service, operation, key string) string {
	return strings.Join([]string{string(organisation), service, operation, key}, "\x00")
}
