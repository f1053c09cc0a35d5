package fakes

import (
	"encoding/json"
	"net/http"

	"github.com/snipestep/snipestep/endpoint"
)

// eventWriter writes the server-sent events of one answer.
type eventWriter struct {
	response   http.ResponseWriter
	controller *http.ResponseController
}

// newEventWriter sends the response header.
func newEventWriter(w http.ResponseWriter) *eventWriter {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
	writer := &eventWriter{response: w, controller: http.NewResponseController(w)}
	_ = writer.controller.Flush()
	return writer
}

func (w *eventWriter) writeToken(attempt *engineAttempt, index int) error {
	event := newEvent(attempt.id, attempt.version, index)
	event.Model = attempt.request.Model
	event.Choices[0].Text = TokenText(attempt.request.Prompt, attempt.version, index)
	return w.writeEvent(event)
}

// writeMismatchedToken sends a token that carries another attempt's ID.
func (w *eventWriter) writeMismatchedToken(id, version string, index int) {
	event := newEvent(id, version, index)
	event.Choices[0].Text = TokenText(id, version, index)
	_ = w.writeEvent(event)
}

func (w *eventWriter) writeDone(attempt *engineAttempt, tokens int) {
	reason := "stop"
	event := newEvent(attempt.id, attempt.version, tokens)
	event.Model = attempt.request.Model
	event.Choices[0].FinishReason = &reason
	_ = w.writeEvent(event)
	_, _ = w.response.Write([]byte("data: " + endpoint.CompletionEnd + "\n\n"))
}

func (w *eventWriter) writeEvent(event endpoint.CompletionEvent) error {
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := w.response.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		return err
	}
	return w.controller.Flush()
}

func newEvent(id, version string, index int) endpoint.CompletionEvent {
	return endpoint.CompletionEvent{
		ID:         id,
		Object:     endpoint.CompletionObject,
		Version:    version,
		TokenIndex: index,
		Choices:    []endpoint.CompletionChoice{{}},
	}
}
