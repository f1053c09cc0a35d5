package entry

import (
	"encoding/json"
	"net/http"
	"strings"
)

// bufferedSink buffers a response and sends it as one JSON document.
type bufferedSink struct {
	w      http.ResponseWriter
	id     string
	model  string
	tokens []string
}

// writeToken implements tokenSink.
func (s *bufferedSink) writeToken(_, text string) error {
	s.tokens = append(s.tokens, text)
	return nil
}

// finish implements tokenSink.
func (s *bufferedSink) finish(version string, tokens int) error {
	reason := finishStop
	header := s.w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(versionHeader, version)
	return json.NewEncoder(s.w).Encode(chatChunk{
		ID:     s.id,
		Object: objectCompletion,
		Model:  s.model,
		Choices: []chatChoice{{
			Message:      &chatMessage{Role: "assistant", Content: strings.Join(s.tokens, "")},
			FinishReason: &reason,
		}},
		Usage: &chatUsage{CompletionTokens: tokens},
	})
}

// restart implements tokenSink.
func (s *bufferedSink) restart() {
	s.tokens = nil
}

// hasDelivered implements tokenSink.
func (s *bufferedSink) hasDelivered() bool {
	return false
}
