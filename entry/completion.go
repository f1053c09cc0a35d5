package entry

import (
	"encoding/json"
	"net/http"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/routing"
)

// serveCompletion serves a model call.
func (h *callerHandler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c, err := h.newCall(r)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	m, err := h.parseCompletion(w, r, c)
	if err != nil {
		h.writeRefusal(w, err)
		return
	}
	err = m.run(r.Context())
	h.countOutcome(c, err)
	if err == nil {
		return
	}
	if stream, ok := m.sink.(*streamSink); ok && stream.headerWritten {
		stream.abort(problemOf(finalRefusal(err, true)))
	}
	h.writeRefusal(w, err)
}

func (h *callerHandler) parseCompletion(w http.ResponseWriter, r *http.Request, c *call) (*modelCall, error) {
	body, err := h.readBody(w, r)
	if err != nil {
		return nil, err
	}
	var req chatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, err.Error())
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxTokensLimit {
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, "max_tokens is out of range")
	}
	prompt := promptOf(req)
	if prompt == "" {
		return nil, newRefusal(http.StatusBadRequest, CodeBadRequest, "the request has no prompt")
	}
	if !h.isKnownModel(req.Model) {
		return nil, newRefusal(http.StatusNotFound, CodeUnknownModel, "model "+req.Model+" is not placed")
	}
	c.fingerprint = routing.Fingerprint(c.organisation, c.kind, []byte(prompt))
	if err := h.checkQuarantine(c); err != nil {
		return nil, err
	}
	writer := &callerWriter{ResponseWriter: w, call: c}
	return &modelCall{
		call:         c,
		svc:          h.svc,
		model:        req.Model,
		prompt:       prompt,
		promptPrefix: endpoint.PromptPrefixHash(prompt),
		maxTokens:    req.MaxTokens,
		sink:         sinkFor(writer, req, c.id),
		abort:        writer.abort,
	}, nil
}

func (h *callerHandler) isKnownModel(name string) bool {
	_, ok := h.svc.documents.Compiled().Model(name)
	return ok
}

func promptOf(req chatRequest) string {
	if req.Messages.count == 0 {
		return req.Prompt
	}
	return req.Messages.contents
}

func sinkFor(w http.ResponseWriter, req chatRequest, id string) tokenSink {
	if req.Stream {
		return newStreamSink(w, id, req.Model)
	}
	return &bufferedSink{w: w, id: id, model: req.Model}
}
