package entry

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/snipestep/snipestep/problem"
)

// versionHeader is the header with the model version that generated a response.
const versionHeader = "Snipestep-Model-Version"

// streamSink streams a response as server-sent events.
type streamSink struct {
	w             http.ResponseWriter
	flush         func() error
	id            string
	model         string
	headerWritten bool
}

func newStreamSink(w http.ResponseWriter, id, model string) *streamSink {
	return &streamSink{w: w, flush: http.NewResponseController(w).Flush, id: id, model: model}
}

// writeToken implements tokenSink.
func (s *streamSink) writeToken(version, text string) error {
	s.writeHeader(version)
	return s.writeChunk(chatChunk{
		ID:      s.id,
		Object:  objectChunk,
		Model:   s.model,
		Choices: []chatChoice{{Delta: &chatMessage{Role: "assistant", Content: text}}},
	})
}

// finish implements tokenSink.
func (s *streamSink) finish(version string, tokens int) error {
	s.writeHeader(version)
	reason := finishStop
	last := chatChunk{
		ID:      s.id,
		Object:  objectChunk,
		Model:   s.model,
		Choices: []chatChoice{{Delta: &chatMessage{}, FinishReason: &reason}},
		Usage:   &chatUsage{CompletionTokens: tokens},
	}
	if err := s.writeChunk(last); err != nil {
		return err
	}
	return s.writeEvent([]byte("[DONE]"))
}

// restart implements tokenSink. Nothing has been sent when it is called.
func (s *streamSink) restart() {}

// encodedBytes implements tokenSink. The tokens were sent one by one.
func (s *streamSink) encodedBytes() int {
	return 0
}

// interrupt implements tokenSink. The stream is broken off afterwards, and its connection with it.
func (s *streamSink) interrupt() {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Unix(1, 0))
}

// hasDelivered implements tokenSink.
func (s *streamSink) hasDelivered() bool {
	return s.headerWritten
}

// abort ends an incomplete stream with an error event, without the [DONE] event, and aborts
// the connection, so that the framing of the response does not say that it is complete. It
// does not return.
func (s *streamSink) abort(p problem.Problem) {
	s.writeError(p)
	panic(http.ErrAbortHandler)
}

func (s *streamSink) writeError(p problem.Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		return
	}
	if _, err := s.w.Write([]byte("event: error\n")); err != nil {
		return
	}
	_ = s.writeEvent(body)
}

func (s *streamSink) writeHeader(version string) {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set(versionHeader, version)
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeChunk(chunk chatChunk) error {
	body, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.writeEvent(body)
}

func (s *streamSink) writeEvent(data []byte) error {
	event := make([]byte, 0, len(data)+len("data: \n\n"))
	event = append(event, "data: "...)
	event = append(event, data...)
	event = append(event, "\n\n"...)
	if _, err := s.w.Write(event); err != nil {
		return err
	}
	return s.flush()
}
