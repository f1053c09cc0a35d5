package entry

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/snipestep/snipestep/endpoint"
	"github.com/snipestep/snipestep/routing"
)

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
		prefix:    endpoint.PromptPrefixHash(prompt),
		maxTokens: req.MaxTokens,
		sink:      sinkFor(w, req, c.id),
	}, nil
}

func (h *callerHandler) knownModel(name string) bool {
	_, ok := h.svc.held.Policy().Model(name)
	return ok
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
