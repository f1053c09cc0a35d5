package entry

import (
	"encoding/json"
	"net/http"

	"github.com/snipestep/snipestep/problem"
)

// versionHeader names the model version that an answer is from.
const versionHeader = "Snipestep-Model-Version"

// streamSink sends an answer as server-sent events.
type streamSink struct {
	w       http.ResponseWriter
	flush   func() error
	id      string
	model   string
	started bool
}

func newStreamSink(w http.ResponseWriter, id, model string) *streamSink {
	return &streamSink{w: w, flush: http.NewResponseController(w).Flush, id: id, model: model}
}

// token implements tokenSink.
func (s *streamSink) token(version, text string) error {
	s.start(version)
	return s.event(chatChunk{
		ID:      s.id,
		Object:  objectChunk,
		Model:   s.model,
		Choices: []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: text}}},
	})
}

// done implements tokenSink.
func (s *streamSink) done(version string, tokens int) error {
	s.start(version)
	reason := finishStop
	last := chatChunk{
		ID:      s.id,
		Object:  objectChunk,
		Model:   s.model,
		Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}},
		Usage:   &chatUsage{CompletionTokens: tokens},
	}
	if err := s.event(last); err != nil {
		return err
	}
	return s.raw([]byte("[DONE]"))
}

// restart implements tokenSink. Nothing was sent yet when it is called.
func (s *streamSink) restart() {}

// delivered implements tokenSink.
func (s *streamSink) delivered() bool {
	return s.started
}

// fail ends a stream that cannot be made whole with an error event; the
// caller sees no end mark.
func (s *streamSink) fail(p problem.Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	if _, err := s.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = s.raw(body)
}

func (s *streamSink) start(version string) {
	if s.started {
		return
	}
	s.started = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(versionHeader, version)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(chunk chatChunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.raw(body)
}

func (s *streamSink) raw(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.flush()
}
